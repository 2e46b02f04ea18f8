"""HTTP calls to endpoints, each on its own connection."""

import http.client
import socket
from typing import NamedTuple

import urllib3
from urllib3.exceptions import HTTPError

from sequoiaglade_decisions.gateway import Fault
from sequoiaglade_endpoints.connections import TrackedConnection

# An endpoint in the same region accepts a connection within a few milliseconds. The
# latency objective of a request is about 300 ms; the rest is for another endpoint.
CONNECT_SECONDS = 0.25
READ_BYTES = 65_536
# Maximum size of a response that is read completely before it is forwarded.
MAX_RESPONSE_BYTES = 33_554_432
# Keep-alive probes detect an unresponsive peer within three seconds.
KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3000),
)
SOCKET_OPTIONS = [*TrackedConnection.default_socket_options, *KEEPALIVE_OPTIONS]


class CallFault(NamedTuple):
    """A call without a response to forward: its `Fault` and the reason."""

    fault: Fault
    reason: str


class CompleteResponse(NamedTuple):
    """A response that was read to its end."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    is_signed: bool


class EventStreamResponse:
    """A stream of events whose headers were read; a context manager that closes it."""

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
        """Close the connection, on which the endpoint stops its work."""
        _close(self._connection, self._response, self._attempt)

    def chunks(self):
        """Yield the chunks of the body.

        Afterwards `fault` is a `CallFault` if the stream is incomplete, else None.
        """
        try:
            yield from _body_chunks(self._response)
            if self._attempt.is_aborted:
                self.fault = CallFault(Fault.BROKEN, "the call was aborted")
        except TimeoutError:
            self.fault = CallFault(Fault.BROKEN, "the stream stalled")
        except (HTTPError, OSError, ValueError) as error:
            self.fault = CallFault(Fault.BROKEN, f"the stream was interrupted: {error}")


class EndpointRequest(NamedTuple):
    """An endpoint's address and the request as it is sent there."""

    address: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    request_id: str


def open_call(request, dialect, attempt, stall_seconds, remaining_seconds):
    """Send a request; return `CompleteResponse`, `EventStreamResponse` or `CallFault`.

    `stall_seconds` limits each wait for data, `remaining_seconds` the wait for the
    connection. A fault `NOT_SENT` states that no byte was sent.
    """
    host, _, port = request.address.rpartition(":")
    connection = TrackedConnection(
        host,
        int(port),
        timeout=min(CONNECT_SECONDS, max(remaining_seconds, 0.01)),
        socket_options=SOCKET_OPTIONS,
    )
    try:
        with attempt:
            connection.connect()
    except (HTTPError, OSError) as error:
        _close(connection, None, attempt)
        return CallFault(Fault.NOT_SENT, f"no connection to {request.address}: {error}")
    connection.timeout = stall_seconds
    connection.sock.settimeout(stall_seconds)
    return _exchange(connection, request, dialect, attempt)


def _exchange(connection, request, dialect, attempt):
    headers = urllib3.HTTPHeaderDict()
    for name, value in request.headers:
        headers.add(name, value)
    response = None
    try:
        connection.request(
            request.method,
            request.target,
            body=request.body or None,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )
        response = connection.getresponse()
        return _read_head(connection, response, request, dialect, attempt)
    except TimeoutError:
        reason = f"{request.address} did not answer in time"
    except http.client.HTTPException as error:
        reason = f"{request.address} sent an invalid head: {error!r}"
    except (HTTPError, OSError, ValueError) as error:
        reason = f"the call to {request.address} was interrupted: {error}"
    _close(connection, response, attempt)
    return CallFault(Fault.BROKEN, reason)


def _read_head(connection, response, request, dialect, attempt):
    head = dialect.read_head(response.headers)
    if head.is_not_run:
        _close(connection, response, attempt)
        reason = f"{request.address} refused the request with {response.status}"
        return CallFault(Fault.NOT_RUN, reason)
    if head.request_id not in (None, request.request_id):
        _close(connection, response, attempt)
        reason = f"{request.address} answered another request"
        return CallFault(Fault.BROKEN, reason)
    is_success = 200 <= response.status < 300
    if is_success and not head.is_signed:
        _close(connection, response, attempt)
        return CallFault(Fault.BROKEN, f"{request.address} sent no signature")
    headers = dialect.forwarded_headers(response.headers)
    content_type = response.headers.get("Content-Type", "")
    if is_success and content_type.startswith("text/event-stream"):
        return EventStreamResponse(connection, response, headers, attempt)
    return _read_complete(connection, response, request, head, headers, attempt)


def _read_complete(connection, response, request, head, headers, attempt):
    chunks, size = [], 0
    try:
        for chunk in _body_chunks(response):
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_RESPONSE_BYTES:
                reason = f"{request.address} sent over {MAX_RESPONSE_BYTES} bytes"
                return CallFault(Fault.BROKEN, reason)
        if attempt.is_aborted:
            return CallFault(Fault.BROKEN, "the call was aborted")
        body = b"".join(chunks)
        return CompleteResponse(response.status, headers, body, head.is_signed)
    finally:
        _close(connection, response, attempt)


def _body_chunks(response):
    if response.chunked:
        yield from response.read_chunked(decode_content=False)
        return
    while chunk := response.read1(READ_BYTES, decode_content=False):
        yield chunk
    if response.length_remaining:
        raise OSError(f"{response.length_remaining} bytes are missing")


def _close(connection, response, attempt):
    attempt.detach()
    if response is not None:
        response.close()
    connection.close()
