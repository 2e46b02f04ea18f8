"""HTTP calls to endpoints, each on its own connection."""

import http.client
import time
from enum import StrEnum
from typing import NamedTuple

import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, ReadTimeoutError

from sequoiaglade_decisions.gateway import Fault, ResponsePart
from sequoiaglade_endpoints.connections import TrackedConnection

from .body_buffer import BodyBuffer
from .bounded_reads import BoundedResponse, BoundExceededError
from .cold_endpoints import is_permit_expired, note_cold_response
from .endpoint_ends import check_not_lost
from .endpoint_requests import CONNECT_SECONDS, SOCKET_OPTIONS
from .forwarding import ForwardError
from .leaving import note_leaving
from .pace_messages import WorkTimeNamed
from .patient_socket import PatientSocket
from .request_limits import note_request_limit

READ_BYTES = 16_384


class CallFault(NamedTuple):
    """A call without a response to forward: its `Fault` and the reason.

    `is_abandoned` is whether this node ended the call, or the connection attempt, and
    the endpoint has not closed or refused the connection.
    """

    fault: Fault
    reason: str
    is_abandoned: bool = False


class Framing(StrEnum):
    """What shows the end of a response's body."""

    CHUNKS = "chunks"
    LENGTH = "length"
    CLOSE = "close"


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
        self.framing = _framing(response)

    @property
    def has_length(self):
        """False if only the end of the connection is the end of the stream."""
        return self.framing is not Framing.CLOSE

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
            self.fault = CallFault(Fault.SILENT, "the stream stalled", True)
        except (HTTPError, OSError, ValueError) as error:
            reason = f"the stream was interrupted: {error}"
            self.fault = CallFault(fault_of(error), reason, _is_own_bound(error))


def open_call(request, parts, attempt, patience, remaining_seconds, bounds):
    """Send a request; return `CompleteResponse`, `EventStreamResponse` or `CallFault`.

    `parts` are the node's. `patience` is the `Patience` with a silent endpoint,
    `remaining_seconds` limits the wait for the connection. A fault `NOT_SENT` states
    that no byte was sent. The response is read within its `ResponseBounds` and the
    node's `ResponseMemory`.
    """
    connection = parts.paths.forwarded_connection(request, bounds)
    is_direct = connection is None
    if is_direct:
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
        # A connection that got less time shows nothing.
        if remaining_seconds >= CONNECT_SECONDS and not attempt.is_aborted:
            parts.paths.note_failed(request.endpoint.endpoint_id)
        # A cut of this node's links says nothing of the endpoint.
        fault = Fault.NO_PATH if parts.paths.is_cut_off else Fault.NOT_SENT
        reason = f"no connection to {request.address}: {error}"
        is_timeout = isinstance(error, TimeoutError | ConnectTimeoutError)
        is_cut_short = is_timeout and remaining_seconds < CONNECT_SECONDS
        return CallFault(fault, reason, is_cut_short)
    if is_direct:
        parts.paths.note_connected(request.endpoint.endpoint_id)
    if not attempt.may_send():
        _close(connection, None, attempt)
        return CallFault(Fault.NOT_SENT, "the request is not to be sent any more")
    if is_permit_expired(request):
        _close(connection, None, attempt)
        parts.metrics.count("cold permit", "expired")
        return CallFault(Fault.NO_PATH, "the permit for the cold endpoint is over")
    connection.sock = PatientSocket(connection.sock, patience)

    def check_close():
        # A peer that forwards checks it itself.
        if is_direct and not attempt.is_aborted:
            check_not_lost(parts, request)

    bounded = BoundedResponse(
        request, attempt, bounds, parts.response_memory, check_close
    )
    bounded.install(connection)
    outcome = _exchange(connection, request, parts, attempt, bounded)
    if not isinstance(outcome, EventStreamResponse):
        bounded.release()
    if isinstance(outcome, CallFault) and outcome.fault is Fault.NOT_SENT:
        # A peer did not connect; it does not tell whether the time was too short.
        is_cut_short = remaining_seconds < CONNECT_SECONDS
        outcome = outcome._replace(is_abandoned=is_cut_short)
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
        head = parts.dialect.read_head(response.headers)
        note_request_limit(parts, request, head, sent_at)
        note_cold_response(parts, request, head, sent_at)
        _note_work_time(parts, request, head)
        return _read_head(connection, response, head, request, parts, attempt, bounded)
    except ForwardError as error:
        _close(connection, response, attempt)
        return CallFault(error.fault, str(error))
    except (TimeoutError, ReadTimeoutError):
        _close(connection, response, attempt)
        reason = f"{request.address} did not answer in time"
        return CallFault(Fault.SILENT, reason, True)
    except http.client.HTTPException as error:
        bounded.log_abandoned("head format", reason=repr(error))
        reason = f"{request.address} sent an invalid head: {error!r}"
    except (HTTPError, OSError, ValueError) as error:
        reason = f"the call to {request.address} was interrupted: {error}"
        fault = fault_of(error)
        _close(connection, response, attempt)
        return CallFault(fault, reason, _is_own_bound(error))
    _close(connection, response, attempt)
    return CallFault(Fault.BROKEN, reason)


def _note_work_time(parts, request, head):
    endpoint_id = request.endpoint.endpoint_id
    is_its_own = head.endpoint_id in (None, endpoint_id)
    if is_its_own and head.load is not None and head.load.work_percent is not None:
        named = WorkTimeNamed(endpoint_id, head.load.work_percent)
        parts.coordinator.tell(named)


def fault_of(error):
    """Return the `Fault` of an error while a response is read.

    urllib3 wraps the error of a connection in one of its own.
    """
    cause = error.args[1] if len(error.args) > 1 else None
    return cause.fault if isinstance(cause, ForwardError) else Fault.BROKEN


def _is_own_bound(error):
    """Return whether this node ended the reading of a response by one of its bounds."""
    cause = error.args[1] if len(error.args) > 1 else error
    return isinstance(cause, BoundExceededError)


def _read_head(connection, response, head, request, parts, attempt, bounded):
    if head.is_leaving:
        note_leaving(parts, request, head, response.status)
    # A refusal of another request says nothing about this one, which may run.
    if head.request_id not in (None, request.request_id):
        _close(connection, response, attempt)
        reason = f"{request.address} answered another request, {head.request_id!r}"
        return CallFault(Fault.BROKEN, reason, True)
    if head.is_not_run:
        _close(connection, response, attempt)
        reason = f"{request.address} refused the request with {response.status}"
        return CallFault(Fault.NOT_RUN, reason)
    is_success = 200 <= response.status < 300
    if is_success and not head.is_signed:
        _close(connection, response, attempt)
        reason = f"{request.address} sent no signature"
        return CallFault(Fault.BROKEN, reason, True)
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


def _framing(response):
    if response.chunked:
        return Framing.CHUNKS
    return Framing.CLOSE if response.length_remaining is None else Framing.LENGTH


def _body_chunks(response, bounded):
    if response.chunked:
        for chunk in response.read_chunked(READ_BYTES, decode_content=False):
            bounded.note_chunk()
            yield chunk
        return
    is_ended_by_close = _framing(response) is Framing.CLOSE
    while chunk := response.read1(READ_BYTES, decode_content=False):
        bounded.note_chunk()
        yield chunk
    if is_ended_by_close:
        bounded.check_close()
    if response.length_remaining:
        raise OSError(f"{response.length_remaining} bytes are missing")


def _close(connection, response, attempt):
    attempt.detach()
    if response is not None:
        response.close()
    connection.close()
