"""Steps for which ends of calls make an endpoint count as cold."""

import socket
import struct
import threading
import time
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from sequoiaglade_gateway.coordinator import Coordinator
from sequoiaglade_gateway.endpoint_calls import open_call
from sequoiaglade_gateway.endpoint_requests import CONNECT_SECONDS, EndpointRequest
from sequoiaglade_gateway.messages import (
    CollectLoadReports,
    EndpointsListed,
    GetStatus,
    InFlightRequest,
    LoadReportReceived,
    PeerStatesReceived,
    PlaceRequest,
)
from sequoiaglade_gateway.online.exchange import Exchange
from sequoiaglade_gateway.patient_socket import FixedPatience
from sequoiaglade_gateway.peers.codec import decode_report, encode_report
from sequoiaglade_gateway.settings import GatewaySettings

from sequoiaglade_decisions.gateway import (
    Endpoint,
    NodeState,
    ResponseBounds,
    Service,
)

SERVICE = "s"
ENDPOINT_ID = "e-1"
# Enough nodes that one of them schedules.
NODES = 40
# Longer than a call takes.
CALL_SECONDS = 5.0
SILENT_SECONDS = 0.1
SHORT_SECONDS = 0.05
# Resets the connection when the socket is closed.
RESET = struct.pack("ii", 1, 0)


def _make_node(node_id, endpoint):
    settings = GatewaySettings(
        node_id=node_id,
        failure_domain="d",
        store={"address": "127.0.0.1:1"},
        listen=dict.fromkeys(("data", "readiness", "directory", "peer"), "127.0.0.1:2"),
        cold_starts={"overshoot": 1.5, "slack": 5.0},
    )
    coordinator = Coordinator(settings, 1)
    service = Service(SERVICE, cold_seconds=30.0, cold_rate=8.5)
    coordinator._limits.cold.configure({SERVICE: service})
    coordinator.on_receive(EndpointsListed([endpoint]))
    states = [
        NodeState(f"n-{number}", 1, 1, "a:1", f"a:{number}", "d", cores=1.0)
        for number in range(NODES)
    ]
    coordinator.on_receive(PeerStatesReceived(states))
    return coordinator


@given("a node and a scheduler that know an endpoint as warm")
def given_nodes(context):
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    context.listener = context.stack.enter_context(listener)
    host, port = listener.getsockname()
    context.endpoint = Endpoint(ENDPOINT_ID, SERVICE, f"{host}:{port}", "d", 8, born=7)
    # Not the ids of other nodes, so that reports go to these.
    context.node = _make_node("m-1", context.endpoint)
    context.scheduler = _make_node("m-2", context.endpoint)


@when("a call to the endpoint ends since {cause}")
def end_call(context, cause):
    head = SimpleNamespace(
        endpoint_id=None,
        names_limit=False,
        request_limit=None,
        cold_seconds=None,
        load=None,
        is_leaving=False,
        request_id=None,
        is_not_run=False,
        is_signed=False,
    )
    seconds = CALL_SECONDS
    match cause:
        case "the connection was refused":
            context.listener.close()
        case "the connection was not accepted in time":
            _fill(context)
            seconds = CONNECT_SECONDS
        case "the caller's time was over at connecting":
            _fill(context)
            seconds = SHORT_SECONDS
        case _:
            thread = threading.Thread(
                target=_serve, args=(context.listener, cause), daemon=True
            )
            thread.start()
    placed = context.node.on_receive(PlaceRequest(SERVICE, "r-1"))
    assert isinstance(placed, InFlightRequest), placed
    parts = mock.MagicMock()
    parts.coordinator.tell = context.node.on_receive
    parts.paths.forwarded_connection.return_value = None
    parts.paths.is_cut_off = False
    parts.settings.evacuations = False
    parts.dialect.read_head.return_value = head
    call = mock.Mock(request_id="r-1", last_event_id=0, prompt_parts=())
    exchange = Exchange(parts, mock.Mock(call=call, fingerprint="f"), lambda: False)
    request = EndpointRequest(context.endpoint, "POST", "/safe/1", [], b"", "r-1")
    bounds = ResponseBounds(None, None, time.monotonic() + CALL_SECONDS)
    exchange._in_flight = placed
    patience = FixedPatience(SILENT_SECONDS)
    fault = open_call(request, parts, exchange._attempt, patience, seconds, bounds)
    exchange.end_attempt(fault)


def _fill(context):
    """Open connections until the listener accepts no more."""
    for _ in range(3):
        sock = context.stack.enter_context(socket.socket())
        sock.setblocking(False)
        sock.connect_ex(context.listener.getsockname())


def _serve(listener, cause):
    sock, _ = listener.accept()
    with sock:
        sock.recv(1000)
        match cause:
            case "the connection was reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            case "the endpoint sent no signature":
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                sock.recv(1000)
            case _:
                time.sleep(10 * SILENT_SECONDS)


@then("the endpoint is avoided, and both nodes take it for {state}")
def check_state(context, state):
    health = context.node._loads.health
    assert not health.is_available(ENDPOINT_ID, time.monotonic())
    _, report = context.node.on_receive(CollectLoadReports())[0]
    report = decode_report(encode_report(report))
    context.scheduler.on_receive(LoadReportReceived(report))
    health = context.scheduler._scheduling._scheduler.health
    assert not health.is_available(ENDPOINT_ID, time.monotonic())
    for node in (context.node, context.scheduler):
        cold = node.on_receive(GetStatus())["cold_endpoints"]
        assert (ENDPOINT_ID in cold) == (state == "cold"), cold
