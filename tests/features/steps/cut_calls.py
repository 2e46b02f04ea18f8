"""Calls to an endpoint that cuts its response, by a gateway, its peer and a node."""

import re
import socketserver
import threading
from types import SimpleNamespace

from fleet_adapter.dialect import PlatformDialect
from sequoiaglade_gateway.bounded_reads import ResponseMemory
from sequoiaglade_gateway.endpoint_calls import (
    CallFault,
    EventStreamResponse,
    open_call,
)
from sequoiaglade_gateway.endpoint_requests import EndpointRequest
from sequoiaglade_gateway.forwarding.sockets import ForwardedConnection
from sequoiaglade_gateway.patient_socket import FixedPatience

from sequoiaglade_decisions.gateway import Endpoint, Fault, ResponseBounds
from sequoiaglade_decisions.outcomes import Failure
from sequoiaglade_endpoints import Attempt, Call, EndpointClient
from sequoiaglade_protocol import fleet_pb2

SECONDS = 5.0
# Bytes of a response that a peer passes on at once.
PIECE_BYTES = 100
BODY_BYTES_MAX = 10_000


class _Cutter(socketserver.BaseRequestHandler):
    """Reads a request and sends the first bytes of a response, as many as `kept`."""

    def handle(self):
        head = b""
        while b"\r\n\r\n" not in head:
            head += self.request.recv(65_536)
        head, _, body = head.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)\r\ncontent-length: *([0-9]+)", head)
        while length is not None and len(body) < int(length[1]):
            body += self.request.recv(65_536)
        self.request.sendall(self.server.response[: self.server.kept])


class _Server(socketserver.ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True


def serve(context, response):
    """Start an endpoint, `context.cutter`, with the bytes of a response."""
    server = context.stack.enter_context(_Server(("127.0.0.1", 0), _Cutter))
    server.response = response
    server.kept = len(response)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.stack.callback(server.shutdown)
    context.cutter = server
    context.address = "127.0.0.1:{}".format(server.server_address[1])


def _ignore(*args, **options):
    """Take what the call tells of the endpoint."""


def _call_by_gateway(context, connection=None):
    endpoint = Endpoint("runner-0", "writer", context.address, "d", 8)
    headers = [("Host", "h"), ("Request-Id", "r-1")]
    request = EndpointRequest(endpoint, "GET", "/once/1", headers, b"", "r-1")
    parts = SimpleNamespace(
        dialect=PlatformDialect(),
        response_memory=ResponseMemory(),
        coordinator=SimpleNamespace(tell=_ignore, ask=_ignore),
        metrics=SimpleNamespace(count=_ignore),
        paths=SimpleNamespace(
            forwarded_connection=lambda *args: connection,
            note_connected=_ignore,
            note_failed=_ignore,
            is_cut_off=False,
        ),
    )
    bounds = ResponseBounds(None, None)
    patience = FixedPatience(SECONDS)
    outcome = open_call(request, parts, Attempt(), patience, SECONDS, bounds)
    if isinstance(outcome, EventStreamResponse):
        outcome = _read_stream(outcome)
    is_unknown = isinstance(outcome, CallFault) and outcome.fault is Fault.BROKEN
    return None if is_unknown else outcome


def _read_stream(answer):
    with answer:
        body = b"".join(answer.chunks())
    return answer.fault or body


class _PeerCall:
    """The replies of a peer to which an endpoint sent some bytes before it closed.

    There are no more after the call was cancelled.
    """

    def __init__(self, data):
        self._data = data
        self._is_cancelled = False

    def __iter__(self):
        for start in range(0, len(self._data), PIECE_BYTES):
            piece = self._data[start : start + PIECE_BYTES]
            yield fleet_pb2.ForwardReply(data=piece)
            if self._is_cancelled:
                return
        end = fleet_pb2.ForwardEnd(kind=fleet_pb2.ForwardEnd.CLOSED)
        yield fleet_pb2.ForwardReply(end=end)

    def cancel(self):
        """End the call."""
        self._is_cancelled = True


def _call_through_peer(context):
    data = context.cutter.response[: context.cutter.kept]
    connection = ForwardedConnection("h", 1, lambda sent: _PeerCall(data))
    return _call_by_gateway(context, connection)


def _call_by_node(context):
    call = Call(f"http://{context.address}", "GET", "/once/1", (), b"", "r-1")
    with EndpointClient(SECONDS, SECONDS) as client:
        outcome = client.run(call._replace(is_repeatable=False))
        if isinstance(outcome, Failure):
            return None
        with outcome:
            body = outcome.read_body(BODY_BYTES_MAX)
        return None if isinstance(body, Failure) else (outcome.status, body)


# Each function returns the whole response, or None if it is broken.
CALLS = {
    "by a gateway": _call_by_gateway,
    "by a gateway, through its peer": _call_through_peer,
    "by a node": _call_by_node,
}
