"""Requests that this node sends to endpoints for peers that reach none."""

import contextlib
import http.client
import socket
import threading
import time

import structlog
from urllib3.util.connection import create_connection

from sequoiaglade_endpoints.connections import parse_head
from sequoiaglade_protocol import fleet_pb2

from ..access_messages import FindEndpoint
from ..cold_endpoints import is_permit_expired, note_cold_response
from ..endpoint_ends import check_not_lost
from ..endpoint_requests import CONNECT_SECONDS, SOCKET_OPTIONS, EndpointRequest
from ..evacuation_messages import IsEvacuated
from ..leaving import note_leaving
from ..request_limits import note_request_limit

# Requests of peers that run at the same time. A node with this many has no processor
# time left for more.
FORWARDS_MAX = 64
READ_BYTES = 16_384
# Heads of responses have a few hundred bytes; longer ones are not looked at.
HEAD_BYTES_MAX = 32_768
HEAD_END = b"\r\n\r\n"
IDLE_CHECK_SECONDS = 0.05
MS_PER_SECOND = 1000
EVACUATED = "the endpoint's failure domain is evacuated"


class Forwarder:
    """Sends requests for peers, on connections of this node alone.

    The peer decides all about the request: its attempts, its place, its permit and when
    to stop. This node only sends what it may send to the endpoint itself, and notes
    what the endpoint says of itself in the response.
    """

    def __init__(self, parts):
        self._parts = parts
        self._lock = threading.Lock()
        self._running_count = 0
        self._log = structlog.get_logger()

    def forward(self, request, context):
        """Yield the `ForwardReply` messages for a `ForwardRequest`."""
        with self._counted() as is_free:
            endpoint = self._parts.coordinator.ask(FindEndpoint(request.endpoint_id))
            reason = None if is_free else "too many requests are forwarded"
            if self._parts.store_cache.lacks_evacuations:
                reason = reason or "the evacuations are not known here yet"
            reason = reason or _refusal(endpoint, request)
            if reason is not None:
                end = _end(fleet_pb2.ForwardEnd.NOT_FORWARDED, reason)
            else:
                end = yield from self._run(endpoint, request, context)
        kind = fleet_pb2.ForwardEnd.Kind.Name(end.kind)
        self._parts.metrics.count("forwarded for peer", kind.lower())
        self._log.info(
            "request forwarded for peer",
            request_id=request.request_id,
            endpoint_id=request.endpoint_id,
            peer=request.node_id,
            end=kind.lower(),
            reason=end.reason,
        )
        yield fleet_pb2.ForwardReply(end=end)

    def wait_until_idle(self, until):
        """Wait until no request of a peer runs, at most until a monotonic time."""
        while self._running_count and time.monotonic() < until:
            time.sleep(IDLE_CHECK_SECONDS)

    @contextlib.contextmanager
    def _counted(self):
        with self._lock:
            is_free = self._running_count < FORWARDS_MAX
            self._running_count += 1
        try:
            yield is_free
        finally:
            with self._lock:
                self._running_count -= 1

    def _run(self, endpoint, request, context):
        """Yield the pieces of the response; return the `ForwardEnd`."""
        seconds = request.timeout_ms / MS_PER_SECOND
        began_at = time.monotonic()
        end_at = began_at + seconds
        permit_until = None
        if request.permit_left_ms:
            permit_until = began_at + request.permit_left_ms / MS_PER_SECOND
        sent = EndpointRequest(
            endpoint,
            "",
            "",
            [],
            b"",
            request.request_id,
            permit_until,
            is_repeatable=request.is_repeatable,
        )
        host, _, port = endpoint.address.rpartition(":")
        try:
            sock = create_connection(
                (host, int(port)),
                timeout=min(CONNECT_SECONDS, seconds),
                socket_options=SOCKET_OPTIONS,
            )
        except OSError as error:
            if seconds >= CONNECT_SECONDS:
                self._parts.paths.note_failed(endpoint.endpoint_id)
            return _end(fleet_pb2.ForwardEnd.NOT_SENT, f"no connection: {error}")
        with sock:
            self._parts.paths.note_connected(endpoint.endpoint_id)
            # The thread that waits for the endpoint notices when the peer gives up.
            if not context.add_callback(lambda: _shut_down(sock)):
                return _end(fleet_pb2.ForwardEnd.BROKEN, "the peer gave up")
            if is_permit_expired(sent):
                reason = "the permit for the cold endpoint is over"
                return _end(fleet_pb2.ForwardEnd.NOT_FORWARDED, reason)
            try:
                # Connecting takes time, in which the endpoint may be evacuated.
                if self._parts.coordinator.ask(IsEvacuated(endpoint.failure_domain)):
                    return _end(fleet_pb2.ForwardEnd.NOT_FORWARDED, EVACUATED)
                sent_at = time.monotonic()
                sock.settimeout(max(end_at - sent_at, 0.01))
                sock.sendall(request.data)
                has_framing = yield from self._read(
                    sock, endpoint, request, sent_at, end_at
                )
                if not has_framing and context.is_active():
                    check_not_lost(self._parts, sent)
            except OSError as error:
                return _end(fleet_pb2.ForwardEnd.BROKEN, f"interrupted: {error}")
        return _end(fleet_pb2.ForwardEnd.CLOSED)

    def _read(self, sock, endpoint, request, sent_at, end_at):
        """Yield the pieces of the response; return whether its head names its end."""
        head, has_framing = b"", False
        while True:
            sock.settimeout(max(end_at - time.monotonic(), 0.01))
            data = sock.recv(READ_BYTES)
            if not data:
                return has_framing
            if head is not None:
                head += data
                if HEAD_END in head:
                    has_framing = self._note_head(head, endpoint, request, sent_at)
                if HEAD_END in head or len(head) > HEAD_BYTES_MAX:
                    head = None
            yield fleet_pb2.ForwardReply(data=data)

    def _note_head(self, head, endpoint, request, sent_at):
        """Note what the endpoint says of itself, which binds this node as well.

        Return whether the head names what ends the body.
        """
        try:
            response = parse_head(head)
        except (http.client.HTTPException, OSError) as error:
            self._log.info(
                "head of forwarded response not readable",
                request_id=request.request_id,
                error=repr(error),
            )
            return False
        headers = response.headers
        facts = self._parts.dialect.read_head(headers)
        sent = EndpointRequest(endpoint, "", "", [], b"", request.request_id)
        if facts.is_leaving:
            note_leaving(self._parts, sent, facts, response.status)
        note_request_limit(self._parts, sent, facts, sent_at)
        note_cold_response(self._parts, sent, facts, sent_at)
        return "Transfer-Encoding" in headers or "Content-Length" in headers


def _refusal(endpoint, request):
    """Return why this node may not send a request to an endpoint, or None."""
    if endpoint is None:
        return "the endpoint is unknown here"
    if endpoint.is_evacuated:
        return EVACUATED
    if not endpoint.accepts_requests:
        return "the endpoint is leaving"
    if endpoint.request_limit is not None and not request.has_permit:
        return "the endpoint has a limit, and no permit was taken"
    if endpoint.cold_seconds and not request.permit_left_ms:
        return "the endpoint is cold, and no permit was taken"
    return None


def _end(kind, reason=""):
    return fleet_pb2.ForwardEnd(kind=kind, reason=reason)


def _shut_down(sock):
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
