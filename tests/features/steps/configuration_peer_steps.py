"""Steps for configurations that gateways learn from their peers."""

import json
import threading
import time
from types import SimpleNamespace

from behave import given, then, when
from emulator import RunnerPlan
from gateway_calls import start
from holder_simulation import ROUND_SECONDS, HolderSimulation
from holders_steps import names_in
from sequoiaglade_gateway.peers.client import CALL_SECONDS
from sequoiaglade_gateway.store_cache import StoreCache

from sequoiaglade_decisions.gateway import FleetConfiguration
from sequoiaglade_platform import Document

DOCUMENTS_CALL = "Knowledge"
# A list that waits for another one is given this time.
LISTING_SECONDS = 0.2


@given('gateways "{names}", of which "{name}" has lost its watch of the configuration')
def given_gateways(context, names, name):
    # Gateways of the simulation read only what `read_versions` gives them.
    context.simulation = context.stack.enter_context(HolderSimulation(names_in(names)))
    context.stack.callback(lambda: print(context.simulation.trace_text()))
    for gateway in context.simulation.running():
        gateway.use_store_cache(lambda coordinator: _make_cache(context, coordinator))
    context.simulation.run(1.0)


def _make_cache(context, coordinator):
    routes = context.simulation.configuration.routes
    dialect = SimpleNamespace(
        read_configuration=lambda document: FleetConfiguration(
            document.value["version"], routes, (), ()
        ),
        read_endpoint=None,
    )
    return StoreCache(dialect, coordinator)


@given('calls for documents from "{source}" to "{names}" get no answer')
def fail_document_calls(context, source, names):
    _fail_calls(
        context,
        {(source, name) for name in names_in(names)},
        {DOCUMENTS_CALL},
        float("inf"),
    )


@given(
    'calls for documents from "{source}" to "{names}" get no answer for {seconds:d}'
    " second"
)
def fail_document_calls_for(context, source, names, seconds):
    pairs = {(source, name) for name in names_in(names)}
    _fail_calls(context, pairs, {DOCUMENTS_CALL}, context.simulation.now + seconds)


@given('no calls between "{source}" and "{names}" get an answer')
def fail_all_calls(context, source, names):
    others = names_in(names)
    pairs = {(source, name) for name in others} | {(name, source) for name in others}
    _fail_calls(context, pairs, {DOCUMENTS_CALL, "Gossip"}, float("inf"))


def _fail_calls(context, pairs, calls, until):
    """Let calls wait until their time-out. Others go on meanwhile."""
    simulation = context.simulation
    call = simulation.call

    def fail(source, target, name, request):
        pair = source.partition(":")[0], target.partition(":")[0]
        if pair not in pairs or name not in calls or simulation.now >= until:
            return call(source, target, name, request)
        # Calls of gossip run beside each other and have a shorter time-out.
        if name == DOCUMENTS_CALL:
            simulation.pass_time(CALL_SECONDS)
        return None

    simulation.call = fail


@when("versions of the configuration are read: {versions}")
def read_versions(context, versions):
    for text in names_in(versions):
        name, version = text.split(": ")
        document = Document("main", 0, {"version": int(version)})
        gateway = context.simulation.gateway_by_name[name]
        gateway.store_cache.apply_configuration(document, "store")


@then('"{name}" has version {version:d} within {seconds:d} seconds')
def check_version(context, name, version, seconds):
    simulation = context.simulation
    deadline = simulation.now + seconds
    cache = simulation.gateway_by_name[name].store_cache
    while cache.version < version and simulation.now < deadline:
        simulation.run(ROUND_SECONDS)
    assert cache.version >= version and simulation.now <= deadline, (
        cache.version,
        simulation.now - deadline + seconds,
    )


@given('a gateway that starts, and applies a peer\'s list of endpoints "{names}"')
def given_starting_gateway(context, names):
    context.told = told = []
    coordinator = SimpleNamespace(ask=told.append)
    context.listing = None

    def read_endpoint(document):
        if context.listing is None:
            # The watcher lists in a thread of its own.
            context.listing = threading.Thread(target=context.list_endpoints)
            context.listing.start()
            context.listing.join(LISTING_SECONDS)
        return document.name

    dialect = SimpleNamespace(
        read_configuration=lambda document: None, read_endpoint=read_endpoint
    )
    cache = context.store_cache = StoreCache(dialect, coordinator)
    rows = json.dumps(dict.fromkeys(names_in(names), {})).encode()
    context.apply = lambda: cache.import_from_peer(b"{}", rows, "peer")


@when('the store lists the endpoints "{names}" meanwhile')
def list_meanwhile(context, names):
    documents = [Document(name, 0, {}) for name in names_in(names)]
    cache = context.store_cache
    context.list_endpoints = lambda: cache.on_endpoints_listed(documents)
    context.apply()
    context.listing.join()


@then('the gateway uses the endpoints "{names}"')
def check_endpoints(context, names):
    lists = [told.endpoints for told in context.told]
    assert lists[-1] == names_in(names), lists


@given("3 gateways and 1 runner, with an entrance of the store for each gateway")
def given_entrances(context):
    start(context, 3, [RunnerPlan()], has_entrances=True)


@when("the store answers gateway {number:d} no more")
def silence_entrance(context, number):
    context.gateways.entrances[number].set_silent(True)


@when("the store skips the next change in {count:d} watch of the configuration")
@when("the store skips the next change in {count:d} watches of the configuration")
def skip_changes(context, count):
    # Each gateway has two watches, and each is answered once.
    context.gateways.store.skip_changes("config", count)


@when('{seconds:d} seconds later the key "{old}" is replaced by "{new}"')
def replace_key_later(context, seconds, old, new):
    time.sleep(seconds)
    fleet = context.gateways
    assert fleet.workspaces["yard"]["keys"] == [old], fleet.workspaces
    fleet.workspaces["yard"]["keys"] = [new]
    fleet.configure()
