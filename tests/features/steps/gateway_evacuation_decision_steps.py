"""Steps for the decisions on evacuated failure domains, without a network."""

import json
import re
from collections import Counter
from types import SimpleNamespace

import structlog
from behave import given, then, when
from sequoiaglade_gateway.coordinator import Coordinator
from sequoiaglade_gateway.evacuation_messages import (
    EvacuationChanged,
    EvacuationsListed,
)
from sequoiaglade_gateway.evacuations import FleetEvacuations
from sequoiaglade_gateway.messages import (
    STOPPED,
    BeginRequest,
    ConfigurationChanged,
    EndpointChanged,
    EndpointLeaving,
    EndpointListReachable,
    EndpointsListed,
    GetStatus,
    InFlightRequest,
    PeerStatesReceived,
    PlaceRequest,
    Publish,
    RequestEnded,
)
from sequoiaglade_gateway.settings import GatewaySettings
from sequoiaglade_gateway.store_cache import (
    EvacuationCache,
    StoreCache,
    StoreRelay,
    StoreUpdates,
)

from sequoiaglade_decisions.gateway import (
    Endpoint,
    EndpointDirectory,
    FleetConfiguration,
    KindUpdate,
    NodeState,
    NodeTable,
    group_of,
)
from sequoiaglade_platform import Document, DocumentChange

SERVICE = "s"
ENDPOINTS_PER_DOMAIN = 2
SLOTS = 4
# More requests than all endpoints of a scenario have places for.
REQUESTS_MAX = 200
CHANGE_SECONDS = 1.0
GROUPS = 4


def names_in(text):
    return [] if text == "none" else text.split(", ")


def _endpoint(domain, number):
    return Endpoint(
        f"{domain}-{number}", SERVICE, f"10.0.0.{number}:80", domain, SLOTS, born=7
    )


@given('endpoints in the domains "{domains}", and nodes in the domains "{nodes}"')
def given_coordinator(context, domains, nodes):
    context.now = 10.0
    address = "10.0.1.0:7000"
    context.settings = GatewaySettings(
        node_id="n-0",
        failure_domain=names_in(nodes)[0],
        listen=dict.fromkeys(("data", "readiness", "directory", "peer"), address),
        store={"address": "10.0.1.1:7000"},
        evacuations=True,
    )
    context.coordinator = Coordinator(context.settings, 1, lambda: context.now)
    context.tell = context.coordinator.on_receive
    states = [
        NodeState(f"n-{number}", 1, 1, failure_domain=domain)
        for number, domain in enumerate(names_in(nodes)[1:], 1)
    ]
    context.tell(PeerStatesReceived(states))
    context.endpoints = [
        _endpoint(domain, number)
        for domain in names_in(domains)
        for number in range(ENDPOINTS_PER_DOMAIN)
    ]
    context.logged = context.stack.enter_context(structlog.testing.capture_logs())
    context.tell(EndpointsListed(context.endpoints))
    context.groups = _groups(context)


def _groups(context):
    directory = context.coordinator._directory
    found = directory.listed_ready(SERVICE, context.now)
    return {e.endpoint_id: group_of(e.endpoint_id, GROUPS) for e in found}


@when("nothing is evacuated")
def evacuate_nothing(context):
    context.tell(EvacuationsListed(()))


@when('the entries "{names}" are written')
def write_entries(context, names):
    context.now += CHANGE_SECONDS
    for name in names_in(names):
        context.tell(EvacuationChanged(name, True))


@when('the entries "{names}" are written, then {event}')
def write_entries_then(context, names, event):
    write_entries(context, names)
    context.now += CHANGE_SECONDS
    quoted = re.match(r'"(.*)" (is removed|are listed)', event)
    match quoted and quoted.groups():
        case (name, "is removed"):
            context.removed_at = context.now
            context.tell(EvacuationChanged(name, False))
        case (listed, "are listed"):
            context.tell(EvacuationsListed(tuple(names_in(listed))))
        case _ if event == "the store is away":
            context.tell(EndpointListReachable(False))
            context.now += 600.0
        case _ if event == "all endpoints are listed":
            context.tell(EndpointsListed(context.endpoints))
        case _ if event == "an endpoint is added":
            added = _endpoint(names_in(names)[0], 9)
            context.tell(EndpointChanged(added.endpoint_id, added))
        case _:
            raise AssertionError(event)


@when('an endpoint in the domain "{domain}" registers')
def register(context, domain):
    added = _endpoint(domain, 9)
    context.tell(EndpointChanged(added.endpoint_id, added))


