"""Which jobs without a holder a node takes over."""

from .nodes import job_holder

# A job that nobody holds is taken by the node with the lowest id after this long, in
# seconds: by then its own node and the others have had their turn. Likely holders are
# asked before that.
UNHELD_SECONDS = 1.0
# A job that this node found stored is taken after this long, in seconds: its holder's
# news is several rounds of gossip old by then.
EXPECTED_SECONDS = 0.6


class OrphanedJobs:
    """Chooses among unheld jobs.

    Answers the pattern of holders that are lost, stopped, or do not know that they
    stored a job, since the store's answer was lost. Two nodes may choose the same job;
    one then lets go.

    >>> orphans = OrphanedJobs("b")
    >>> orphans.choose({"j": "a"}, {"a": set(), "b": set()}, ["a", "b"], now=0.0)
    []
    >>> orphans.note_unheld("j", now=0.0)
    >>> orphans.choose({"j": "a"}, {"a": set(), "b": set()}, ["a", "b"], now=1.0)
    ['j']
    """

    def __init__(self, own_id):
        self._own_id = own_id
        self._unheld_since = {}
        self._expected_since = {}

    @property
    def has_noted(self):
        """Whether this node found jobs stored that may have no holder."""
        return bool(self._expected_since)

    def note_unheld(self, key, now):
        """Take note that a job is stored, and that no holder of it is known."""
        self._expected_since.setdefault(key, now)

    def choose(self, accepted_by_key, keys_by_node, live_ids, now):
        """Return the keys of jobs to take over.

        `accepted_by_key` has the node that accepted each open job, `keys_by_node` the
        jobs that each node tells to hold, `live_ids` the nodes that may hold jobs.
        """
        held = set().union(*keys_by_node.values())
        unheld = set(accepted_by_key) - held
        self._unheld_since = {k: self._unheld_since.get(k, now) for k in unheld}
        chosen = []
        for key in sorted(unheld):
            holder = job_holder(key, accepted_by_key[key], keys_by_node, live_ids)
            if holder == self._own_id or self._is_overdue(key, live_ids, now):
                chosen.append(key)
        self._expected_since = {
            key: since
            for key, since in self._expected_since.items()
            if now - since < EXPECTED_SECONDS
        }
        return chosen

    def _is_overdue(self, key, live_ids, now):
        expected = self._expected_since.get(key)
        if expected is not None and now - expected >= EXPECTED_SECONDS:
            return True
        is_lowest = self._own_id == min(live_ids, default=None)
        return is_lowest and now - self._unheld_since[key] >= UNHELD_SECONDS
