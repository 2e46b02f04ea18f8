"""Messages to the coordinator: requests, their replies, and notifications."""

from typing import Any, NamedTuple

from sequoiaglade_decisions.gateway import NodeState, PaceLimit


class IsQuarantined(NamedTuple):
    """Asks whether requests with a fingerprint are rejected; the reply is a bool."""

    fingerprint: str


class FindPartRefusal(NamedTuple):
    """Asks for the part of a prompt that crashes endpoints.

    The reply is a `Blame`, or None.

    `is_broken` states that an endpoint has just broken off the request, which then is
    not sent again on less evidence than a new one is refused on. `has_begun` states
    that the request has got events from some endpoint.
    """

    service: str
    parts: tuple[str, ...]
    is_broken: bool = False
    has_begun: bool = False


class EndpointAnswered(NamedTuple):
    """Reports the head of an answer to an attempt that was sent at time `sent_at`.

    `born` is the start time of the endpoint, as in `Endpoint`.
    """

    endpoint_id: str
    born: int
    sent_at: float


class PartsAnswered(NamedTuple):
    """A request with these prompt parts got a response.

    `is_complete` is whether it ended or had lasted, else only its first event came.
    """

    service: str
    parts: tuple[str, ...]
    is_complete: bool = True


class QuotaExceeded(NamedTuple):
    """The workspace's quota is used up for `retry_after` seconds.

    `share` is the fraction of the quota that the live nodes may use together.
    """

    retry_after: float
    share: float


class PlaceRequest(NamedTuple):
    """Asks for an endpoint for a request; the reply is `InFlightRequest` or `Full`.

    The reply is None if this node finds no slot for a batch item. `spread` is a
    text of the request by which requests are hashed over endpoints. `headroom` is how
    many fewer requests than usual may queue at an endpoint. `is_late` states that a
    batch item can no longer be completed by its due time. `version` restricts the
    choice to endpoints of that software version; None allows all. `workspace` is the
    one whose quota the request uses when it is placed; None if the request uses none or
    was counted before. The reply is `QuotaExceeded` if that quota is used up, which is
    not checked again if the request `is_admitted`. `regions` are those in which an
    endpoint may be chosen, empty for all. `was_denied` states that a permit for a cold
    endpoint was denied: no other node is asked for one then.
    """

    service: str
    spread: str
    excluded: frozenset = frozenset()
    headroom: int = 0
    is_batch: bool = False
    is_late: bool = False
    version: str | None = None
    workspace: str | None = None
    is_admitted: bool = False
    regions: frozenset[str] = frozenset()
    was_denied: bool = False


class EndpointResult(NamedTuple):
    """Outcome of a request at an endpoint.

    `outcome` is one of the constants below, or empty if only the interval is reported.
    `pause_seconds` is the mean interval between the events of its stream, or 0.
    `lateness` is the time to its first event as a multiple of what callers need, or 0,
    `answer_seconds` this time. `work_percent` is how long work takes at the endpoint in
    per cent of the usual time, as it stated `work_age_seconds` ago, or 0.
    `run_seconds` is how long before its end it was sent, 0 if unknown. `is_abandoned`
    is whether the outcome is `BROKEN` since the node ended the call itself.
    """

    endpoint_id: str
    outcome: str
    pause_seconds: float = 0.0
    lateness: float = 0.0
    answer_seconds: float = 0.0
    work_percent: float = 0.0
    work_age_seconds: float = 0.0
    run_seconds: float = 0.0
    is_abandoned: bool = False


class LoadReport(NamedTuple):
    """Requests that a node has in flight, and those that ended since its last report.

    `number` is the pair of the node's incarnation and a number that increases with
    each report. `counts_by_id` has pairs of online and batch requests by endpoint id.
    `admitted_by_workspace` has the requests admitted since the node's start, of the
    workspaces with recent ones. `paces` are the `PaceLimit`s that schedulers told the
    node lately.
    """

    node_id: str
    number: tuple[int, int]
    counts_by_id: dict
    results: tuple[EndpointResult, ...] = ()
    admitted_by_workspace: dict = {}
    paces: tuple[PaceLimit, ...] = ()