@when('a request is placed in "{domain}"')
def place_in(context, domain):
    place = PlaceRequest(SERVICE, "spread")
    context.running = context.tell(BeginRequest(place, f"{domain}-0"))
    assert context.running is not None


@when("all endpoints announce their shutdown")
def leave_all(context):
    for endpoint in context.endpoints:
        context.tell(EndpointLeaving(endpoint.endpoint_id, endpoint.born))


@then('requests and items are placed in "{used}" only')
def check_used(context, used):
    for is_batch in (True, False):
        placed = []
        for number in range(REQUESTS_MAX):
            place = PlaceRequest(SERVICE, f"request-{number}", is_batch=is_batch)
            found = context.tell(place)
            if not isinstance(found, InFlightRequest):
                break
            placed.append(found.endpoint)
        assert {e.failure_domain for e in placed} == set(names_in(used)), placed
        for endpoint in placed:
            context.tell(RequestEnded(endpoint.endpoint_id, is_batch, STOPPED))


@then('the evacuated domains are "{domains}"')
def check_evacuated(context, domains):
    rows = context.tell(GetStatus())["evacuations"]
    assert [row["failure_domain"] for row in rows] == names_in(domains), rows


@then("the groups of endpoints are the same as before")
def check_groups(context):
    assert _groups(context) == context.groups


@then('the request counts as in flight in "{domain}"')
def check_in_flight(context, domain):
    assert context.tell(GetStatus())["in_flight_by_endpoint"] == {f"{domain}-0": (1, 0)}


@then('a node does not begin a request that another one placed in "{domain}"')
def check_not_begun(context, domain):
    place = PlaceRequest(SERVICE, "spread")
    assert context.tell(BeginRequest(place, f"{domain}-0")) is None
    assert context.tell(BeginRequest(place, "b-0")) is not None


@then('the return of the endpoints in "{domain}" was told once')
def check_return(context, domain):
    told = []
    directory = EndpointDirectory()
    directory.replace(context.endpoints, 0.0)
    evacuations = FleetEvacuations(
        context.settings, directory, NodeTable("n-0"), lambda *row: told.append(row)
    )
    evacuations.handle(EvacuationsListed((domain,)), 1.0)
    evacuations.handle(EvacuationChanged(domain, True), 2.0)
    assert told == []
    evacuations.handle(EvacuationChanged(domain, False), 3.0)
    evacuations.handle(EvacuationsListed(()), 4.0)
    assert told == [([f"{domain}-0", f"{domain}-1"], 3.0)], told


@then('since its removal the endpoints in "{back}" are limited, in "{other}" never')
def check_return_limits(context, back, other):
    context.now += CHANGE_SECONDS
    limits = context.tell(GetStatus())["pace_limit_by_endpoint"]
    ids = {e.endpoint_id for e in context.endpoints if e.failure_domain == back}
    assert limits.keys() == ids, limits
    for limit in limits.values():
        assert limit["reason"] == "evacuation ended", limit
        assert limit["since_seconds"] == context.now - context.removed_at, limit
    check_used(context, f"{back}, {other}")


@then('the name "{name}" was ignored with one log line')
def check_ignored(context, name):
    lines = [
        line
        for line in context.logged
        if line["event"] == "evacuation of unknown failure domain"
    ]
    assert [line["name"] for line in lines] == [name], lines


class _Watcher:
    """A `KindWatcher` as far as the relay and the updates use it."""

    def __init__(self, kind, revision=1):
        self.kind = kind
        self.revision = revision
        self.is_reachable = True
        self.is_relayed = False

    def rely_on_peers(self):
        self.is_relayed = True

    def follow_store(self, has_outage):
        self.is_relayed = False

    def apply_update(self, update):
        self.revision = update.revision

    def update_after(self, revision):
        return KindUpdate(self.revision, False, [])


@given('a node that relies on a follower for "{kinds}" and "{optional}"')
def given_relay(context, kinds, optional):
    context.now = 0.0
    context.followers = ("follower",)
    context.updates_by_follower = {}
    watchers = [_Watcher(kind) for kind in names_in(kinds)]
    optional_watchers = [_Watcher(kind) for kind in names_in(optional)]
    context.relay = StoreRelay(
        SimpleNamespace(ask=lambda message: context.followers),
        watchers,
        lambda address, *asked: (True, dict(context.updates_by_follower[address])),
        SimpleNamespace(count=lambda *labels: None),
        optional_watchers,
        clock=lambda: context.now,
    )
    context.watchers = [*watchers, *optional_watchers]


