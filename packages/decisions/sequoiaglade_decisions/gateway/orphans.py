"""Choice of the jobs without a holder that a node takes over."""

from .nodes import job_holder

# The node with the lowest id takes over a job that has had no holder for this long: by
# then the node that `job_holder` names has had time to do so. Likely holders are asked
# before a takeover.
UNHELD_TAKEOVER_SECONDS = 1.0
# A node takes over a job that it noted as unheld after this long: by then several
# gossip rounds would have reported a holder.
NOTED_TAKEOVER_SECONDS = 0.6
# A node that has lost contact with most others waits this long before it takes over
# jobs: connections that fell silent are replaced by then.
ISOLATION_WAIT_SECONDS = 4.0
# Peers whose last contact was this much earlier than that of others have most likely
# been replaced by them.
LOST_TOGETHER_SECONDS = 60.0


class IsolationGuard:
    """Decides whether a node that lost contact with others may take over jobs.

    If most peers are lost at the same time, this node's own links, or all connections,
    have more likely failed than the peers. Their jobs then still have holders.

    >>> guard = IsolationGuard()
    >>> guard.may_adopt(live_count=7, lost_seconds=[2.0], now=10.0)
    True
    >>> [guard.may_adopt(0, [2.0] * 8, now) for now in (11.0, 14.0, 15.0)]
    [False, False, True]
    >>> guard.may_adopt(1, [90.0] * 8, now=16.0)
    True

    After a suspension of this node all others were lost at the same time, long ago:

    >>> guard.may_adopt(0, [90.0] * 8, now=106.0)
    False
    """

    def __init__(self):
        self._isolated_since = None

    def may_adopt(self, live_count, lost_seconds, now):
        """Return whether jobs may be taken over.

        `live_count` is the number of peers in contact, `lost_seconds` has the time
        since the last contact with each of the others.
        """
        newest = 0.0 if live_count else min(lost_seconds, default=0.0)
        lost_count = sum(
            seconds - newest <= LOST_TOGETHER_SECONDS for seconds in lost_seconds
        )
        if live_count + 1 >= lost_count:
            self._isolated_since = None
            return True
        if self._isolated_since is None:
            self._isolated_since = now
        return now - self._isolated_since >= ISOLATION_WAIT_SECONDS


class OrphanedJobs:
    """Chooses the jobs without a holder that a node takes over.

    A holder may be lost or stopped, or may not know that it stored a job because the
    store's answer was lost. Two nodes may choose the same job; one of them then
    releases it.

    >>> orphans = OrphanedJobs("b")
    >>> orphans.choose({"j": "a"}, {"a": set(), "b": set()}, ["a", "b"], now=0.0)
    []
    >>> orphans.note_unheld("j", now=0.0)
    >>> orphans.choose({"j": "a"}, {"a": set(), "b": set()}, ["a", "b"], now=1.0)
    ['j']

    A node outside the homes of a job that accepted it may have forgotten it:

    >>> orphans = OrphanedJobs("m")
    >>> args = {"j": "b"}, {"b": set(), "m": set(), "z": set()}, ["b", "m", "z"]
    >>> [orphans.choose(*args, now, {"j": ["b", "m", "z"]}) for now in (0.0, 9.0)]
    [[], ['j']]
    """

    def __init__(self, own_id):
        self._own_id = own_id
        self._unheld_since = {}
        self._noted_since = {}

    @property
    def has_noted(self):
        """Whether jobs were noted that may have no holder."""
        return bool(self._noted_since)

    def note_unheld(self, key, now):
        """Record that a job is in the store and that no holder of it is known."""
        self._noted_since.setdefault(key, now)

    def choose(
        self, accepted_by_key, keys_by_node, live_ids, now, candidates_by_key=None
    ):
        """Return the keys of jobs to take over.

        `accepted_by_key` has the node that accepted each open job, `keys_by_node` the
        jobs that each node reports to hold, `live_ids` the nodes that may hold jobs.
        `candidates_by_key` has the only ones of them that may hold a job with homes; it
        has no holder while there are none.
        """
        held = set().union(*keys_by_node.values())
        unheld = set(accepted_by_key) - held
        self._unheld_since = {k: self._unheld_since.get(k, now) for k in unheld}
        chosen = []
        for key in sorted(unheld):
            ids = (candidates_by_key or {}).get(key, live_ids)
            holder = job_holder(key, accepted_by_key[key], keys_by_node, ids)
            # The node that accepted a job need not look for jobs without a holder.
            others = [i for i in ids if i != accepted_by_key[key]]
            takers = others if key in (candidates_by_key or {}) and others else ids
            if holder == self._own_id or self._is_overdue(key, takers, now):
                chosen.append(key)
        self._noted_since = {
            key: since
            for key, since in self._noted_since.items()
            if now - since < NOTED_TAKEOVER_SECONDS
        }
        return chosen

    def _is_overdue(self, key, live_ids, now):
        noted_at = self._noted_since.get(key)
        if noted_at is not None and now - noted_at >= NOTED_TAKEOVER_SECONDS:
            return True
        is_lowest = self._own_id == min(live_ids, default=None)
        return is_lowest and now - self._unheld_since[key] >= UNHELD_TAKEOVER_SECONDS
