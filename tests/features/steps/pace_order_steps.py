"""Steps for the order of pace limits and preemptions, and for endpoints that left."""

from behave import given, then, when
from sequoiaglade_gateway.coordinator import Coordinator
from sequoiaglade_gateway.messages import (
    EndpointChanged,
    EndpointsListed,
    GetStatus,
)
from sequoiaglade_gateway.settings import GatewaySettings

from sequoiaglade_decisions.gateway import (
    Endpoint,
    EndpointLoads,
    EndpointPaces,
    GroupScheduler,
    PaceLimit,
    Placed,
    Scheduled,
)

SERVICE = "s"
SLOTS = 8
NODE = "n-1"


def _endpoint(name):
    return Endpoint(name, SERVICE, "", "d", SLOTS)


@given("an endpoint that is full with a batch item, and one at its {limit} limit of 2")
def given_limit(context, limit):
    context.endpoints = [_endpoint("full"), _endpoint("limited")]
    context.paces = EndpointPaces(is_on=True)
    context.paces.note_list(context.endpoints, 0.0, 0.0)
    pace = PaceLimit("limited", 2.0, limit == "firm", "started")
    context.paces.note_told(pace, 1.0)


@when("an online request is placed by a {placing}")
def place(context, placing):
    counts = {"full": (SLOTS - 1, 1), "limited": (2, 0)}
    if placing == "scheduler":
        scheduler = GroupScheduler(context.paces)
        scheduler.report(NODE, (1, 1), counts, 1.0)
        context.placed = scheduler.choose(context.endpoints, NODE, 1.0, "r")
        return
    loads = EndpointLoads(paces=context.paces)
    for endpoint_id, pair in counts.items():
        for is_batch, count in enumerate(pair):
            for _ in range(count):
                loads.begin(endpoint_id, bool(is_batch))
    context.placed = loads.choose(context.endpoints, 1.0, "r")


@then("it gets a free slot")
def check_free(context):
    assert context.placed in (Placed("limited"), Scheduled("limited")), context.placed


@then("it takes the place of a batch item")
def check_preempted(context):
    expected = (Placed("full", preempts=True), Scheduled("full", NODE))
    assert context.placed in expected, context.placed


@given("a node with pacing that has listed {count:d} endpoints")
def given_node(context, count):
    address = "10.0.0.1:7000"
    settings = GatewaySettings(
        node_id=NODE,
        failure_domain="d",
        listen=dict.fromkeys(("data", "readiness", "directory", "peer"), address),
        store={"address": address},
        endpoint_pacing=True,
    )
    context.now = 100.0
    context.coordinator = Coordinator(settings, 1, lambda: context.now)
    context.tell = context.coordinator.on_receive
    context.ids = [f"e-{number}" for number in range(count)]
    context.tell(EndpointsListed([_endpoint(i) for i in context.ids]))
    context.now += 100.0


def _remove(context, count):
    for endpoint_id in context.ids[:count]:
        context.tell(EndpointChanged(endpoint_id, None))
    context.ids = context.ids[count:]


@when("{count:d} of them are removed, and {new:d} others are listed")
def replace(context, count, new):
    _remove(context, count)
    for number in range(new):
        context.tell(EndpointChanged(f"new-{number}", _endpoint(f"new-{number}")))
        context.now += 0.5


@then("no endpoint is limited")
def check_none(context):
    limits = context.tell(GetStatus())["pace_limit_by_endpoint"]
    assert not limits, limits


@when("{count:d} of them are removed, and one of the others fails")
def remove_and_fail(context, count):
    _remove(context, count)
    paces = context.coordinator._pacing.paces
    paces.note_failure(context.ids[0], context.now)
    context.before = _limit(context)


@when("both others answer late")
def answer_late(context):
    context.now += 1.0
    paces = context.coordinator._pacing.paces
    assert len(context.ids) == 2, context.ids
    for endpoint_id in reversed(context.ids):
        paces.note_answer(endpoint_id, 2.0, 0.5, context.now)


def _limit(context):
    limits = context.tell(GetStatus())["pace_limit_by_endpoint"]
    return limits[context.ids[0]]["requests"]


@then("the limit has fallen no further")
def check_not_fallen(context):
    assert _limit(context) == context.before == 2.0, (_limit(context), context.before)
