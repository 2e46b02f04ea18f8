"""Steps of the directory's answers, without a network."""

from types import SimpleNamespace

from behave import given, then, when
from sequoiaglade_gateway.directory import Directory
from sequoiaglade_gateway.interface import DirectoryCall
from sequoiaglade_gateway.messages import RunningNodes
from sequoiaglade_gateway.settings import GatewaySettings
from structlog.testing import capture_logs

from sequoiaglade_decisions.gateway import (
    FleetConfiguration,
    NodeState,
    Route,
    RouteKind,
)

HOST = "kiosk.example"
REGION_BY_DOMAIN = {"zone-n": "north", "zone-s": "south", "zone-w": "west"}


@given('a node in "north" and peers in "north", "south", "west" and no known region')
def given_node(context):
    listen = dict.fromkeys(("readiness", "directory", "peer"), "127.0.0.1:1")
    settings = GatewaySettings(
        node_id="own",
        failure_domain="zone-n",
        listen={**listen, "data": "own:1"},
        store={"address": "127.0.0.1:2"},
        region="north",
        region_by_failure_domain=REGION_BY_DOMAIN,
    )
    context.states = [
        NodeState(d, 1, 1, f"{d}:1", failure_domain=d, configuration_version=1)
        for d in ("zone-n", "zone-s", "zone-w", "zone-x")
    ]
    context.running = RunningNodes(context.states, ())
    parts = SimpleNamespace(
        settings=settings,
        coordinator=SimpleNamespace(ask=lambda message: context.running),
        store_cache=SimpleNamespace(configuration=None),
        metrics=SimpleNamespace(count=lambda event, outcome: None),
    )
    context.store_cache = parts.store_cache
    context.directory = Directory(parts, lambda: True)


def _ask(context, homes, region, domain=""):
    regions = frozenset(name for name in homes.split(", ") if name)
    route = Route(
        "r", HOST, "/", RouteKind.SAFE, (("s", 1),), 1.0, 1.0, regions=regions
    )
    context.store_cache.configuration = FleetConfiguration(1, (route,), (), ())
    call = DirectoryCall(f"{HOST}:80", region, domain)
    context.addresses = context.directory.addresses(call)


@when('a caller in "{region}" asks for a host with the homes "{homes}"')
@when('a caller in "{region}" asks for a host with the homes ""')
def ask(context, region, homes=""):
    _ask(context, homes, "" if region == "none" else region)


@when(
    'a caller in the failure domain of "{region}" asks for a host with the homes '
    '"{homes}"'
)
def ask_by_domain(context, region, homes):
    domain = next(d for d, name in REGION_BY_DOMAIN.items() if name == region)
    _ask(context, homes, "", domain)


@then('the answer has the instances in "{regions}"')
def check_answer(context, regions):
    address_by_domain = {s.failure_domain: s.data_address for s in context.states}
    expected = {
        address
        for domain, address in address_by_domain.items()
        if regions == "all" or REGION_BY_DOMAIN.get(domain) in regions.split(", ")
    }
    if regions == "all" or "north" in regions:
        expected.add("own:1")
    assert context.addresses == sorted(expected), context.addresses
    assert context.directory.address_count == len(expected)


@when('the peer in "south" is lost and callers ask {count:d} times')
def lose(context, count):
    context.entries = context.stack.enter_context(capture_logs())
    running = [s for s in context.states if s.failure_domain != "zone-s"]
    context.running = RunningNodes(running, ("zone-s",))
    for _ in range(count):
        _ask(context, "", "north")


@then("a log line names it, and a second one when it runs again")
def check_log(context):
    context.running = RunningNodes(context.states, ())
    _ask(context, "", "north")
    rows = [
        (entry["left_out"], entry["no_longer"])
        for entry in context.entries
        if entry["event"] == "directory leaves out lost instances"
    ]
    assert rows == [(["zone-s"], []), ([], ["zone-s"])], rows


def _digests(context):
    gateways = context.simulation.gateway_by_name.values()
    return [gateway.gossip.make_digest() for gateway in gateways]


@then("their messages tell ages of other nodes' states, which reach the directory")
def check_ages(context):
    for digest in _digests(context):
        assert len(digest.ages_ms) == len(digest.nodes) > 1
        assert digest.ages_ms[0] == 0 and max(digest.ages_ms) > 0
    for gateway in context.simulation.gateway_by_name.values():
        count = len(context.simulation.gateway_by_name) - 1
        assert len(gateway.running().states) == count


@when("one of them is killed")
def kill(context):
    name = next(iter(context.simulation.gateway_by_name))
    context.simulation.suspend(name, is_frozen=True)
    context.killed_name = name


@when("gossip goes on for {seconds:d} seconds, with a round each second again")
def go_on(context, seconds):
    context.simulation.run(float(seconds), 1.0)


@then("no directory of the others names it, and all name each other")
def check_killed(context):
    names = set(context.simulation.gateway_by_name) - {context.killed_name}
    for name in names:
        running = context.simulation.gateway_by_name[name].running()
        named = {state.node_id for state in running.states}
        assert named == names - {name}, (name, named)
        assert running.left_out == (context.killed_name,)


@then("their messages tell no ages")
def check_no_ages(context):
    assert not any(digest.ages_ms for digest in _digests(context))
