"""Fleet-wide rate limits of workspaces, enforced by gossip between nodes."""

# Initial fill of the buckets of a node that joins a running fleet. It does not know
# what the fleet has just admitted, so a full bucket could admit a full burst twice.
RESTART_FILL_FRACTION = 0.5
# A bucket's debt is limited to the refill of this much time.
DEBT_MAX_SECONDS = 2.0


class _Bucket:
    def __init__(self, rate, burst, level, now):
        self.rate = rate
        self.burst = burst
        self.level = level
        self.updated_at = now

    def is_full(self, now):
        """Whether it would be full by now at its whole rate."""
        return self.level + (now - self.updated_at) * self.rate >= self.burst

    def refill(self, now, share):
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        self.level = min(self.burst * share, self.level + elapsed * self.rate * share)


class _PeerCounts:
    """Requests that an incarnation of a peer admitted since its start, by workspace.

    If `is_complete` is true, the counts of all other workspaces were 0 when they began.
    """

    def __init__(self, incarnation, is_complete):
        self.incarnation = incarnation
        self.is_complete = is_complete
        self.count_by_workspace = {}

    def add(self, workspace):
        """Count a request, unless the count before it is unknown."""
        if self.is_complete or workspace in self.count_by_workspace:
            self.raise_to(workspace, self.count_by_workspace.get(workspace, 0) + 1)

    def raise_to(self, workspace, count):
        """Raise a count; return by how much, 0 if it was unknown."""
        unknown_count = 0 if self.is_complete else count
        previous = self.count_by_workspace.get(workspace, unknown_count)
        self.count_by_workspace[workspace] = max(previous, count)
        return max(0, count - previous)


