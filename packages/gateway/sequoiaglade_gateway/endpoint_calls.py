"""Calls to endpoints, each on a connection of its own."""

import socket
from typing import NamedTuple

import urllib3
from urllib3.exceptions import HTTPError

from sequoiaglade_decisions.gateway import Fault
from sequoiaglade_endpoints.connections import TrackedConnection

# An endpoint in the same region answers a new connection within a few milliseconds;
# a request's objective is about 300 ms, of which another endpoint needs the rest.
CONNECT_SECONDS = 0.25
READ_BYTES = 65_536
# Largest answer that is read whole before it is passed on.
WHOLE_BYTES_MAX = 33_554_432
# Keep-alive probes show within three seconds that the other side has gone silent.
KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3000),
)
SOCKET_OPTIONS = [*TrackedConnection.default_socket_options, *KEEPALIVE_OPTIONS]


class CallFault(NamedTuple):
    """A call that gave no answer to pass on, as a `Fault` with its reason."""

    fault: Fault
    reason: str


class CompleteResponse(NamedTuple):
    """An answer that was read to its end."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    is_signed: bool


class EventStreamResponse:
    """A stream of events that has begun; a context manager that closes it."""

    def __init__(self, connection, response, headers, attempt):
        self._connection = connection
        self._response = response
        self._attempt = attempt
        self.headers = headers
        self.fault = None

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.close()

    def close(self):
        """Close the connection, by which the endpoint stops its work."""
        _close(self._connection, self._response, self._attempt)

    def chunks(self):
        """Yield the parts of the body; afterwards `fault` tells whether it is cut."""
        try:
            yield from _parts(self._response)
            if self._attempt.is_aborted:
                self.fault = CallFault(Fault.BROKEN, "the call was stopped")
        except TimeoutError:
            self.fault = CallFault(Fault.BROKEN, "the stream stalled")
        except (HTTPError, OSError, ValueError) as error:
            self.fault = CallFault(Fault.BROKEN, f"the stream broke off: {error}")


class EndpointRequest(NamedTuple):
    """What to call: an endpoint and the request as it is sent there."""

    address: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    request_id: str


def open_call(target, dialect, attempt, stall_seconds, left_seconds):
    """Send a request; return `WholeAnswer`, `EventAnswer` or `CallFault`.

    `stall_seconds` bounds each wait for the endpoint, `left_seconds` the first one.
    A fault `NOT_SENT` states that no byte was sent.
    """
    host, _, port = target.address.rpartition(":")
    connection = TrackedConnection(
        host,
        int(port),
        timeout=min(CONNECT_SECONDS, max(left_seconds, 0.01)),
        socket_options=SOCKET_OPTIONS,
    )
    try:
        with attempt:
            connection.connect()
    except (HTTPError, OSError) as error:
        _close(connection, None, attempt)
        return CallFault(Fault.NOT_SENT, f"no connection to {target.address}: {error}")
    connection.timeout = stall_seconds
    connection.sock.settimeout(stall_seconds)
    return _exchange(connection, target, dialect, attempt)


def _exchange(connection, target, dialect, attempt):
    headers = urllib3.HTTPHeaderDict()
    for name, value in target.headers:
        headers.add(name, value)
    response = None
    try:
        connection.request(
            target.method,
            target.target,
            body=target.body or None,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )
        response = connection.getresponse()
        return _read_head(connection, response, target, dialect, attempt)
    except TimeoutError:
        reason = f"{target.address} did not answer in time"
    except (HTTPError, OSError, ValueError) as error:
        reason = f"{target.address} broke off: {error}"
    _close(connection, response, attempt)
    return CallFault(Fault.BROKEN, reason)


def _read_head(connection, response, target, dialect, attempt):
    head = dialect.read_head(response.headers)
    if head.is_not_run:
        _close(connection, response, attempt)
        reason = f"{target.address} refused with {response.status}"
        return CallFault(Fault.NOT_RUN, reason)
    if head.request_id not in (None, target.request_id):
        _close(connection, response, attempt)
        reason = f"{target.address} answered another request"
        return CallFault(Fault.BROKEN, reason)
    is_success = 200 <= response.status < 300
    if is_success and not head.is_signed:
        _close(connection, response, attempt)
        return CallFault(Fault.BROKEN, f"{target.address} sent no signature")
    headers = dialect.forwarded_headers(response.headers)
    content_type = response.headers.get("Content-Type", "")
    if is_success and content_type.startswith("text/event-stream"):
        return EventStreamResponse(connection, response, headers, attempt)
    return _read_whole(connection, response, target, head, headers, attempt)


def _read_whole(connection, response, target, head, headers, attempt):
    parts, size = [], 0
    try:
        for part in _parts(response):
            parts.append(part)
            size += len(part)
            if size > WHOLE_BYTES_MAX:
                reason = f"{target.address} sent over {WHOLE_BYTES_MAX} bytes"
                return CallFault(Fault.BROKEN, reason)
        if attempt.is_aborted:
            return CallFault(Fault.BROKEN, "the call was stopped")
        body = b"".join(parts)
        return CompleteResponse(response.status, headers, body, head.is_signed)
    finally:
        _close(connection, response, attempt)


def _parts(response):
    if response.chunked:
        yield from response.read_chunked(decode_content=False)
        return
    while part := response.read1(READ_BYTES, decode_content=False):
        yield part
    if response.length_remaining:
        raise OSError(f"{response.length_remaining} bytes are missing")


def _close(connection, response, attempt):
    attempt.detach()
    if response is not None:
        response.close()
    connection.close()
