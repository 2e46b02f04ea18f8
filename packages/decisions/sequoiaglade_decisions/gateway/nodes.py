"""Each node's view of the other nodes of the fleet."""

from typing import NamedTuple

from .hashing import stable_hash

# The calls between nodes that this release answers; see `FleetNode` of the protocol.
PROTOCOL_REVISION = 1
# A node whose state was not renewed for this long gets no requests and holds no jobs:
# several gossip rounds have failed by then.
PEER_TIMEOUT_SECONDS = 1.5
# The same in a large fleet, where states are relayed by several nodes, a round each.
PEER_TIMEOUT_SECONDS_LARGE = 6.0
# Up to this many peers, each node receives the states of all others directly within
# about one round.
SMALL_FLEET_PEERS_MAX = 12
# Most states arrive this often in a large fleet, and others take a node's jobs over a
# second and a half later at the earliest.
HEARD_SECONDS_LARGE = 1.5
# A node whose state is not renewed keeps its share of the quotas for this long, as it
# may still serve requests: longer than the partitions in the platform's documentation.
PEER_RETENTION_SECONDS = 20.0

# A node that was lost may still run and hold jobs for this long: longer than partitions
# last. Until then reads of jobs are not answered from memory alone.
HOLDER_RETENTION_SECONDS = 600.0


class JobSummary(NamedTuple):
    """Summary of a batch job that a node holds, as gossiped to its peers."""

    job_key: str
    workspace: str
    route: str
    waiting_tokens: int
    is_open: bool = True


class NodeState(NamedTuple):
    """State of a node as gossiped; the highest incarnation and sequence wins.

    `load_by_endpoint` has pairs of online and batch requests in flight,
    `admitted_by_workspace` the requests admitted since the node's start, of all
    workspaces with requests if `is_admitted_complete`.
    `batch_backlog` and `batch_running` count unfinished and running items. `crashes`
    are those of `Quarantine`, `part_crashes` and `sound_parts` those of `PromptParts`,
    `survived_breaks` those of `SurvivedBreaks`.
    `cores` is the node's processor capacity. `request_limits` are the notices of
    `RequestLimits`. `is_cut_off` is whether the node reaches no endpoint itself.
    `protocol_revision` is that of its release, 0 for those that do not tell it. `paces`
    are the limits of endpoints that have started or recovered, in a small fleet.
    `cold_endpoints` has the `ColdReport`s that the node tells.
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
    is_admitted_complete: bool = True
    part_crashes: tuple = ()
    sound_parts: tuple = ()
    survived_breaks: tuple = ()
    request_limits: tuple = ()
    is_cut_off: bool = False
    protocol_revision: int = 0
    paces: tuple = ()
    cold_endpoints: tuple = ()


class _Entry(NamedTuple):
    """A peer's newest state, when it arrived and when it was made, as far as known."""

    state: NodeState
    arrived_at: float
    made_at: float


