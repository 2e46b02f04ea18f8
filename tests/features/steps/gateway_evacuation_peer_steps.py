"""Steps for evacuations that a gateway learns from its peers as it starts."""

from types import SimpleNamespace

from behave import given, then, when
from gateway_evacuation_decision_steps import names_in
from holder_simulation import ROUND_SECONDS, HolderSimulation
from sequoiaglade_gateway.messages import GetStatus
from sequoiaglade_gateway.store_cache import EvacuationCache, StoreCache

from sequoiaglade_decisions.gateway import FleetConfiguration
from sequoiaglade_platform import Document

VERSION = 6
MEET_SECONDS = 1.0


def _make_cache(context, coordinator, has_evacuations):
    routes = context.simulation.configuration.routes
    dialect = SimpleNamespace(
        read_configuration=lambda document: FleetConfiguration(
            document.value["version"], routes, (), ()
        ),
        read_endpoint=None,
    )
    metrics = SimpleNamespace(count=lambda event, outcome: None)
    evacuations = EvacuationCache(coordinator, metrics) if has_evacuations else None
    return StoreCache(dialect, coordinator, evacuations)


@given(
    'gateways "{names}" with one configuration, of which "{knowing}" knows evacuations'
)
def given_gateways(context, names, knowing):
    # "b" stands for an older release, which tells of no evacuations.
    context.simulation = context.stack.enter_context(HolderSimulation(names_in(names)))
    context.stack.callback(lambda: print(context.simulation.trace_text()))
    for gateway in context.simulation.running():
        has_evacuations = gateway.name != "b"
        gateway.use_store_cache(
            lambda coordinator: _make_cache(context, coordinator, has_evacuations)  # noqa: B023
        )
        cache = gateway.store_cache
        cache.on_endpoints_listed([])
        cache.apply_configuration(Document("main", 0, {"version": VERSION}), "store")
    context.simulation.run(MEET_SECONDS)
    cache = context.simulation.gateway_by_name["a"].store_cache
    assert cache.version == VERSION and not cache.is_complete


@when('"{name}" lists the evacuations "{domains}"')
def list_evacuations(context, name, domains):
    documents = [Document(domain, 1, {}) for domain in names_in(domains)]
    cache = context.simulation.gateway_by_name[name].store_cache
    cache.evacuations.on_listed(documents)


@then(
    '"{name}" knows within {seconds:d} seconds that "{domain}" is evacuated, and is '
    "complete"
)
def check_learned(context, name, seconds, domain):
    simulation = context.simulation
    deadline = simulation.now + seconds
    gateway = simulation.gateway_by_name[name]
    while not gateway.store_cache.is_complete and simulation.now < deadline:
        simulation.run(ROUND_SECONDS)
    assert gateway.store_cache.is_complete and simulation.now <= deadline
    rows = gateway._parts.coordinator.ask(GetStatus())["evacuations"]
    assert [row["failure_domain"] for row in rows] == [domain], rows
