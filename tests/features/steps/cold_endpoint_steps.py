"""Steps for what a node knows of cold endpoints, and for requests to them."""

import socket
import threading
import time
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from emulator import GatewayFleet, RunnerPlan
from emulator.fleet import SERVICE as EMULATED_SERVICE
from emulator.fleet import wait_until
from paced_calls import wait_until_met
from quota_fleet import SERVICE, QuotaFleet
from sequoiaglade_gateway.endpoint_calls import CallFault, open_call
from sequoiaglade_gateway.endpoint_requests import EndpointRequest
from sequoiaglade_gateway.messages import (
    STOPPED,
    GetStatus,
    InFlightRequest,
    PlaceRequest,
    RequestEnded,
)
from sequoiaglade_gateway.online.silence import ReservedPlace
from sequoiaglade_gateway.placing import Placer

from sequoiaglade_decisions.gateway import (
    ColdBound,
    ColdEndpoints,
    Endpoint,
    Fault,
    Permit,
    ResponseBounds,
)

COLD_SECONDS = 30.0
BOUND = ColdBound(8.5, 1.5, 5.0)
COLD_ID = "e0"
WINDOW_SECONDS = 1.0
# The granters grant permits for cold endpoints from this time after their start on.
SETTLED_SECONDS = 3.5
CONNECT_SECONDS = 2.0
# What peers told holds for 5 s after an entry that says otherwise.
READ_SECONDS = 10.0


def _entry(seconds, born, revision):
    return Endpoint(
        "e-1", SERVICE, "", "d", 8, born=born, cold_seconds=seconds, revision=revision
    )


def _start_replay(context, bound, entry):
    service = SimpleNamespace(cold_seconds=COLD_SECONDS, cold_rate=bound.rate)
    context.cold = ColdEndpoints(bound.overshoot, bound.slack)
    context.cold.configure({SERVICE: service})
    context.now, context.entry = 1000.0, entry
    context.cold.note_entry(entry, context.now)


@given(
    "an endpoint whose entry is cold for {seconds:g} s, born {born:d}, of revision "
    "{revision:d}"
)
def given_entry(context, seconds, born, revision):
    _start_replay(context, BOUND, _entry(seconds, born, revision))


@given("an endpoint that may get no request while it is cold")
def given_no_room(context):
    _start_replay(context, ColdBound(0.5, 1.0, 0.0), _entry(0.0, 7, 3))


@when(
    "after {pause:g} s its entry is cold for {seconds:g} s, born {born:d}, of revision "
    "{revision:d}"
)
def write_entry(context, pause, seconds, born, revision):
    context.now += pause
    context.entry = _entry(seconds, born, revision)
    context.cold.note_entry(context.entry, context.now)


@when("after {pause:g} s a connection to it fails")
def fail(context, pause):
    context.now += pause
    context.cold.note_failure("e-1", context.now)


@when("after {pause:g} s it answers a request that was sent {age:g} s before")
def answer(context, pause, age):
    context.now += pause
    context.cold.note_response(context.entry, None, context.now - age, context.now)


@when("after {pause:g} s a peer tells that it is cold for {seconds:g} s")
def tell(context, pause, seconds):
    context.now += pause
    assert context.cold.note_told(context.entry, 7, seconds, context.now)


@when("after {pause:g} s a request ends well that was sent {age:g} s before")
def end_well(context, pause, age):
    context.now += pause
    context.cold.note_done("e-1", context.now - age, context.now)


@when("after {pause:g} s nothing happens")
def wait(context, pause):
    context.now += pause


@then("it is cold for another {seconds:g} s by its {evidence}")
def check_cold(context, seconds, evidence):
    state = context.cold.find(context.entry, context.now)
    if not seconds:
        assert state is None, state
        return
    assert abs(state.seconds - seconds) < 1e-6, state
    assert state.evidence.value == evidence, state


@given("a fleet of {nodes:d} nodes of which one knows that an endpoint is cold at 8.5")
def given_one_knows(context, nodes):
    context.quota_fleet = QuotaFleet(
        nodes, 0, 0, endpoint_count=4, cold=(COLD_ID, BOUND), knowing_count=1
    )


@given("a fleet of 3 nodes and 4 endpoints, none of them cold")
def given_none_cold(context):
    context.quota_fleet = QuotaFleet(
        3, 0, 0, endpoint_count=4, cold=(COLD_ID, BOUND), knowing_count=0
    )
    context.quota_fleet.play(10, 4.0)


@when("at a node other than the granter a connection to each endpoint fails")
def fail_all(context):
    fleet = context.quota_fleet
    granter = fleet.granter(COLD_ID)
    context.cut_node = next(node for node in fleet.nodes if node is not granter)
    for endpoint in fleet.endpoints:
        fleet.fail_at(context.cut_node, endpoint.endpoint_id)


