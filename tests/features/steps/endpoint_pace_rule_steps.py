"""Steps for the rules of pace, its messages, and what operators see of it."""

import time

from behave import given, then, when
from emulator import EmulatedRunner, RunnerPlan
from emulator.fleet import SERVICE, wait_until
from hypothesis import given as forall
from hypothesis import settings
from hypothesis import strategies as st
from sequoiaglade_gateway.coordinator import Coordinator
from sequoiaglade_gateway.messages import (
    BROKEN,
    DONE,
    BeginRequest,
    CollectLoadReports,
    EndpointChanged,
    EndpointResult,
    EndpointsListed,
    FindSchedulers,
    GetStatus,
    LoadReport,
    LoadReportReceived,
    PeerStatesReceived,
    PlaceRequest,
    Publish,
    RequestEnded,
    Schedule,
)
from sequoiaglade_gateway.pace_messages import FirstEventObserved
from sequoiaglade_gateway.peers.codec import (
    decode_placement,
    decode_report,
    decode_state,
    encode_placement,
    encode_report,
    encode_state,
)
from sequoiaglade_gateway.settings import GatewaySettings, Listeners
from structlog.testing import capture_logs

from sequoiaglade_decisions.gateway import (
    Endpoint,
    EndpointLoads,
    EndpointPaces,
    GroupScheduler,
    NodeState,
    PaceLimit,
    Scheduled,
)
from sequoiaglade_decisions.gateway.pace_limits import limited_slots

ADDRESS = "127.0.0.1:1"
SLOTS = 8
# When the list was read first; its entries state a start long before.
LISTED_AT = 1000.0
BORN = 5
LOG_SECONDS = 3.0
# Six answers in time end a limit; a loaded machine delays some.
END_SECONDS = 20.0
# The latency objective of the emulator's routes.
OBJECTIVE_SECONDS = 0.3


def _endpoint(number, born=BORN):
    return Endpoint(f"e{number}", SERVICE, ADDRESS, "d", SLOTS, born=born)


def _listed():
    return [_endpoint(number) for number in range(4)]


@given("a node that has listed 4 endpoints, with pacing {pacing}")
def given_paces(context, pacing):
    context.paces = EndpointPaces(pacing == "on")
    context.paces.note_list(_listed(), 0.0, LISTED_AT)
    context.endpoint_id, context.now = "e0", 20.0


@when("nothing happens to an endpoint")
def do_nothing(context):
    pass


@when("an endpoint with a new id is listed")
def list_new(context):
    context.endpoint_id = "e9"
    context.paces.note_endpoint(_endpoint(9), 20.0)


@when("an endpoint is listed with a later start")
def list_later(context):
    context.paces.note_endpoint(_endpoint(0, BORN + 1), 20.0)


@when("an endpoint is listed again unchanged")
def list_again(context):
    context.paces.note_endpoint(_endpoint(0), 20.0)
    context.paces.note_list(_listed(), 20.0, LISTED_AT + 20)


@when("an endpoint fails")
def fail(context):
    context.paces.note_failure("e0", 20.0)


@when("an endpoint is late")
def be_late(context):
    context.paces.note_answer("e0", 3.0, 0.9, 20.0)


@when("the evacuation of an endpoint ends")
def end_evacuation(context):
    context.paces.note_return(["e0"], 20.0)


@when("a limited endpoint answers 20 requests in time")
def answer_in_time(context):
    context.paces.note_failure("e0", 18.0)
    for number in range(20):
        context.paces.note_answer("e0", 0.2, 0.06, 19.0 + number * 0.01)


@when("a limited endpoint is not heard of for 10 s")
def wait_for_lapse(context):
    context.paces.note_failure("e0", 10.0)
    assert context.paces.limits(19.9)


@when("a new endpoint states how long its work takes")
def state_work_new(context):
    list_new(context)
    context.paces.note_figure("e9", 100.0, 20.0)


