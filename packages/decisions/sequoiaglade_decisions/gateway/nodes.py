"""What the nodes of the fleet know of one another."""

from typing import NamedTuple

from .hashing import stable_hash

# A node that was not heard for this long gets no callers and holds no jobs, in
# seconds; several rounds of gossip have failed by then.
SILENT_SECONDS = 1.5
# The same in a fleet so large that news passes through several nodes, a round each.
SILENT_SECONDS_LARGE = 6.0
# Peers up to which each hears of all others directly within about a round.
SMALL_FLEET = 12
# A silent node keeps its share of the quotas for this long, in seconds: longer than
# the partitions that the platform's pages tell of, since it may serve on.
FORGET_SECONDS = 20.0


class JobSummary(NamedTuple):
    """What a node tells of a batch job that it holds."""

    job_key: str
    workspace: str
    route: str
    waiting_tokens: int
    is_open: bool = True


class NodeState(NamedTuple):
    """What a node says of itself; the highest incarnation and sequence wins.

    `load_by_endpoint` has pairs of online and batch requests in flight,
    `admitted_by_workspace` the requests admitted since the start. `batch_backlog` and
    `batch_running` count unfinished and running items; `crashes` are triples of
    fingerprint, endpoint key and age in seconds. `cores` is the power of its processor.
    """

    node_id: str
    incarnation: int
    sequence: int
    data_address: str = ""
    peer_address: str = ""
    failure_domain: str = ""
    is_leaving: bool = False
    is_gone: bool = False
    configuration_version: int = 0
    load_by_endpoint: dict = {}
    admitted_by_workspace: dict = {}
    batch_backlog: int = 0
    batch_running: int = 0
    jobs: tuple[JobSummary, ...] = ()
    crashes: tuple = ()
    is_store_reachable: bool = True
    cores: float = 1.0


class NodeTable:
    """The newest `NodeState` of each peer and when it was heard.

    >>> table = NodeTable("a")
    >>> table.observe_state(NodeState("b", 1, 1), now=0.0)
    True
    >>> [state.node_id for state in table.live(now=1.0)], table.live(now=2.0)
    (['b'], [])
    """

    def __init__(self, own_id):
        self._own_id = own_id
        self._heard = {}
        self._latest_at = 0.0

    def observe_state(self, state, now):
        """Take a state; return whether it is newer than what was known."""
        self._latest_at = max(self._latest_at, now)
        if state.node_id == self._own_id:
            return False
        known = self._heard.get(state.node_id)
        if known is not None and _age_key(known[0]) >= _age_key(state):
            return False
        self._heard[state.node_id] = (state, now)
        return True

    def heard_within(self, now, seconds):
        """Return the states heard in the last `seconds`, to pass on."""
        return [s for s, at in self._heard.values() if now - at <= seconds]

    def state(self, node_id):
        """Return the newest state of a node, or None."""
        found = self._heard.get(node_id)
        return found and found[0]

    @property
    def is_large(self):
        """Whether news reaches all nodes only through others."""
        since = self._latest_at - FORGET_SECONDS
        return sum(at >= since for _, at in self._heard.values()) > SMALL_FLEET

    def live(self, now, within=SILENT_SECONDS_LARGE):
        """Return the states of peers that were heard lately and have not left.

        `within` is how old their news may be at most, in seconds.
        """
        silent = SILENT_SECONDS_LARGE if self.is_large else SILENT_SECONDS
        silent = min(silent, within)
        return [
            state
            for state, at in self._heard.values()
            if now - at <= silent and not state.is_gone
        ]

    def known(self, now):
        """Return the states of peers that are not known to be gone."""
        return [
            state
            for state, at in self._heard.values()
            if now - at <= FORGET_SECONDS and not state.is_gone
        ]

    def quota_share(self, now, least_count):
        """Return the part of the quotas that the nodes heard of may use together.

        `least_count` is the least size of the fleet that this node knows of
        otherwise, such as its seeds.
        """
        heard = len(self.live(now)) + 1
        known = max(len(self.known(now)) + 1, least_count)
        return heard / max(heard, known)


def job_holder(job_key, accepted_by, notes_by_node, live_ids):
    """Return the id of the node that runs a job's items.

    It is a live node that tells that it holds the job (the lowest id if several do),
    else the one that accepted it while it lives, else one chosen by hash, so that all
    nodes with the same view choose the same.

    >>> job_holder("j", "a", {}, ["a", "b"])
    'a'
    >>> job_holder("j", "gone", {"b": {"j"}, "a": {"j"}}, ["a", "b"])
    'a'
    """
    holders = [n for n in live_ids if job_key in notes_by_node.get(n, ())]
    if holders:
        return min(holders)
    if accepted_by in live_ids:
        return accepted_by
    if not live_ids:
        return None
    return max(live_ids, key=lambda node: stable_hash(job_key, node))


def _age_key(state):
    return state.incarnation, state.sequence
