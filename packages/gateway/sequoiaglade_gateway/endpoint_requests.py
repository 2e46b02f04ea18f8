"""Requests to endpoints, and the options of the connections for them."""

import socket
from typing import Any, NamedTuple

from sequoiaglade_endpoints.connections import TrackedConnection

# An endpoint in the same region accepts a connection within a few milliseconds. The
# latency objective of a request is about 300 ms; the rest is for another endpoint.
CONNECT_SECONDS = 0.25
# Keep-alive probes detect an unresponsive peer within three seconds.
KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3000),
)
SOCKET_OPTIONS = [*TrackedConnection.default_socket_options, *KEEPALIVE_OPTIONS]


class EndpointRequest(NamedTuple):
    """An `Endpoint` and the request as it is sent there.

    It needs a permit if the endpoint is cold, and is not sent after `permit_until`, a
    monotonic time.
    `regions` are its `allowed_regions`, None for none. `is_repeatable` is whether it
    may be sent again after it may have run.
    """

    endpoint: Any
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    request_id: str
    permit_until: float | None = None
    regions: frozenset[str] | None = frozenset()
    is_repeatable: bool = False

    @property
    def address(self):
        """The endpoint's host and port."""
        return self.endpoint.address
