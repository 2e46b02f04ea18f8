"""HTTP calls to endpoints, each on its own connection."""

import http.client
import socket
import time
from typing import Any, NamedTuple

import urllib3
from urllib3.exceptions import HTTPError, ReadTimeoutError

from sequoiaglade_decisions.gateway import Fault, ResponsePart
from sequoiaglade_endpoints.connections import TrackedConnection

from .body_buffer import BodyBuffer
from .bounded_reads import BoundedResponse
from .endpoint_reach import note_connection
from .leaving import note_leaving
from .patient_socket import PatientSocket
from .request_limits import note_request_limit

# An endpoint in the same region accepts a connection within a few milliseconds. The
# latency objective of a request is about 300 ms; the rest is for another endpoint.
CONNECT_SECONDS = 0.25
READ_BYTES = 16_384
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

    def __init__(self, connection, response, headers, attempt, bounded):
        self._connection = connection
        self._response = response
        self._attempt = attempt
        self._bounded = bounded
        self.headers = headers
        self.fault = None
        # False if only the end of the connection is the end of the stream.
        self.has_length = response.chunked or response.length_remaining is not None

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.close()

    def close(self):
        """Close the connection, on which the endpoint stops its work."""
        _close(self._connection, self._response, self._attempt)
        self._bounded.release()

    def note_event(self):
        """Record a new event, from which the bounds of the next one count."""
        self._bounded.note_event()

    def log_abandoned(self, bound):
        """Log a bound of the caller that ended the call."""
        self._bounded.log_abandoned(bound)

    def chunks(self):
        """Yield the chunks of the body.

        Afterwards `fault` is a `CallFault` if the stream is incomplete, else None.
        """
        try:
            yield from _body_chunks(self._response, self._bounded)
            if self._attempt.is_aborted:
                self.fault = CallFault(Fault.BROKEN, "the call was aborted")
        except (TimeoutError, ReadTimeoutError):
            self.fault = CallFault(Fault.SILENT, "the stream stalled")
        except (HTTPError, OSError, ValueError) as error:
            self.fault = CallFault(Fault.BROKEN, f"the stream was interrupted: {error}")


class EndpointRequest(NamedTuple):
    """An `Endpoint` and the request as it is sent there."""

    endpoint: Any
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    request_id: str

    @property
    def address(self):
        """The endpoint's host and port."""
        return self.endpoint.address


def open_call(request, parts, attempt, patience, remaining_seconds, bounds):
    """Send a request; return `CompleteResponse`, `EventStreamResponse` or `CallFault`.

    `parts` are the node's. `patience` is the `Patience` with a silent endpoint,
    `remaining_seconds` limits the wait for the connection. A fault `NOT_SENT` states
    that no byte was sent. The response is read within its `ResponseBounds` and the
    node's `ResponseMemory`.
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
        if not attempt.is_aborted:
            note_connection(parts, request.endpoint.endpoint_id, False)
        return CallFault(Fault.NOT_SENT, f"no connection to {request.address}: {error}")
    note_connection(parts, request.endpoint.endpoint_id, True)
    if not attempt.may_send():
        _close(connection, None, attempt)
        return CallFault(Fault.NOT_SENT, "the request is not to be sent any more")
    connection.sock = PatientSocket(connection.sock, patience)
    bounded = BoundedResponse(request, attempt, bounds, parts.response_memory)
    bounded.install(connection)
    outcome = _exchange(connection, request, parts, attempt, bounded)
    if not isinstance(outcome, EventStreamResponse):
        bounded.release()
    return outcome


def _exchange(connection, request, parts, attempt, bounded):
    headers = urllib3.HTTPHeaderDict()
    for name, value in request.headers:
        headers.add(name, value)
    response = None
    sent_at = time.monotonic()
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
        bounded.check_head()
        head = parts.dialect.read_head(response.headers)
        note_request_limit(parts, request, head, sent_at)
        return _read_head(connection, response, head, request, parts, attempt, bounded)
    except (TimeoutError, ReadTimeoutError):
        _close(connection, response, attempt)
        reason = f"{request.address} did not answer in time"
        return CallFault(Fault.SILENT, reason)
    except http.client.HTTPException as error:
        bounded.log_abandoned("head format", reason=repr(error))
        reason = f"{request.address} sent an invalid head: {error!r}"
    except (HTTPError, OSError, ValueError) as error:
        reason = f"the call to {request.address} was interrupted: {error}"
    _close(connection, response, attempt)
    return CallFault(Fault.BROKEN, reason)


def _read_head(connection, response, head, request, parts, attempt, bounded):
    if head.is_leaving:
        note_leaving(parts, request, head, response.status)
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
    headers = parts.dialect.forwarded_headers(response.headers)
    content_type = response.headers.get("Content-Type", "")
    if is_success and content_type.startswith("text/event-stream"):
        bounded.begin(ResponsePart.EVENTS)
        return EventStreamResponse(connection, response, headers, attempt, bounded)
    bounded.begin(ResponsePart.BODY)
    return _read_complete(connection, response, head, headers, attempt, bounded)


def _read_complete(connection, response, head, headers, attempt, bounded):
    with BodyBuffer() as buffer:
        try:
            for chunk in _body_chunks(response, bounded):
                buffer.append(chunk)
            if attempt.is_aborted:
                return CallFault(Fault.BROKEN, "the call was aborted")
            body = buffer.read()
            return CompleteResponse(response.status, headers, body, head.is_signed)
        finally:
            _close(connection, response, attempt)


def _body_chunks(response, bounded):
    if response.chunked:
        for chunk in response.read_chunked(READ_BYTES, decode_content=False):
            bounded.note_chunk()
            yield chunk
        return
    while chunk := response.read1(READ_BYTES, decode_content=False):
        bounded.note_chunk()
        yield chunk
    if response.length_remaining:
        raise OSError(f"{response.length_remaining} bytes are missing")


def _close(connection, response, attempt):
    attempt.detach()
    if response is not None:
        response.close()
    connection.close()