class NodeTable:
    """The newest `NodeState` of each peer, the times of its arrival and its making.

    >>> table = NodeTable("a")
    >>> table.observe_state(NodeState("b", 1, 1), now=0.0)
    True
    >>> [state.node_id for state in table.live(now=1.0)], table.live(now=2.0)
    (['b'], [])
    """

    def __init__(self, own_id):
        self._own_id = own_id
        self._entry_by_id = {}
        self._last_heard_at = 0.0
        # Whether the fleet is large, None before it is asked after a change.
        self._is_large = None

    def observe_state(self, state, now, age=0.0):
        """Store a peer's state; return whether it is newer than the known one.

        `age` is how many seconds ago it was made at least, 0 if that is unknown.
        """
        if now > self._last_heard_at:
            self._last_heard_at = now
            self._is_large = None
        if state.node_id == self._own_id:
            return False
        entry = self._entry_by_id.get(state.node_id)
        known = entry and entry.state
        if known is not None and _version_key(known) >= _version_key(state):
            return False
        if known is not None and known.incarnation == state.incarnation:
            # A node of an older release relays states without the fields of later ones.
            if known.protocol_revision > state.protocol_revision:
                state = state._replace(protocol_revision=known.protocol_revision)
        self._entry_by_id[state.node_id] = _Entry(state, now, now - age)
        self._is_large = None
        return True

    def heard_within(self, now, seconds):
        """Return the states received in the last `seconds`, to be relayed."""
        return [
            state for state, at, _ in self._entry_by_id.values() if now - at <= seconds
        ]

    def ages(self, states, now):
        """Return how many seconds ago known states were made at least, by node id.

        This counts the time that the state was kept by nodes that relayed it, so that a
        lost peer does not count as heard of anew where its state arrives late.

        >>> table = NodeTable("a")
        >>> table.observe_state(NodeState("b", 1, 1), now=10.0, age=2.5)
        True
        >>> table.ages(table.heard_within(now=11.0, seconds=1.0), now=11.0)
        {'b': 3.5}
        """
        entry_by_id = self._entry_by_id
        return {s.node_id: now - entry_by_id[s.node_id].made_at for s in states}

    def heard_share(self, now):
        """Return the fraction of the retained peers whose states arrived lately."""
        known = [
            at
            for state, at, _ in self._entry_by_id.values()
            if now - at <= PEER_RETENTION_SECONDS and not state.is_gone
        ]
        heard = sum(now - at <= HEARD_SECONDS_LARGE for at in known)
        return heard / len(known) if known else 1.0

    def later_starts(self, node_id, incarnation):
        """Return the known states of a node with a later incarnation, as a list.

        There is one if its time of day was set back before it started again.
        """
        state = self.state(node_id)
        return [state] if state is not None and state.incarnation > incarnation else []

    def renewed(self, own, states):
        """Return the state `own` of this node, as peers will take it for the newest.

        `states` are those that a peer sent. If they name a later start of this node,
        the incarnation of `own` is raised beyond it.

        >>> table = NodeTable("a")
        >>> own = NodeState("a", incarnation=5, sequence=1)
        >>> heard = [NodeState("a", 9, 40), NodeState("b", 12, 1)]
        >>> table.renewed(own, heard).incarnation
        10
        >>> table.renewed(own, [NodeState("a", 5, 1)]).incarnation
        5
        """
        later = [
            state.incarnation
            for state in states
            if state.node_id == own.node_id and state.incarnation > own.incarnation
        ]
        return own._replace(incarnation=max(later) + 1) if later else own

    def state(self, node_id):
        """Return the newest state of a node, or None."""
        entry = self._entry_by_id.get(node_id)
        return entry and entry.state

    @property
    def is_large(self):
        """Whether the fleet is too large for each node to contact all others."""
        # Asked several times for each request, and a sum over all peers.
        if self._is_large is None:
            since = self._last_heard_at - PEER_RETENTION_SECONDS
            count = sum(at >= since for _, at, _ in self._entry_by_id.values())
            self._is_large = count > SMALL_FLEET_PEERS_MAX
        return self._is_large

    def live(self, now, within=PEER_TIMEOUT_SECONDS_LARGE):
        """Return the states of peers that are alive and have not left.

        `within` bounds the age of their states further, in seconds.
        """
        timeout = PEER_TIMEOUT_SECONDS_LARGE if self.is_large else PEER_TIMEOUT_SECONDS
        timeout = min(timeout, within)
        return [
            state
            for state, at, _ in self._entry_by_id.values()
            if now - at <= timeout and not state.is_gone
        ]

    def possible_granters(self, now, settling_seconds):
        """Return the states of the peers that grant permits, or may still do so.

        Those are the live ones and those lost for less than `settling_seconds`.

        >>> table = NodeTable("a")
        >>> table.observe_state(NodeState("b", 1, 1), now=0.0)
        True
        >>> [len(table.possible_granters(at, 1.0)) for at in (2.0, 3.0)]
        [1, 0]
        """
        timeout = PEER_TIMEOUT_SECONDS_LARGE if self.is_large else PEER_TIMEOUT_SECONDS
        return [
            state
            for state, at, _ in self._entry_by_id.values()
            if now - at <= timeout + settling_seconds
            and not (state.is_gone or state.is_leaving)
        ]

    def known(self, now):
        """Return the states of retained peers that have not left."""
        return [
            state
            for state, at, _ in self._entry_by_id.values()
            if now - at <= PEER_RETENTION_SECONDS and not state.is_gone
        ]

    def possible_holders(self, now):
        """Return the states of the peers that may hold jobs, lost ones included.

        Peers that left or were lost for long are forgotten.
        """
        self._entry_by_id = {
            node_id: entry
            for node_id, entry in self._entry_by_id.items()
            if now - entry.arrived_at <= HOLDER_RETENTION_SECONDS
        }
        self._is_large = None
        return [
            entry.state
            for entry in self._entry_by_id.values()
            if not entry.state.is_gone
        ]

    def lost(self, now):
        """Return the peers that may hold jobs but are not live.

        The result has the age of each one's last state in seconds, by id.
        """
        live_ids = {state.node_id for state in self.live(now)}
        return {
            state.node_id: now - self._entry_by_id[state.node_id].arrived_at
            for state in self.possible_holders(now)
            if state.node_id not in live_ids
        }

    def quota_share(self, now, min_count):
        """Return the fraction of the quotas that the live nodes may use together.

        `min_count` is a lower bound of the fleet's size from other sources, such as
        the seeds.
        """
        live_count = len(self.live(now)) + 1
        known_count = max(len(self.known(now)) + 1, min_count)
        return live_count / max(live_count, known_count)


def job_holder(job_key, accepted_by, notes_by_node, live_ids):
    """Return the id of the node that runs a job's items.

    It is a live node that reports that it holds the job (the lowest id if there are
    several), else the node that accepted the job if it is alive, else a node chosen by
    hash, so that all nodes with the same view choose the same one.

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


def _version_key(state):
    return state.incarnation, state.sequence