@then("that node takes the endpoints for cold, and the others take them for warm")
def check_only_one(context):
    fleet = context.quota_fleet
    cold = {
        node.settings.node_id: set(node.ask(GetStatus())["cold_endpoints"])
        for node in fleet.nodes
    }
    own = cold.pop(context.cut_node.settings.node_id)
    assert own == {e.endpoint_id for e in fleet.endpoints}, own
    assert not any(cold.values()), cold


@then("after {seconds:g} seconds the endpoint gets no more than it takes")
def check_one_knows(context, seconds):
    times = context.quota_fleet.sent_at_by_id[COLD_ID]
    late = [at for at in times if at >= seconds]
    assert late, "the cold endpoint gets nothing"
    assert _most(late) <= _allowed(BOUND), _most(late)


@then("all nodes know it")
def check_all_know(context):
    for node in context.quota_fleet.nodes:
        assert COLD_ID in node.ask(GetStatus())["cold_endpoints"], node.settings


def _most(times):
    return max(sum(at <= u < at + WINDOW_SECONDS for u in times) for at in times)


def _allowed(bound):
    return bound.rate * bound.overshoot + bound.slack


@given(
    "a fleet of 3 nodes without gossip of which one is not the granter and knows that "
    "an endpoint is cold at 8.5"
)
def given_warm_granter(context):
    fleet = QuotaFleet(
        3, 0, 0, endpoint_count=1, cold=(COLD_ID, BOUND), knowing_count=0
    )
    # Gossip keeps the nodes known to each other until the granter has settled.
    fleet.play(1, 5.0)
    granter = fleet.granter(COLD_ID)
    context.asking = next(node for node in fleet.nodes if node is not granter)
    fleet.tell_cold(context.asking)
    context.quota_fleet = fleet
    before = granter.ask(GetStatus())["cold_endpoints"]
    assert not before, before


@when("{count:d} requests arrive at that node within a second")
def send_at_node(context, count):
    fleet = context.quota_fleet
    fleet.sent_at_by_id.clear()
    for _ in range(count):
        fleet.now += 1.0 / count
        fleet.send_at(context.asking)


@then("the endpoint gets at least {least:d} and at most {most:d} of these")
def check_few(context, least, most):
    got = len(context.quota_fleet.sent_at_by_id[COLD_ID])
    assert least <= got <= most, got


@given("a request to a cold endpoint whose permit ran out just now")
def given_late_permit(context):
    context.listener = context.stack.enter_context(
        socket.create_server(("127.0.0.1", 0))
    )
    host, port = context.listener.getsockname()
    endpoint = Endpoint("e-1", SERVICE, f"{host}:{port}", "d", 8, cold_seconds=9.0)
    context.request = EndpointRequest(
        endpoint, "POST", "/safe/1", [], b"", "r-1", time.monotonic() - 0.01
    )


@when("the request is sent")
def send_late(context):
    received = context.received = []

    def accept():
        sock, _ = context.listener.accept()
        with sock:
            received.append(sock.recv(100))

    thread = threading.Thread(target=accept, daemon=True)
    thread.start()
    parts = mock.Mock()
    parts.paths.forwarded_connection.return_value = None
    attempt = mock.MagicMock()
    attempt.is_aborted = False
    bounds = ResponseBounds(None, None, time.monotonic() + CONNECT_SECONDS)
    context.outcome = open_call(
        context.request, parts, attempt, mock.Mock(), CONNECT_SECONDS, bounds
    )
    thread.join(CONNECT_SECONDS)


@then("the endpoint gets no byte of it, and is not taken for failed")
def check_not_sent(context):
    assert context.received == [b""], context.received
    assert isinstance(context.outcome, CallFault), context.outcome
    # The other faults are noted as failures of the endpoint.
    assert context.outcome.fault is Fault.NO_PATH, context.outcome


@given("a place at a cold endpoint that was reserved a second ago")
def given_reserved(context):
    context.place = InFlightRequest(
        Endpoint("e-1", SERVICE, "", "d", 8, cold_seconds=9.0),
        False,
        1,
        permit_until=time.monotonic() - 0.75,
    )


@then("it is used with a new permit, and released if none is given")
def check_reserved(context):
    for permit in (Permit(True), Permit(False, 0.4)):
        parts, client = mock.Mock(), mock.Mock()
        placer = parts.placer = Placer(parts, client)
        client.take_permit.return_value = permit
        granters = SimpleNamespace(
            candidates=[("n-2", "a:1")],
            notice=None,
            cold=SimpleNamespace(is_limited=False),
        )
        replies = {
            "AcceptsRequests": True,
            "FindEndpoint": context.place.endpoint,
            "FindPermitGranters": granters,
        }
        parts.coordinator.ask.side_effect = lambda message, replies=replies: replies[
            type(message).__name__
        ]
        placer.place = lambda request: context.place
        with ReservedPlace(parts) as reserved:
            assert reserved.reserve(PlaceRequest(SERVICE, "r-1"))
            taken = reserved.take()
        ended = mock.call(RequestEnded("e-1", False, STOPPED))
        assert (ended in parts.coordinator.tell.call_args_list) != permit.is_granted
        if permit.is_granted:
            assert taken.permit_until > time.monotonic(), taken
        else:
            assert taken is None, taken


