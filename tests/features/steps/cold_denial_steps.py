"""Steps for requests that are denied a permit for a cold endpoint."""

from behave import given, then, when
from quota_fleet import SERVICE, QuotaFleet
from sequoiaglade_gateway.access_messages import FindPermitGranters, TakePermit
from sequoiaglade_gateway.messages import (
    EndpointsListed,
    InFlightRequest,
    PlaceRequest,
)

from sequoiaglade_decisions.gateway import ColdBound, Full

BOUND = ColdBound(8.5, 1.5, 5.0)
SETTLED_SECONDS = 6.0
# Slots of an endpoint, and the requests that may wait there.
PLACES = 8 + 2


@given("a fleet of 3 nodes with {cold:d} cold endpoints and {warm:d} warm ones")
def given_fleet(context, cold, warm):
    fleet = QuotaFleet(3, 0, 0, endpoint_count=cold + warm, cold=("e0", BOUND))
    fleet.endpoints = [
        e._replace(cold_seconds=600.0 if number < cold else 0.0, revision=2)
        for number, e in enumerate(fleet.endpoints)
    ]
    for node in fleet.nodes:
        node.ask(EndpointsListed(fleet.endpoints))
    # Gossip keeps the nodes known to each other until the granters have settled.
    fleet.play(1, SETTLED_SECONDS)
    context.quota_fleet = fleet
    context.cold_ids = {e.endpoint_id for e in fleet.endpoints if e.cold_seconds}
    granters = [fleet.granter(i) for i in context.cold_ids]
    # The node with the most endpoints of its own, and not all of them.
    context.asked_node = max(fleet.nodes, key=granters.count)
    context.own_ids = {
        i for i in context.cold_ids if fleet.granter(i) is context.asked_node
    }
    assert 0 < len(context.own_ids) < cold, context.own_ids


@given("the permits of the other nodes are used up")
def use_up(context):
    node = context.asked_node
    for endpoint_id in context.cold_ids - context.own_ids:
        granters = node.ask(FindPermitGranters(endpoint_id))
        take = TakePermit(granters.notice, False, granters.cold)
        granter = context.quota_fleet.granter(endpoint_id)
        while granter.ask(take).is_granted:
            pass


@when("{count:d} requests arrive at one node at the same time")
def send(context, count):
    fleet, node = context.quota_fleet, context.asked_node
    asked, take_permit = [], fleet.take_permit
    fleet.take_permit = lambda *args: asked.append(args) or take_permit(*args)
    context.ask_counts, context.placed = [], []
    for number in range(count):
        asked.clear()
        context.placed.append(node.placer.place(PlaceRequest(SERVICE, f"r-{number}")))
        context.ask_counts.append(len(asked))


@then("none of them asks more than one other node for a permit")
def check_asks(context):
    assert max(context.ask_counts) == 1, context.ask_counts


def _placed_ids(context):
    placed = [p for p in context.placed if isinstance(p, InFlightRequest)]
    return [p.endpoint.endpoint_id for p in placed]


@then("the permits of that node itself were used up")
def check_own(context):
    ids = _placed_ids(context)
    assert context.own_ids <= set(ids), ids
    limits = context.asked_node.coordinator._limits
    own = [
        endpoint
        for endpoint in context.quota_fleet.endpoints
        if endpoint.endpoint_id in context.own_ids
    ]
    left = limits.grantable(own, False, context.quota_fleet.now)
    assert not left, left


@then("{warm:d} warm endpoints were filled, and the other requests refused")
def check_warm(context, warm):
    ids = _placed_ids(context)
    warm_ids = [i for i in ids if i not in context.cold_ids]
    assert len(warm_ids) == warm * PLACES, ids
    refused = [p for p in context.placed if not isinstance(p, InFlightRequest)]
    assert refused
    for full in refused:
        assert isinstance(full, Full) and full.has_endpoints, full
        assert full.retry_after > 0, full