@when("an endpoint that stated that before fails")
def state_work_and_fail(context):
    context.paces.note_figure("e0", 100.0, 10.0)
    fail(context)


@when("an endpoint that was listed at first states that")
def state_work_warm(context):
    context.paces.note_figure("e0", 100.0, 20.0)


@then("the endpoint is limited")
def check_limited(context):
    limit = context.paces.limits(context.now)[context.endpoint_id]
    assert limit.requests == 2.0, limit


@then("the endpoint is not limited")
def check_unlimited(context):
    assert context.endpoint_id not in context.paces.limits(context.now)


@then("for any order of answers and failures each endpoint may run 1 to 8 requests")
def check_any_order(context):
    @settings(derandomize=True, deadline=None, max_examples=200)
    @forall(st.lists(st.tuples(st.integers(0, 7), st.integers(0, 2)), max_size=60))
    def example(steps):
        _play_steps(steps)

    example()


def _play_steps(steps):
    paces = EndpointPaces(is_on=True)
    paces.note_list(_listed(), 0.0, LISTED_AT)
    now = 1.0
    for kind, number in steps:
        now += 0.07
        endpoint_id = f"e{number}"
        match kind:
            case 0:
                paces.note_failure(endpoint_id, now)
            case 1:
                paces.note_refusal(endpoint_id, now)
            case 2:
                paces.note_silence(endpoint_id, now)
            case 3:
                paces.note_answer(endpoint_id, 4.0, 0.05, now, weight=3.0)
            case 4:
                paces.note_answer(endpoint_id, 0.1, 0.05, now, weight=3.0)
            case 5:
                paces.note_return([endpoint_id], now)
            case 6:
                paces.note_told(PaceLimit(endpoint_id, 0.3), now)
            case 7:
                paces.adopt([PaceLimit(endpoint_id, 99.0)], now)
        for endpoint in _listed():
            slots = limited_slots(endpoint, paces.limits(now))
            assert 1 <= slots <= SLOTS, slots


@then("with a limit of 1 an endpoint gets one batch item, by a scheduler and by a node")
def check_batch(context):
    paces = EndpointPaces(is_on=True)
    paces.note_list(_listed(), 0.0, LISTED_AT)
    for now in (1.0, 2.0):
        paces.note_failure("e0", now)
    endpoints = _listed()[:1]
    scheduler = GroupScheduler(paces)
    scheduler.report("n", (1, 1), {}, 3.0)
    found = [
        scheduler.choose_for_batch(endpoints, "n", 3.0, 1, spread) for spread in "ab"
    ]
    assert found == ["e0", None], found
    loads = EndpointLoads(paces=paces)
    assert loads.choose_for_batch(endpoints, 3.0, 1, "a") == "e0"
    loads.begin("e0", True)
    assert loads.choose_for_batch(endpoints, 3.0, 1, "b") is None


@given("three coordinators of a large fleet with pacing that have listed 4 endpoints")
def given_coordinators(context):
    context.now = 20.0
    names = ("a", "b", "c")
    context.coordinators = {name: _make_coordinator(context, name) for name in names}
    states = [NodeState(name, 1, 1, peer_address=ADDRESS) for name in names]
    states += [
        NodeState(f"n{number}", 1, 1, peer_address=ADDRESS, cores=0.1)
        for number in range(60)
    ]
    for name, coordinator in context.coordinators.items():
        others = [state for state in states if state.node_id != name]
        coordinator.on_receive(PeerStatesReceived(others))
        # The placement of this node's own requests follows the size of the fleet.
        coordinator.on_receive(Publish(0, 0, (), True))
    status = context.coordinators["a"].on_receive(GetStatus())
    (first,) = set(status["scheduler_by_group"].values())
    context.first = context.coordinators[first]
    context.asking, context.second = (
        context.coordinators[name] for name in names if name != first
    )