class _ColdFleet(GatewayFleet):
    """A fleet whose services have a cold rate and whose settings bound it."""

    cold_rate = 0.0

    def _next_configuration(self, further_routes):
        value = super()._next_configuration(further_routes)
        for service in value["Services"]:
            service |= {"ColdS": COLD_SECONDS, "ColdPerS": self.cold_rate}
        return value

    def _make_node(self, number, store_address=None):
        node = super()._make_node(number, store_address)
        bounds = {"overshoot": BOUND.overshoot, "slack": BOUND.slack}
        node.settings["cold_starts"] = bounds
        node.write_settings()
        return node


@given(
    "3 gateways and {runners:d} runners, with cold rates of {rate:g} requests a second"
)
def given_cold_fleet(context, runners, rate):
    fleet = _ColdFleet(3, [RunnerPlan()] * runners)
    fleet.cold_rate = rate
    context.bound = ColdBound(rate, BOUND.overshoot, BOUND.slack)
    context.gateways = context.stack.enter_context(fleet)
    wait_until_met(context)
    time.sleep(SETTLED_SECONDS)


@when("runner {number:d} writes that it is cold for {seconds:d} seconds")
def write_cold(context, number, seconds):
    fleet = context.gateways
    runner_id = f"runner-{number}"
    entry = {**fleet.store.spec("servers", runner_id), "ColdLeftMs": seconds * 1000}
    fleet.store.put("servers", runner_id, entry)
    nodes = range(len(fleet.nodes))
    have_read = lambda: all(  # noqa: E731
        (runner_id in fleet.status(node)["cold_endpoints"]) == (seconds > 0)
        for node in nodes
    )
    wait_until(have_read, READ_SECONDS, "the gateways have read the entry")
    fleet.runners[number].cold_at = time.monotonic()


@when("runners {first:d} and {second:d} write that they are cold for 60 seconds")
def write_both_cold(context, first, second):
    for number in (first, second):
        write_cold(context, number, 60)


@then(
    "runner {number:d} gets at least {least:g} requests a second, and no more than a "
    "cold one takes"
)
def check_rate(context, number, least):
    runner = context.gateways.runners[number]
    until = context.sent[-1].sent_at
    arrived = [at for at in runner.received_at if runner.cold_at <= at <= until]
    assert _most(arrived) <= _allowed(context.bound), _most(arrived)
    mean = len(arrived) / (until - context.sent[0].sent_at)
    assert mean >= least, mean


@then("the status of each gateway shows runner {number:d} as cold by its entry")
def check_status(context, number):
    for node in range(len(context.gateways.nodes)):
        row = context.gateways.status(node)["cold_endpoints"][f"runner-{number}"]
        assert row["evidence"] == "entry", row
        assert 0.0 < row["seconds_left"] < 60.0, row
        assert row["rate"] == context.bound.rate, row


@then("a gateway counts permits that were granted and denied for cold endpoints")
def check_counted(context):
    fleet = context.gateways
    texts = [fleet.metrics(node) for node in range(len(fleet.nodes))]
    for outcome in ("granted", "denied"):
        labels = ('event="cold permit"', f'outcome="{outcome}"')
        assert any(
            all(label in line for label in labels)
            for text in texts
            for line in text.splitlines()
        ), outcome


@then("each gateway logs that runner {number:d} was cold and is warm again")
def check_logged(context, number):
    for node in context.gateways.nodes:
        lines = [
            line
            for line in node.log_lines()
            if line.get("endpoint_id") == f"runner-{number}"
            and line["event"] in ("endpoint cold", "endpoint warm")
        ]
        events = [line["event"] for line in lines]
        assert events == ["endpoint cold", "endpoint warm"], lines
        assert lines[0]["evidence"] == "entry", lines


@when(
    "runner {number:d} crashes and is back after {seconds:g} seconds with its old entry"
)
def crash(context, number, seconds):
    runner = context.gateways.runners[number]
    assert (
        EMULATED_SERVICE
        == context.gateways.store.spec("servers", runner.runner_id)["Service"]
    )
    runner.crash()
    # While it is down, all gateways meet its crash.
    fleet = context.gateways
    began_at = time.monotonic()
    number_sent = 0
    while time.monotonic() < began_at + seconds:
        number_sent += 1
        fleet.send(f"/safe/c{number_sent}", number_sent % len(fleet.nodes))
    runner.recover()
    runner.cold_at = time.monotonic()


@then("since its return runner {number:d} gets no more than a cold one takes")
def check_since_return(context, number):
    runner = context.gateways.runners[number]
    arrived = [at for at in runner.received_at if at >= runner.cold_at]
    assert arrived, "the runner got nothing"
    assert _most(arrived) <= _allowed(context.bound), _most(arrived)