def _updates(kinds):
    return {kind: KindUpdate(1, False, []) for kind in names_in(kinds)}


def _run_rounds(context, count):
    for _ in range(count):
        context.now += 0.5
        context.relay.run_round()


@when('the follower tells of "{kinds}" for {seconds:d} seconds')
def tell_for(context, kinds, seconds):
    context.updates_by_follower["follower"] = _updates(kinds)
    _run_rounds(context, 2 * seconds)


@when('the follower tells of "{kinds}" once')
def tell_once(context, kinds):
    context.updates_by_follower["follower"] = _updates(kinds)
    _run_rounds(context, 1)


@when('another follower tells of "{kinds}" as well for {seconds:d} seconds')
def tell_beside(context, kinds, seconds):
    context.followers = ("follower", "another")
    context.updates_by_follower["another"] = _updates(kinds)
    _run_rounds(context, 2 * seconds)


@then('the node relies on it for "{kinds}" only')
def check_relayed(context, kinds):
    relayed = [watcher.kind for watcher in context.watchers if watcher.is_relayed]
    assert relayed == names_in(kinds), relayed


@then('updates are told for "{kind}", and "{optional}" is left out if not followed')
def check_updates(context, kind, optional):
    updates = StoreUpdates()
    updates.add(_Watcher(kind))
    assert updates.after({kind: 1}, {optional: None}) == (
        True,
        {kind: KindUpdate(1, False, [])},
    )
    watcher = _Watcher(optional, revision=None)
    updates.add(watcher)
    assert updates.after({kind: 1}, {optional: None})[1].keys() == {kind}
    watcher.revision = 1
    assert updates.after({kind: 1}, {optional: None})[1].keys() == {kind, optional}
    watcher.is_relayed = True
    is_following, update_by_kind = updates.after({kind: 1}, {optional: None})
    assert is_following and update_by_kind.keys() == {kind}


def _make_cache():
    told = []
    counted = Counter()
    news = SimpleNamespace(_asdict=dict)
    coordinator = SimpleNamespace(ask=lambda message: told.append(message) or news)
    metrics = SimpleNamespace(count=lambda *labels: counted.update([labels]))
    dialect = SimpleNamespace(
        read_configuration=lambda document: FleetConfiguration(3, (), (), ()),
        read_endpoint=lambda document: document.name,
    )
    evacuations = EvacuationCache(coordinator, metrics)
    return StoreCache(dialect, coordinator, evacuations), told


@then(
    "a cache with a configuration and endpoints is complete once evacuations are known"
)
def check_complete(context):
    cache, _ = _make_cache()
    cache.import_from_peer(b"{}", b"{}", "older peer")
    assert cache.configuration is not None and not cache.is_complete
    assert cache.export_for_peer()[2] == b""
    cache.evacuations.on_listed([])
    assert cache.is_complete
    assert json.loads(cache.export_for_peer()[2]) == []


@then("a peer's list of evacuations is applied before the store's and not after it")
def check_import(context):
    cache, told = _make_cache()
    cache.import_from_peer(b"{}", b"{}", "peer", b'["a"]')
    kinds = [type(message) for message in told]
    assert kinds == [EvacuationsListed, ConfigurationChanged, EndpointsListed], kinds
    assert told[0].domains == ("a",) and cache.is_complete
    cache.evacuations.on_listed([Document("b", 1, {})])
    cache.import_from_peer(b"{}", b"{}", "peer", b'["a"]')
    cache.evacuations.on_changed(DocumentChange("c", Document("c", 2, {})))
    cache.evacuations.on_changed(DocumentChange("b", None))
    assert told[-3:] == [
        EvacuationsListed(("b",)),
        EvacuationChanged("c", True),
        EvacuationChanged("b", False),
    ], told
    assert json.loads(cache.export_for_peer()[2]) == ["c"]


@when("it reads the configuration")
def read_configuration(context):
    context.tell(ConfigurationChanged(FleetConfiguration(3, (), (), ())))


@when('the evacuations "{domains}" are listed')
def list_evacuations(context, domains):
    context.tell(EvacuationsListed(tuple(names_in(domains))))


@then("it tells peers of no version in force")
def check_no_version(context):
    published = context.tell(Publish(0, 0, (), True))
    assert published.own.configuration_version == 0, published.own


@then("it tells peers of its version")
def check_version(context):
    published = context.tell(Publish(0, 0, (), True))
    assert published.own.configuration_version == 3, published.own