def _schedule(context, scheduler, excluded):
    """Place a request of the asking node; return its endpoint's id."""
    asking = context.asking.on_receive
    query = asking(FindSchedulers(SERVICE, "r"))
    place = PlaceRequest(SERVICE, "r", frozenset(excluded))
    # Placements and reports pass through their encoding, as between nodes.
    report = decode_report(encode_report(query.report))
    request = Schedule(report, place, query.group, query.group_count)
    scheduled, _ = scheduler.on_receive(request)
    placed = decode_placement(encode_placement(scheduled))
    begin = BeginRequest(place, placed.endpoint_id, placed.has_permit, pace=placed.pace)
    asking(begin)
    return placed.endpoint_id


def _report_to(context, scheduler):
    ((_, report),) = context.asking.on_receive(CollectLoadReports())
    report = decode_report(encode_report(report))
    scheduler.on_receive(LoadReportReceived(report))


def _limit(coordinator):
    status = coordinator.on_receive(GetStatus())
    limit = status["pace_limit_by_endpoint"].get("e0")
    return limit and (limit["requests"], limit["is_firm"], limit["reason"])


@when("one reports a failure to the scheduler, which then places its request there")
def report_failure(context):
    others = ("e1", "e2", "e3")
    assert _schedule(context, context.first, others) == "e0"
    context.asking.on_receive(RequestEnded("e0", False, BROKEN))
    _report_to(context, context.first)
    context.now += 0.6
    assert _schedule(context, context.first, others) == "e0"


@then("the scheduler and that node have the same limit")
def check_told(context):
    nodes = (context.first, context.asking, context.second)
    limits = [_limit(node) for node in nodes]
    assert limits == [(2.0, True, "failed"), (2.0, True, "failed"), None], limits


@then("another scheduler has it once that node has reported to it")
def check_continued(context):
    context.now += 0.2
    _report_to(context, context.second)
    assert _limit(context.second) == (2.0, True, "failed")


@then("answers that are reported to it raise the limit")
def check_raised(context):
    context.now += 0.2
    tell = context.asking.on_receive
    tell(FirstEventObserved("e0", 0.06, 0.2))
    _report_to(context, context.second)
    assert _limit(context.second) == (3.0, True, "failed"), _limit(context.second)


@then("a report, a state and a placement keep their pace on the wire")
def check_wire(context):
    paces = (PaceLimit("e-1", 2.5, True, "late", 0.25),)
    result = EndpointResult("e-1", "", 0.0, 0.5, 0.25, 140.0, 0.125)
    report = LoadReport("n", (1, 2), {}, (result,), {}, paces)
    assert decode_report(encode_report(report)) == report
    state = NodeState("n", 1, 1, paces=paces)
    assert decode_state(encode_state(state)).paces == paces
    placed = decode_placement(encode_placement(Scheduled("e-1", pace=paces[0])))
    assert placed.pace == paces[0]


@then("without pacing they have the same bytes as in the earlier release")
def check_bytes(context):
    result = EndpointResult("e-1", DONE, 0.5)
    report = encode_report(LoadReport("n", (1, 2), {}, (result,)))
    state = encode_state(NodeState("n", 1, 1))
    placement = encode_placement(Scheduled("e-1"))
    # The fields that this release added, by their messages.
    for message, names in (
        (report, {"paces"}),
        (
            report.results[0],
            {"lateness", "answer_seconds", "work_percent", "work_age_seconds"},
        ),
        (state, {"paces"}),
        (placement, {"pace"}),
    ):
        assert not names & {field.name for field, _ in message.ListFields()}
    assert decode_placement(placement).pace is None
    assert decode_report(report).paces == ()


@given("a coordinator with pacing that has listed 4 endpoints")
def given_coordinator(context):
    context.now = 20.0
    context.coordinator = _make_coordinator(context, "a")


