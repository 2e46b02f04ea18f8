"""Each workspace's rate and burst, held over the fleet by nodes' news."""

# Level of a bucket when a node starts while the fleet runs: what the fleet admitted
# just before is not known, so that a whole burst might be given twice.
RESTART_LEVEL = 0.5
# A bucket is never deeper in debt than what its rate brings in this time, in seconds.
DEBT_SECONDS = 2.0


class _Bucket:
    def __init__(self, rate, burst, level, now):
        self.rate = rate
        self.burst = burst
        self.level = level
        self.updated_at = now

    def refill(self, now, share):
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = now
        self.level = min(self.burst * share, self.level + elapsed * self.rate * share)


class FleetQuotas:
    """Admits requests of workspaces within their rates and bursts.

    Answers the load pattern of one workspace sending many times its rate through all
    nodes at once. Each node keeps a bucket of the whole fleet: it takes its own
    admissions at once and those of its peers as they tell of them, a fraction of a
    second later; what was admitted too much meanwhile is a debt of the bucket. A node
    that hears only a part of the fleet uses that part's share of rate and burst, so
    that the sum holds in a partition as well.

    >>> quotas = FleetQuotas(is_first_start=True)
    >>> quotas.configure({"w": (1.0, 2.0)}, now=0.0)
    >>> [quotas.take("w", now=0.0, share=1.0) for _ in range(3)]
    [None, None, 1.0]
    """

    def __init__(self, is_first_start):
        self._start_level = 1.0 if is_first_start else RESTART_LEVEL
        self._bucket_by_workspace = {}
        self._admitted_by_workspace = {}
        self._admitted_at_by_workspace = {}
        self._heard = {}

    def configure(self, limit_by_workspace, now):
        """Take the pairs of rate and burst by workspace; a rate of 0 is no limit."""
        for workspace in set(self._bucket_by_workspace) - set(limit_by_workspace):
            del self._bucket_by_workspace[workspace]
        for workspace, (rate, burst) in limit_by_workspace.items():
            bucket = self._bucket_by_workspace.get(workspace)
            if rate <= 0:
                self._bucket_by_workspace.pop(workspace, None)
            elif bucket is None:
                level = burst * self._start_level
                self._bucket_by_workspace[workspace] = _Bucket(rate, burst, level, now)
            else:
                bucket.rate = rate
                bucket.burst = burst
                bucket.level = min(bucket.level, burst)

    def take(self, workspace, now, share):
        """Admit a request; return None, or the seconds until one would be admitted."""
        bucket = self._bucket_by_workspace.get(workspace)
        if bucket is not None:
            bucket.refill(now, share)
            if bucket.level < 1.0:
                return (1.0 - bucket.level) / (bucket.rate * share)
            bucket.level -= 1.0
        count = self._admitted_by_workspace.get(workspace, 0)
        self._admitted_by_workspace[workspace] = count + 1
        self._admitted_at_by_workspace[workspace] = now
        return None

    def admitted(self):
        """Return this node's admitted requests since its start, by workspace."""
        return dict(self._admitted_by_workspace)

    def admitted_since(self, now, seconds):
        """Return the same for workspaces that had any in the last `seconds`."""
        return {
            workspace: count
            for workspace, count in self._admitted_by_workspace.items()
            if now - self._admitted_at_by_workspace[workspace] <= seconds
        }

    def levels(self):
        """Return triples of rate, burst and level by workspace, to show."""
        return {
            workspace: (bucket.rate, bucket.burst, round(bucket.level, 2))
            for workspace, bucket in self._bucket_by_workspace.items()
        }

    def update_peer(self, node_id, incarnation, admitted_by_workspace, now, share):
        """Take a peer's admitted requests since its start; some may be left out.

        The first figure of a peer that this node had not met only sets the mark.
        """
        key = (node_id, incarnation)
        before = self._heard.get(key)
        for stale in [k for k in self._heard if k[0] == node_id and k != key]:
            del self._heard[stale]
            before = before or {}
        self._heard[key] = {**(before or {}), **admitted_by_workspace}
        if before is None:
            return
        for workspace, count in admitted_by_workspace.items():
            bucket = self._bucket_by_workspace.get(workspace)
            if bucket is None:
                continue
            bucket.refill(now, share)
            level = bucket.level - (count - before.get(workspace, 0))
            bucket.level = max(level, -DEBT_SECONDS * bucket.rate)
