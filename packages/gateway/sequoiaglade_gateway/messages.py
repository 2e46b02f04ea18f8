"""Messages of the coordinator: questions, their answers, and news."""

from typing import Any, NamedTuple

from sequoiaglade_decisions.gateway import NodeState


class Admit(NamedTuple):
    """Ask to admit a request; answers None or a `Limited` or `Quarantined`."""

    workspace: str | None
    fingerprint: str


class QuotaExceeded(NamedTuple):
    """The workspace's quota is used up for `retry_after` seconds."""

    retry_after: float
    share: float


class Quarantined(NamedTuple):
    """The request crashed endpoints before."""


class PlaceRequest(NamedTuple):
    """Ask for an endpoint; answers `Running` or `Full`.

    `is_late` tells that a batch item can no longer be done in time.
    """

    service: str
    spread: str
    excluded: frozenset = frozenset()
    headroom: int = 0
    is_batch: bool = False
    is_late: bool = False


class EndpointResult(NamedTuple):
    """How a request ended; `pause_seconds` is the mean one between events, or 0."""

    endpoint_id: str
    outcome: str
    pause_seconds: float = 0.0


class LoadReport(NamedTuple):
    """What a node has in flight, and what has ended since its last report.

    `number` is the pair of the node's incarnation and a number that rises;
    `counts_by_id` has pairs of online and batch requests by endpoint id.
    """

    node_id: str
    number: tuple[int, int]
    counts_by_id: dict
    results: tuple[EndpointResult, ...] = ()


class AskScheduler(NamedTuple):
    """Ask who places a request; answers a `Question`, or None in a small fleet."""

    service: str
    spread: str


class Question(NamedTuple):
    """What to tell the nodes that schedule a group, the first one first.

    `candidates` are pairs of node id and peer address.
    """

    candidates: list
    group: int
    group_count: int
    report: LoadReport


class Schedule(NamedTuple):
    """Ask this node, as a scheduler, to place; answers `Scheduled` or `Full`."""

    report: LoadReport
    place: PlaceRequest
    group: int
    group_count: int


class Begin(NamedTuple):
    """Count a request at a scheduled endpoint; answers `Running`.

    Answers None if this node knows that the endpoint is to get no new work.
    """

    place: PlaceRequest
    endpoint_id: str


class TakeReports(NamedTuple):
    """Ask for the reports that are due; answers pairs of peer address and report.

    Answers None in a small fleet, which has no schedulers.
    """


class HearReport(NamedTuple):
    """A peer told its loads to this node as a scheduler."""

    report: LoadReport


class InFlightRequest(NamedTuple):
    """A request's endpoint, counted as in flight until `Ended` is told."""

    endpoint: Any
    preempts: bool
    in_flight: int


class RequestEnded(NamedTuple):
    """A request is no longer in flight; `outcome` is one of the constants below."""

    endpoint_id: str
    is_batch: bool
    outcome: str
    fingerprint: str = ""


class EventIntervalObserved(NamedTuple):
    """The mean pause between the events of a stream, in seconds."""

    endpoint_id: str
    seconds: float


class Configured(NamedTuple):
    """A configuration came into force."""

    configuration: Any


class EndpointsListed(NamedTuple):
    """The whole list of endpoints was read."""

    endpoints: list


class EndpointChanged(NamedTuple):
    """An endpoint's entry changed; `endpoint` is None once it is gone."""

    endpoint_id: str
    endpoint: Any


class ListReachable(NamedTuple):
    """Whether the list of endpoints can be read."""

    is_reachable: bool


class Heard(NamedTuple):
    """States that a peer told."""

    states: list


class Publish(NamedTuple):
    """Ask for this node's new state and those to pass on; answers `Published`."""

    batch_backlog: int
    batch_running: int
    jobs: tuple
    is_store_reachable: bool


class Published(NamedTuple):
    """This node's state, other nodes' recent ones, and whether endpoints are full."""

    own: NodeState
    others: list
    is_busy: bool
    is_fleet_large: bool


class BatchPeers(NamedTuple):
    """Ask for the peer addresses of nodes with batch items at an endpoint."""

    endpoint_id: str


class LiveNodes(NamedTuple):
    """Ask for the states of live peers; answers a list.

    `within` is how old their news may be at most, in seconds.
    """

    within: float = float("inf")


class KnownNodes(NamedTuple):
    """Ask for the ids of peers that may live; answers a list."""


class HeardShare(NamedTuple):
    """Ask for the part of the known nodes that are heard; answers a number."""


class BatchShare(NamedTuple):
    """Ask how many items this node may run; answers a number."""

    service: str
    backlog: int


class Leave(NamedTuple):
    """This node stops; it takes no new callers and jobs."""

    is_gone: bool = False


class View(NamedTuple):
    """Ask for what the node believes, to show it to operators; answers a dict."""


DONE = "done"
NOT_SENT = "not_sent"
REFUSED = "refused"
BROKEN = "broken"
STOPPED = "stopped"