def _make_coordinator(context, node_id):
    context.counts = []
    node_settings = GatewaySettings(
        node_id=node_id,
        failure_domain="d",
        listen=dict.fromkeys(Listeners.model_fields, ADDRESS),
        store={"address": ADDRESS},
        endpoint_pacing=True,
    )
    coordinator = Coordinator(
        node_settings,
        1,
        clock=lambda: context.now,
        count=lambda event, outcome: context.counts.append((event, outcome)),
    )
    coordinator.on_receive(EndpointsListed(_listed()))
    return coordinator


@when("a new endpoint is listed, answers 6 requests in time, and fails")
def start_answer_fail(context):
    tell = context.coordinator.on_receive
    with capture_logs() as context.logs:
        tell(EndpointChanged("e9", _endpoint(9)))
        context.status = tell(GetStatus())
        for _ in range(6):
            running = tell(BeginRequest(PlaceRequest(SERVICE, "r"), "e9"))
            assert running.is_paced
            context.now += 0.1
            tell(FirstEventObserved("e9", 0.06, 0.2))
            tell(RequestEnded("e9", False, DONE))
        tell(BeginRequest(PlaceRequest(SERVICE, "r"), "e9"))
        tell(RequestEnded("e9", False, BROKEN))


@then("its status showed the limit and its reason meanwhile")
def check_status(context):
    limit = context.status["pace_limit_by_endpoint"]["e9"]
    assert limit["requests"] == 2.0 and limit["reason"] == "started", limit


@then('it logged and counted "began", "ended" and "began", and nothing else')
def check_changes(context):
    changes = [row["change"] for row in context.logs if row["event"] == "endpoint pace"]
    assert changes == ["began", "ended", "began"], changes
    assert context.counts == [("endpoint pace", change) for change in changes]


class _StatingRunner(EmulatedRunner):
    """A runner that states how long its work takes now."""

    def common_headers(self):
        load = f"{self.running},0,{self.plan.slots},100"
        return [*super().common_headers(), ("Server-Load", load)]


@when("a runner that states how long its work takes starts, and requests are sent")
def start_stating_runner(context):
    fleet = context.gateways
    runner = _StatingRunner(fleet.store, "runner-new", SERVICE, RunnerPlan())
    fleet.runners.append(context.stack.enter_context(runner))
    wait_until(
        lambda: any(
            e["endpoint_id"] == "runner-new" for e in fleet.status(0)["endpoints"]
        ),
        LOG_SECONDS,
        "the new runner is listed",
    )
    context.answers = []
    end = time.monotonic() + END_SECONDS
    while time.monotonic() < end and ("runner-new", "ended") not in _changes(fleet):
        context.answers += [fleet.send(f"/safe/{number}") for number in range(40)]


def _changes(fleet):
    rows = [
        row for row in fleet.nodes[0].log_lines() if row["event"] == "endpoint pace"
    ]
    return [(row["endpoint_id"], row["change"]) for row in rows]


@then(
    "all are answered, and the log and the metrics tell that its limit began and ended"
)
def check_gateway(context):
    assert all(a.status == 200 and a.is_complete for a in context.answers)
    fleet = context.gateways
    is_late = any(a.first_byte_seconds > OBJECTIVE_SECONDS for a in context.answers)
    expected = [("runner-new", "began"), ("runner-new", "ended")]

    def has_changes():
        # Answers that a loaded machine delays lower the limit in between.
        rows = _changes(fleet)
        return [r for r in rows if not (is_late and r[1] == "fell")] == expected

    wait_until(has_changes, LOG_SECONDS, f"logged: {_changes(fleet)}")
    lines = [row for row in fleet.metrics().splitlines() if "endpoint pace" in row]
    for change in ("began", "ended"):
        counts = [row.split()[-1] for row in lines if f'outcome="{change}"' in row]
        assert counts == ["1.0"], lines
    assert fleet.status(0)["pace_limit_by_endpoint"] == {}