class FindStoreFollowers(NamedTuple):
    """Asks which peers of the failure domain tell this node of changes in the store.

    The reply has their peer addresses. It is None if this node follows the store
    itself: in a small fleet or domain, and as one of these nodes.
    """


class FindTokenKeepers(NamedTuple):
    """Asks which nodes keep a workspace's waiting tokens.

    The reply is `TokenKeepers`. It is None in a small fleet, and while a live node runs
    a release that keeps none; each node then decides by itself and tells all others.
    """

    workspace: str


class TokenKeepers(NamedTuple):
    """The peer addresses of a workspace's keepers, in the order to ask them.

    `is_settled` is whether the other nodes know of this one's start, `share` is the
    fraction of the known nodes that are live.
    """

    addresses: tuple[str, ...]
    is_settled: bool
    share: float


class FindSchedulers(NamedTuple):
    """Asks which nodes may place a request.

    The reply is a `SchedulerQuery`, or None in a small fleet, which has no schedulers.
    """

    service: str
    spread: str


class SchedulerQuery(NamedTuple):
    """The scheduler nodes of a request's endpoint group, and what to send them.

    `candidates` are pairs of node id and peer address in order of preference.
    `leaving_ids` are the endpoints that announced their shutdown to this node, which a
    scheduler may not know.
    """

    candidates: list
    group: int
    group_count: int
    report: LoadReport
    leaving_ids: frozenset


class Schedule(NamedTuple):
    """Asks this node, as a scheduler, to place a request of the reporting node.

    The reply is a pair: `Scheduled`, `Full` or `QuotaExceeded`, and the peer address of
    the node whose batch item is to be preempted (None if there is none).
    """

    report: LoadReport
    place: PlaceRequest
    group: int
    group_count: int


class BeginRequest(NamedTuple):
    """Counts a request in flight at the endpoint that a scheduler chose.

    The reply is `InFlightRequest`, or None if the endpoint is draining, leaving,
    evacuated, removed or in a region that is not allowed, according to this node.
    `pace` is the `PaceLimit` that another node told as the scheduler, or None.
    """

    place: PlaceRequest
    endpoint_id: str
    has_permit: bool = False
    has_cold_permit: bool = False
    pace: PaceLimit | None = None


class CollectLoadReports(NamedTuple):
    """Asks for the load reports that are due.

    The reply is a list of pairs of peer address and `LoadReport`, or None in a small
    fleet, which has no schedulers.
    """


class LoadReportReceived(NamedTuple):
    """A node sent its load report to this node as a scheduler."""

    report: LoadReport


class InFlightRequest(NamedTuple):
    """A request's endpoint; it counts as in flight until `RequestEnded` is sent.

    `preempts` asks the sender to stop a batch item of this node there. `in_flight` is
    the number of requests at the endpoint. `has_permit` is whether a permit for an
    endpoint with a limit was taken already, `has_cold_permit` whether one for a cold
    endpoint was. That one is not used after the monotonic time `permit_until`.
    `is_paced` asks the sender for a `FirstEventObserved`.
    """

    endpoint: Any
    preempts: bool
    in_flight: int
    has_permit: bool = False
    has_cold_permit: bool = False
    permit_until: float | None = None
    is_paced: bool = False


class RequestEnded(NamedTuple):
    """A request is no longer in flight; `outcome` is one of the constants below.

    `fingerprint` identifies a request that may have crashed the endpoint, `parts` are
    those of its prompt if one of them may have, and `service` its service. `has_begun`
    is whether events of this endpoint had arrived, `has_events` whether events of any.
    `sent_at` is the monotonic time at which it was sent, None if unknown.
    """

    endpoint_id: str
    is_batch: bool
    outcome: str
    fingerprint: str = ""
    service: str = ""
    parts: tuple[str, ...] = ()
    has_begun: bool = False
    has_events: bool = False
    sent_at: float | None = None


class AcceptsRequests(NamedTuple):
    """Asks whether new requests may be sent to an endpoint; the reply is a bool.

    `regions` are the `allowed_regions`, None for none.
    """

    endpoint_id: str
    regions: frozenset[str] | None = frozenset()