class FleetQuotas:
    """Admits requests of workspaces within their rates and bursts.

    A workspace may send many times its rate through all nodes together. Each node
    keeps a token bucket for the whole fleet. It charges its own admissions immediately
    and those of its peers when their counts arrive; any excess admitted in between
    becomes a debt of the bucket. In a small fleet counts arrive by gossip within a
    fraction of a second. In a large one gossip takes seconds, so that the bucket of the
    scheduler decides, which charges the requests that it places for its peers
    immediately. A node that is in contact with only a part of the fleet uses that
    part's share of rate and burst, so that the limit also holds during a partition.

    >>> quotas = FleetQuotas(is_first_start=True)
    >>> quotas.configure({"w": (1.0, 2.0)}, now=0.0)
    >>> [quotas.take("w", now=0.0, share=1.0) for _ in range(3)]
    [None, None, 1.0]
    """

    def __init__(self, is_first_start):
        self._initial_fill = 1.0 if is_first_start else RESTART_FILL_FRACTION
        self._bucket_by_workspace = {}
        # Buckets without a limit in force; a later version may limit them again.
        self._unlimited_by_workspace = {}
        self._admitted_by_workspace = {}
        self._admitted_at_by_workspace = {}
        self._counts_by_peer = {}

    def configure(self, limit_by_workspace, now):
        """Set the pairs of rate and burst by workspace; a rate of 0 is no limit.

        A workspace that was limited lately does not get its burst anew.

        >>> quotas = FleetQuotas(is_first_start=True)
        >>> quotas.configure({"w": (1.0, 2.0)}, now=0.0)
        >>> [quotas.take("w", now=0.0, share=1.0) for _ in range(2)]
        [None, None]
        >>> quotas.configure({}, now=0.5)
        >>> quotas.configure({"w": (1.0, 2.0)}, now=0.5)
        >>> quotas.take("w", now=0.5, share=1.0)
        0.5
        """
        known = self._unlimited_by_workspace | self._bucket_by_workspace
        self._bucket_by_workspace = {}
        for workspace, (rate, burst) in limit_by_workspace.items():
            if rate <= 0:
                continue
            bucket = known.pop(workspace, None)
            if bucket is None:
                bucket = _Bucket(rate, burst, burst * self._initial_fill, now)
            bucket.rate = rate
            bucket.burst = burst
            bucket.level = min(bucket.level, burst)
            self._bucket_by_workspace[workspace] = bucket
        self._unlimited_by_workspace = {
            workspace: bucket
            for workspace, bucket in known.items()
            if not bucket.is_full(now)
        }

    def take(self, workspace, now, share):
        """Admit a request and return None, or return the seconds until admission."""
        seconds = self.seconds_until_admission(workspace, now, share)
        if seconds is None:
            self.note_admitted(workspace, now, share)
        return seconds

    def seconds_until_admission(self, workspace, now, share):
        """Return None if a request may be admitted now, without admitting it."""
        bucket = self._bucket_by_workspace.get(workspace)
        if bucket is None:
            return None
        bucket.refill(now, share)
        if bucket.level < 1.0:
            return (1.0 - bucket.level) / (bucket.rate * share)
        return None

    def note_admitted(self, workspace, now, share):
        """Count and charge a request of this node that was admitted."""
        self._charge(workspace, 1, now, share)
        count = self._admitted_by_workspace.get(workspace, 0)
        self._admitted_by_workspace[workspace] = count + 1
        self._admitted_at_by_workspace[workspace] = now

    def note_peer_admitted(self, node_id, incarnation, workspace, now, share):
        """Charge a request of a peer that this node admitted as a scheduler.

        The peer's next count includes it and does not charge it again.
        """
        self._charge(workspace, 1, now, share)
        counts = self._counts_by_peer.get(node_id)
        if counts is not None and counts.incarnation == incarnation:
            counts.add(workspace)

    def admitted(self):
        """Return the number of requests admitted since the start, by workspace."""
        return dict(self._admitted_by_workspace)

    def admitted_since(self, now, seconds):
        """Return `admitted` for workspaces with admissions in the last `seconds`."""
        return {
            workspace: count
            for workspace, count in self._admitted_by_workspace.items()
            if now - self._admitted_at_by_workspace[workspace] <= seconds
        }

    def levels(self):
        """Return triples of rate, burst and level by workspace, for diagnostics."""
        return {
            workspace: (bucket.rate, bucket.burst, round(bucket.level, 2))
            for workspace, bucket in self._bucket_by_workspace.items()
        }

    def update_peer(
        self,
        node_id,
        incarnation,
        admitted_by_workspace,
        now,
        share,
        is_complete=True,
    ):
        """Charge a peer's admissions, given as counts since the peer's start.

        Workspaces may be left out where the counts are not complete. The first count
        of a peer that was not known before only sets the baseline. Counts may arrive
        in any order: those that are not higher than the known ones have no effect.

        >>> quotas = FleetQuotas(is_first_start=True)
        >>> quotas.configure({"w": (1.0, 9.0)}, now=0.0)
        >>> for count in (4, 6, 5, 6):
        ...     quotas.update_peer("n", 1, {"w": count}, now=0.0, share=1.0)
        >>> quotas.levels()["w"]
        (1.0, 9.0, 7.0)
        """
        counts = self._counts_by_peer.get(node_id)
        if counts is not None and counts.incarnation > incarnation:
            return
        if counts is None or counts.incarnation < incarnation:
            # A peer that restarts counts from 0.
            counts = _PeerCounts(incarnation, is_complete=counts is not None)
            self._counts_by_peer[node_id] = counts
        for workspace, count in admitted_by_workspace.items():
            raised_by = counts.raise_to(workspace, count)
            if raised_by:
                self._charge(workspace, raised_by, now, share)
        counts.is_complete = counts.is_complete or is_complete

    def _charge(self, workspace, count, now, share):
        bucket = self._bucket_by_workspace.get(workspace)
        if bucket is not None:
            bucket.refill(now, share)
            debt_max = DEBT_MAX_SECONDS * bucket.rate
            bucket.level = max(bucket.level - count, -debt_max)
