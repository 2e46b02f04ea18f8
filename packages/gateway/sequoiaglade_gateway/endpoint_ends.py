"""Whether an endpoint's end cut a response that ends with its connection."""

import enum
import socket

import structlog

from sequoiaglade_decisions.gateway import is_lost

from .access_messages import FindEndpoint
from .endpoint_requests import CONNECT_SECONDS

# The kernel may close the listening socket of a killed process some time after its
# connections, and resets those that were opened in between.
LISTENER_CLOSE_SECONDS = 0.05


class EndpointLostError(OSError):
    """Ends the reading of a response whose endpoint ended with it."""


def check_not_lost(parts, request):
    """Raise `EndpointLostError` if an endpoint closed a connection as it ended.

    `request` is the `EndpointRequest` to which it responded. This takes a further
    connection to the endpoint.
    """
    endpoint = request.endpoint
    accepts = _accepts_connections(endpoint.address)
    listed = parts.coordinator.ask(FindEndpoint(endpoint.endpoint_id))
    is_cut = is_lost(endpoint, listed, accepts, request.is_repeatable)
    structlog.get_logger().info(
        "response ended by close",
        request_id=request.request_id,
        endpoint_id=endpoint.endpoint_id,
        accepts_connections=accepts,
        is_listed=listed is not None,
        is_cut=is_cut,
    )
    parts.metrics.count("response end", "endpoint lost" if is_cut else "believed")
    if is_cut:
        reason = f"{endpoint.address} ended with the connection of its response"
        raise EndpointLostError(reason)


class _Look(enum.Enum):
    """What became of a connection that was opened to see whether it is accepted."""

    KEPT = enum.auto()
    CLOSED = enum.auto()
    REFUSED = enum.auto()


def _accepts_connections(address):
    """Return whether an endpoint accepts connections; one that is slow counts as such.

    One that has too many connections closes further ones.
    """
    look = _look(address)
    if look is _Look.CLOSED:
        look = _look(address)
    return look is not _Look.REFUSED


def _look(address):
    host, _, port = address.rpartition(":")
    try:
        sock = socket.create_connection((host, int(port)), CONNECT_SECONDS)
    except ConnectionRefusedError:
        return _Look.REFUSED
    except ConnectionResetError:
        return _Look.CLOSED
    except OSError:
        return _Look.KEPT
    with sock:
        sock.settimeout(LISTENER_CLOSE_SECONDS)
        try:
            sock.recv(1)
        except TimeoutError:
            return _Look.KEPT
        except OSError:
            return _Look.CLOSED
    return _Look.CLOSED