class EndpointLeaving(NamedTuple):
    """An endpoint announced its shutdown; the reply is whether that was not known.

    `born` is the start time of the endpoint, as in `Endpoint`.
    """

    endpoint_id: str
    born: int


class EndpointSilent(NamedTuple):
    """A request has waited for data from an endpoint for a while."""

    endpoint_id: str


class EventIntervalObserved(NamedTuple):
    """The mean interval between the events of a stream, in seconds."""

    endpoint_id: str
    seconds: float


class ConfigurationChanged(NamedTuple):
    """A new configuration takes effect."""

    configuration: Any


class EndpointsListed(NamedTuple):
    """The complete list of endpoints was read."""

    endpoints: list


class EndpointChanged(NamedTuple):
    """An endpoint's entry changed; `endpoint` is None if it was removed."""

    endpoint_id: str
    endpoint: Any


class EndpointListReachable(NamedTuple):
    """Whether the list of endpoints can be read from the store."""

    is_reachable: bool


class PeerStatesReceived(NamedTuple):
    """Node states that a peer sent; the reply is the list of those that are new.

    `age_by_id` has how many seconds ago each was made at least, as far as known.
    """

    states: list
    age_by_id: dict = {}


class Publish(NamedTuple):
    """Asks for this node's next state and those to relay; the reply is `Published`.

    `recipient` is the pair of the id and the incarnation of the peer that is answered.
    """

    batch_backlog: int
    batch_running: int
    jobs: tuple
    is_store_reachable: bool
    recipient: tuple[str, int] = ("", 0)


class Published(NamedTuple):
    """The states to send to peers.

    `own` is this node's state, `others` are recent states of other nodes. `is_busy`
    states whether a recent request found all endpoints full. `age_by_id` has how many
    seconds ago each state of another node was made; it is empty in a small fleet, where
    states are seldom relayed.
    """

    own: NodeState
    others: list
    is_busy: bool
    is_fleet_large: bool
    age_by_id: dict = {}


class BatchPeers(NamedTuple):
    """Asks for the peer addresses of nodes with batch items at an endpoint.

    The reply is a list; it is empty in a large fleet, where schedulers preempt.
    """

    endpoint_id: str


class LiveNodes(NamedTuple):
    """Asks for the states of live peers; the reply is a list.

    `within` is the maximum age of these states in seconds.
    """

    within: float = float("inf")


class FindRunning(NamedTuple):
    """Asks which peers run, for the directory; the reply is `RunningNodes`."""


class RunningNodes(NamedTuple):
    """The states of peers that run and have not left, and the ids of those left out.

    `left_out` are the peers that were heard of lately, but not lately enough.
    """

    states: list
    left_out: tuple[str, ...]


class PossibleHolders(NamedTuple):
    """Asks which peers may hold jobs; the reply is a `HolderPeers`."""


class HolderPeers(NamedTuple):
    """Ids of the peers that may hold jobs.

    `lost_seconds_by_id` has the lost ones among them and the age of their last state,
    `heard_share` is the fraction of the known peers whose states arrived lately.
    """

    known_ids: list
    lost_seconds_by_id: dict
    heard_share: float = 1.0


class LiveNodeFraction(NamedTuple):
    """Asks for the fraction of the known nodes that are live; the reply is a number."""


class BatchShare(NamedTuple):
    """Asks how many batch items this node may run; the reply is a number."""

    service: str
    backlog: int


class Leave(NamedTuple):
    """This node is stopping and takes no new callers or jobs.

    `is_gone` states that it has stopped.
    """

    is_gone: bool = False


class GetStatus(NamedTuple):
    """Asks for the node's view of the fleet, for operators; the reply is a dict."""


DONE = "done"
NOT_SENT = "not_sent"
REFUSED = "refused"
BROKEN = "broken"
# A failure like `BROKEN` or `NOT_SENT`, but this node ended the call or the connection
# attempt, as the endpoint took too long or sent nothing that can be used.
ABANDONED = "abandoned"
STOPPED = "stopped"
SILENT = "silent"
