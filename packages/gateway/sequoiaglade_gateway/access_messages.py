"""Messages to the coordinator about endpoints' limits, permits and ways to them."""

from typing import Any, NamedTuple


class RequestLimitNamed(NamedTuple):
    """A response names a limit in requests a second, None for no limit.

    `born` is the start time of the endpoint, as in `Endpoint`, `sent_at` is when the
    request was sent. The reply is whether that changes the limit.
    """

    endpoint_id: str
    born: int
    limit: float | None
    sent_at: float


class FindPermitGranters(NamedTuple):
    """Asks which nodes grant the permits for an endpoint.

    The reply is `PermitGranters`, or None if the endpoint has no limit.
    """

    endpoint_id: str


class ColdNotice(NamedTuple):
    """Why a node needs a permit for a cold endpoint.

    It takes the endpoint for cold for `seconds` more, in which it gets `rate` requests
    a second from all nodes together. `is_limited` is whether the endpoint names a limit
    as well, `is_unconfirmed` whether the node presumes it or knows it from a peer only.
    """

    rate: float
    seconds: float
    is_limited: bool = False
    is_unconfirmed: bool = False


class PermitGranters(NamedTuple):
    """The nodes that grant the permits for an endpoint, in the order to ask them.

    `candidates` are pairs of node id and peer address, which is None for the node
    itself. `notice` is the `LimitNotice` of the endpoint with its age. `cold` is a
    `ColdNotice`, None if the endpoint is warm. For an endpoint that is only cold,
    `notice` has its rate as a limit, to which granters of earlier releases keep.
    """

    candidates: list
    notice: Any
    cold: ColdNotice | None = None


class TakePermit(NamedTuple):
    """Asks this node, as the granter, for a permit; the reply is a `Permit`.

    `notice` and `cold` are as in `PermitGranters`.
    """

    notice: Any
    is_batch: bool
    cold: ColdNotice | None = None


class ColdResponse(NamedTuple):
    """A response to a request that was sent at a time.

    `seconds` is how much longer the endpoint is cold, None if it doesn't tell.
    """

    endpoint_id: str
    seconds: float | None
    sent_at: float


class PermitDenied(NamedTuple):
    """This node was denied a permit for an endpoint."""

    endpoint_id: str
    is_batch: bool
    permit: Any


class FindForwarders(NamedTuple):
    """Asks which peers may forward a request to an endpoint.

    The reply has pairs of node id and peer address, in the order to ask them.
    `spread` is a text by which requests are spread over them. `regions` are its
    `allowed_regions`, None for none.
    """

    spread: str
    regions: frozenset[str] | None = frozenset()


class FindEndpoint(NamedTuple):
    """Asks for an `Endpoint` with its limit; the reply is None if it is unknown."""

    endpoint_id: str


class FindAnyEndpoint(NamedTuple):
    """Asks for an `Endpoint` to probe; the reply is None if there is none."""


class ConnectionTried(NamedTuple):
    """This node tried to connect to an endpoint.

    The reply is a `ReachChange`, or None if nothing changed.
    """

    endpoint_id: str
    is_connected: bool


class ReachChange(NamedTuple):
    """Whether this node is now cut off from all endpoints, or reaches some again."""

    is_cut_off: bool
