"""Steps for endpoints that close the connection inside the head of a response."""

import socketserver
import threading
from types import SimpleNamespace

from behave import given, then, when
from fleet_adapter.dialect import PlatformDialect
from sequoiaglade_gateway.bounded_reads import ResponseMemory
from sequoiaglade_gateway.endpoint_calls import CallFault, open_call
from sequoiaglade_gateway.endpoint_requests import EndpointRequest
from sequoiaglade_gateway.forwarding.sockets import ForwardedConnection
from sequoiaglade_gateway.patient_socket import FixedPatience

from sequoiaglade_decisions.gateway import Endpoint, Fault, ResponseBounds
from sequoiaglade_decisions.outcomes import Failure
from sequoiaglade_endpoints import Attempt, Call, EndpointClient
from sequoiaglade_protocol import fleet_pb2

SECONDS = 5.0
FIELDS_BY_FRAMING = {
    "a length": ("Content-Length: 12",),
    "the length 0": ("Content-Length: 0",),
    "chunks": ("Transfer-Encoding: chunked",),
    "no length": (),
    "a promise": ("Content-Length: 0", "Not-Run: 1"),
}


class _Cutter(socketserver.BaseRequestHandler):
    """Reads a request and sends the first bytes of a head, as many as `kept`."""

    def handle(self):
        received = b""
        while not received.endswith(b"\r\n\r\n"):
            received += self.request.recv(65_536)
        self.request.sendall(self.server.head[: self.server.kept])


class _Server(socketserver.ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True


@given("an endpoint that cuts heads of a {status:d} with {framing}")
def given_cutter(context, status, framing):
    server = context.stack.enter_context(_Server(("127.0.0.1", 0), _Cutter))
    lines = (
        f"HTTP/1.1 {status} Emulated",
        *FIELDS_BY_FRAMING[framing],
        "Request-Id: r-1",
        "Server-Stamp: emulated",
        "Content-Type: application/json",
        "",
        "",
    )
    server.head = "\r\n".join(lines).encode()
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
    is_unknown = isinstance(outcome, CallFault) and outcome.fault is Fault.BROKEN
    return None if is_unknown else outcome


class _PeerCall:
    """The replies of a peer to which an endpoint sent some bytes before it closed."""

    def __init__(self, data):
        end = fleet_pb2.ForwardEnd(kind=fleet_pb2.ForwardEnd.CLOSED)
        self._replies = [fleet_pb2.ForwardReply(data=data)] if data else []
        self._replies.append(fleet_pb2.ForwardReply(end=end))

    def __iter__(self):
        return iter(self._replies)

    def cancel(self):
        """End the call, which needs nothing."""


def _call_through_peer(context):
    data = context.cutter.head[: context.cutter.kept]
    connection = ForwardedConnection("h", 1, lambda sent: _PeerCall(data))
    return _call_by_gateway(context, connection)


def _call_by_node(context):
    call = Call(f"http://{context.address}", "GET", "/once/1", (), b"", "r-1")
    with EndpointClient(SECONDS, SECONDS) as client:
        outcome = client.run(call._replace(is_repeatable=False))
        if isinstance(outcome, Failure):
            return None
        with outcome:
            body = outcome.read_body(1000)
        return None if isinstance(body, Failure) else (outcome.status, body)


_CALLS = {
    "by a gateway": _call_by_gateway,
    "by a gateway, through its peer": _call_through_peer,
    "by a node": _call_by_node,
}


@when("a call is made {by} for each number of bytes that the head can be cut to")
def call_cut(context, by):
    context.outcome_by_kept = {}
    for kept in range(len(context.cutter.head)):
        context.cutter.kept = kept
        context.outcome_by_kept[kept] = _CALLS[by](context)


@then("no call gets a response")
def check_no_response(context):
    found = {kept: o for kept, o in context.outcome_by_kept.items() if o is not None}
    assert not found, found
