"""Steps of requests with homes, by a coordinator without a network."""

from behave import given, then, when
from holder_simulation import DirectCoordinator
from sequoiaglade_gateway.access_messages import FindForwarders
from sequoiaglade_gateway.messages import (
    AcceptsRequests,
    BeginRequest,
    EndpointChanged,
    EndpointsListed,
    InFlightRequest,
    LoadReport,
    PeerStatesReceived,
    PlaceRequest,
    Schedule,
    SchedulerQuery,
)
from sequoiaglade_gateway.peers.codec import (
    decode_schedule_request,
    encode_schedule_request,
)
from sequoiaglade_gateway.settings import GatewaySettings
from structlog.testing import capture_logs

from sequoiaglade_decisions.gateway import Endpoint, Full, NodeState

SERVICE = "s"
REGION_BY_DOMAIN = {"zone-n": "north", "zone-s": "south"}
DOMAIN_BY_REGION = {"north": "zone-n", "south": "zone-s", "": "zone-x"}


@given('a map of failure domains in the regions "north" and "south"')
def given_map(context):
    context.region_by_domain = REGION_BY_DOMAIN


@given('a coordinator with an endpoint in "north", in "south" and in no known region')
def given_coordinator(context):
    listen = dict.fromkeys(("data", "readiness", "directory", "peer"), "127.0.0.1:1")
    settings = GatewaySettings(
        node_id="gateway-0",
        failure_domain="zone-n",
        listen=listen,
        store={"address": "127.0.0.1:2"},
        region="north",
        region_by_failure_domain=REGION_BY_DOMAIN,
    )
    context.entries = context.stack.enter_context(capture_logs())
    context.coordinator = DirectCoordinator(settings, 1, lambda: 100.0)
    context.endpoints = [
        Endpoint(f"in {region}", SERVICE, "127.0.0.1:3", domain, 100)
        for region, domain in DOMAIN_BY_REGION.items()
    ]
    context.coordinator.ask(EndpointsListed(context.endpoints))


def _place(kind, number, homes=()):
    is_batch = kind == "batch items"
    regions = frozenset(homes)
    return PlaceRequest(SERVICE, f"r-{number}", is_batch=is_batch, regions=regions)


@when('{count:d} {kind} with the home "{home}" are placed')
def place(context, count, kind, home):
    ask = context.coordinator.ask
    placed = [ask(_place(kind, number, [home])) for number in range(count)]
    context.placed_ids = [row.endpoint.endpoint_id for row in placed]


@when('a peer lets it schedule {count:d} requests with the home "{home}"')
def schedule(context, count, home):
    ask = context.coordinator.ask
    context.placed_ids = []
    for number in range(count):
        report = LoadReport("gateway-1", (1, number), {})
        query = SchedulerQuery([], 0, 1, report, frozenset())
        place = _place("online requests", number, [home])
        message = encode_schedule_request(query, place)
        placement, _ = ask(decode_schedule_request(message))
        context.placed_ids.append(placement.endpoint_id)


@then('all of them are at the endpoint in "{region}"')
def check_placed(context, region):
    assert set(context.placed_ids) == {f"in {region}"}, context.placed_ids


@then("the failure domain without a region was logged once")
def check_domain_log(context):
    rows = [e for e in context.entries if e["event"] == "failure domain without region"]
    assert [row["failure_domain"] for row in rows] == ["zone-x"], rows


@when('the endpoint in "{region}" has left')
def remove(context, region):
    context.coordinator.ask(EndpointChanged(f"in {region}", None))


@then('{kind} with the home "{home}" find no endpoint, and none to wait for')
def check_none(context, kind, home):
    refusal = context.coordinator.ask(_place(kind, 1, [home]))
    if kind == "batch items":
        assert refusal is None, refusal
    else:
        assert isinstance(refusal, Full) and not refusal.has_endpoints, refusal
        assert refusal.retry_after > 0


@then("{kind} without homes are placed")
def check_free(context, kind):
    assert isinstance(context.coordinator.ask(_place(kind, 1)), InFlightRequest)


@when('an older scheduler chose the endpoint in "{region}" for the home "{home}"')
def choose_elsewhere(context, region, home):
    context.place = _place("online requests", 1, [home])
    begin = BeginRequest(context.place, f"in {region}")
    context.begun = context.coordinator.ask(begin)


@then("the node does not begin the request there")
def check_not_begun(context):
    assert context.begun is None, context.begun


@then('the next choice in "{region}" is taken')
def check_next(context, region):
    begun = context.coordinator.ask(BeginRequest(context.place, f"in {region}"))
    assert isinstance(begun, InFlightRequest), begun


@when('a place in "{region}" is reserved')
def reserve(context, region):
    placed = context.coordinator.ask(_place("online requests", 1, [region]))
    context.reserved_id = placed.endpoint.endpoint_id


@then('it is not taken for a request whose home is "{home}" by now')
def check_reserved(context, home):
    ask = context.coordinator.ask
    assert ask(AcceptsRequests(context.reserved_id))
    assert not ask(AcceptsRequests(context.reserved_id, frozenset({home})))
    assert not ask(AcceptsRequests(context.reserved_id, None))


@given("peers in both regions and in no known region")
def given_peers(context):
    states = [
        NodeState(f"{region}-{number}", 1, 1, failure_domain=domain)
        for region, domain in DOMAIN_BY_REGION.items()
        for number in range(2)
    ]
    context.peer_ids = [state.node_id for state in states]
    context.coordinator.ask(PeerStatesReceived(states))


def _forwarder_ids(context, *regions):
    asked = context.coordinator.ask(FindForwarders("request-1", *regions))
    return sorted(node_id for node_id, _ in asked)


@then(
    'requests with the home "{home}" may be forwarded by the peers in "{region}" only'
)
def check_forwarders(context, home, region):
    ids = _forwarder_ids(context, frozenset({home}))
    assert ids == [f"{region}-0", f"{region}-1"], ids


@then("requests without homes may be forwarded by all peers")
def check_all_forwarders(context):
    assert _forwarder_ids(context) == sorted(context.peer_ids)


@then("requests that no region is allowed for may be forwarded by none")
def check_no_forwarders(context):
    assert _forwarder_ids(context, None) == []


@then("the call to a scheduler for a request without homes has no field of regions")
def check_call(context):
    query = SchedulerQuery([], 0, 1, LoadReport("g", (1, 1), {}), frozenset())
    message = encode_schedule_request(query, _place("online requests", 1))
    names = [field.name for field, _ in message.ListFields()]
    assert "service" in names and "regions" not in names, names
    assert isinstance(decode_schedule_request(message), Schedule)
