"""Fleet-wide rate limits of workspaces, enforced by gossip between nodes."""

from .quota_windows import AdmissionWindow, ToldTimes

# Initial fill of the buckets of a node that joins a running fleet. It does not know
# what the fleet has just admitted, so a full bucket could admit a full burst twice.
RESTART_FILL_FRACTION = 0.5
# A bucket's debt is limited to the refill of this much time.
DEBT_MAX_SECONDS = 2.0
# Bursts that a bucket with a window holds. With more, a peak right before all nodes are
# killed and the admissions after their restart could exceed the limit of that window.
WINDOW_BURSTS = 1.5


class _Bucket:
    """A token bucket, and with a window its admissions in that window.

    A load peak of some seconds may take what the window has left of its limit, which is
    more than the rate: the bucket then has the mean rate of a full window, and
    `WINDOW_BURSTS` times the burst. Before `known_at` the admissions of a whole window
    are not known, and the rate and the burst hold alone.
    """

    def __init__(self, rate, burst, level, now, window_seconds=None, known_at=0.0):
        self.rate = rate
        self.burst = burst
        self.level = level
        self.updated_at = now
        self.told = ToldTimes()
        self._window = AdmissionWindow(window_seconds) if window_seconds else None
        self._known_at = known_at

    def is_unused(self, now):
        """Whether a new bucket would be the same: nothing admitted lately counts."""
        if self._window is not None and self._window.used(now, 1.0):
            return False
        return self.level + (now - self.updated_at) * self.rate >= self.burst

    def limit(self, rate, burst):
        """Change the limit; what was admitted is scaled down to a lower one."""
        if self._window is not None:
            before, after = self._window_limit, rate * self._window.seconds + burst
            self._window.note_limit(after / before)
        self.rate, self.burst = rate, burst
        self.level = min(self.level, self._capacity(self.updated_at))

    def refill(self, now, share):
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        added = elapsed * self._pace(now) * share
        # Also a small part of the fleet has room for one request, and pays off its debt
        # within the same time.
        capacity = max(1.0, self._capacity(now) * share)
        debt_max = DEBT_MAX_SECONDS * self.rate * share
        self.level = min(capacity, max(self.level, -debt_max) + added)

    def seconds_until(self, count, now, share):
        """Return the seconds until `count` requests may be admitted, 0 for now."""
        missing = count - self.level
        seconds = max(0.0, missing / (self._pace(now) * share))
        if self._window is not None:
            room = max(1.0, self._window_limit * share) - count
            seconds = max(seconds, self._window.seconds_until(room, now, share))
        return seconds

    def charge(self, count, now, share, seconds):
        """Count admissions of the last `seconds`."""
        self.refill(now, share)
        if self._window is not None:
            self._window.add(count, now, share, seconds)
            if seconds > self._window.seconds:
                # The others were admitted before the window.
                count *= self._window.seconds / seconds
        self.level = max(self.level - count, -DEBT_MAX_SECONDS * self.rate * share)

    @property
    def _window_limit(self):
        return self.rate * self._window.seconds + self.burst

    def _pace(self, now):
        if self._window is None or now < self._known_at:
            return self.rate
        return self._window_limit / self._window.seconds

    def _capacity(self, now):
        if self._window is None or now < self._known_at:
            return self.burst
        return WINDOW_BURSTS * self.burst


class _PeerCounts:
    """Requests that an incarnation of a peer admitted since its start, by workspace.

    If `is_complete` is true, the counts of all other workspaces were 0 when they began.
    """

    def __init__(self, incarnation, is_complete):
        self.incarnation = incarnation
        self.is_complete = is_complete
        self.count_by_workspace = {}
        self.updated_at = None

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

    With `window_seconds`, the limit of a workspace is its rate times the window plus
    its burst, in any window of that length: load that peaks for some seconds may use
    what the seconds before have left. Refused callers are told different times.

    >>> quotas = FleetQuotas(is_first_start=True)
    >>> quotas.configure({"w": (1.0, 2.0)}, now=0.0)
    >>> [quotas.take("w", now=0.0, share=1.0) for _ in range(3)]
    [None, None, 1.0]
    """

    def __init__(self, is_first_start, window_seconds=None, now=0.0):
        self._initial_fill = 1.0 if is_first_start else RESTART_FILL_FRACTION
        self._window_seconds = window_seconds
        # A node that restarts does not know the admissions of the window before.
        self._known_at = now
        if not is_first_start and window_seconds:
            self._known_at += window_seconds
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
                bucket = _Bucket(
                    rate,
                    burst,
                    burst * self._initial_fill,
                    now,
                    self._window_seconds,
                    self._known_at,
                )
            bucket.limit(rate, burst)
            self._bucket_by_workspace[workspace] = bucket
        self._unlimited_by_workspace = {
            workspace: bucket
            for workspace, bucket in known.items()
            if not bucket.is_unused(now)
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
        seconds = bucket.seconds_until(1, now, share)
        return seconds if seconds > 0.0 else None

    def refuse(self, workspace, now, share, sharers=1, position=0.0):
        """Return the seconds after which the caller of a refused request may return.

        `sharers` nodes refuse requests; see `ToldTimes`.
        """
        bucket = self._bucket_by_workspace[workspace]
        if self._window_seconds is None:
            return bucket.seconds_until(1, now, share)
        return bucket.told.next_seconds(
            lambda ahead: bucket.seconds_until(1 + ahead, now, share),
            now,
            sharers,
            position,
            self._window_seconds,
        )

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
        seconds = 0.0 if counts.updated_at is None else now - counts.updated_at
        for workspace, count in admitted_by_workspace.items():
            raised_by = counts.raise_to(workspace, count)
            if raised_by:
                self._charge(workspace, raised_by, now, share, seconds)
        counts.is_complete = counts.is_complete or is_complete
        counts.updated_at = now

    def _charge(self, workspace, count, now, share, seconds=0.0):
        bucket = self._bucket_by_workspace.get(workspace)
        if bucket is not None:
            bucket.charge(count, now, share, seconds)
