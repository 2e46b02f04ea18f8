"""Steps of jobs with homes, by simulated gateways and an item runner of its own."""

import time
from types import SimpleNamespace

from behave import given, then, when
from emulator.fleet import wait_until
from gateway_item_runner_steps import ROUTE, hold_job, start_item_runner
from holder_simulation import HOST, PATH, HolderSimulation, job_id_for
from home_steps import REGION_BY_DOMAIN
from sequoiaglade_gateway.peers.codec import encode_job
from structlog.testing import capture_logs

from sequoiaglade_decisions.gateway import (
    FleetConfiguration,
    JobSpec,
    NodeState,
    Workspace,
    job_key,
)
from sequoiaglade_protocol import fleet_pb2

# The hash names "b" as its next holder.
JOB = job_id_for("b", ["b", "c", "d"])
KEY = job_key("", JOB)
# Items of the item runner take a second and more; none starts later than this.
ITEMS_SECONDS = 10.0
# Two nodes at one address, in both regions.
SHARED_HOST = "10.8.8.8"
SHARING_STATES = [
    NodeState(
        f"x-{domain}", 1, 1, peer_address=f"{SHARED_HOST}:{port}", failure_domain=domain
    )
    for port, domain in enumerate(["zone-s", "zone-n"], 1)
]


def _names(text):
    return text.split(", ")


def _start(context, domain_by_name):
    simulation = HolderSimulation(
        domain_by_name,
        domain_by_name=domain_by_name,
        region_by_domain=context.region_by_domain,
    )
    context.simulation = context.stack.enter_context(simulation)
    context.stack.callback(lambda: print(simulation.trace_text()[-6000:]))
    context.was_held_by = set()
    _run(context, 5)


def _run(context, seconds):
    """Advance the time; note each second who holds the job."""
    simulation = context.simulation
    round_seconds = 1.0 if len(simulation.gateway_by_name) > 12 else 0.2
    for _ in range(seconds):
        simulation.run(1.0, round_seconds)
        context.was_held_by |= {g.name for g in simulation.holders(KEY)}


@given('gateways "{first}" in "north" and "{second}" in "south"')
def given_gateways(context, first, second):
    domains = dict.fromkeys(_names(first), "zone-n")
    _start(context, {**domains, **dict.fromkeys(_names(second), "zone-s")})


@given('{count:d} gateways of which the last {last:d} are in "south"')
def given_large_fleet(context, count, last):
    names = [f"g{number:02}" for number in range(count)]
    context.last_names = names[-last:]
    _start(context, {n: "zone-s" if n in names[-last:] else "zone-n" for n in names})


@given('jobs have no home, but requests of another route have the home "{home}"')
def given_other_homes(context, home):
    context.simulation.configure([], other_homes=[home])


@given('jobs have the home "{home}"')
def given_homes(context, home):
    context.simulation.configure([home])


@when('"{names}" are lost')
def lose(context, names):
    for name in _names(names):
        context.simulation.suspend(name, is_frozen=True)
    _run(context, 3)


@when('"{name}" accepts a job and is lost')
def accept_and_lose(context, name):
    context.simulation.gateway_by_name[name].submit(JOB)
    context.simulation.suspend(name, is_frozen=True)


@when("the first one accepts a job and is lost")
def accept_at_first(context):
    accept_and_lose(context, "g00")


@when('"{name}" accepts a job')
def accept(context, name):
    context.simulation.gateway_by_name[name].submit(JOB)
    _run(context, 2)


def _wait_held(context, names, seconds):
    for _ in range(seconds):
        _run(context, 1)
        held_by = {gateway.name for gateway in context.simulation.holders(KEY)}
        if held_by & set(names):
            return
    raise AssertionError(f"held by {held_by} instead of {names}")


@then('"{first}" or "{second}" holds the job within {seconds:d} seconds')
def check_either(context, first, second, seconds):
    _wait_held(context, [first, second], seconds)


@then('"{name}" holds the job within {seconds:d} seconds')
def check_holder(context, name, seconds):
    _wait_held(context, [name], seconds)


@then("one of the last {count:d} holds the job within {seconds:d} seconds")
def check_last(context, count, seconds):
    _wait_held(context, context.last_names[-count:], seconds)


@then("no other one has held it since")
def check_others(context):
    assert context.was_held_by <= set(context.last_names), context.was_held_by


@then('"{name}" has never held it')
def check_never(context, name):
    _run(context, 5)
    assert name not in context.was_held_by, context.was_held_by


@then(
    'nobody holds the job for {seconds:d} seconds, and "{name}" logs that it waits for '
    "a region"
)
def check_unheld(context, seconds, name):
    _run(context, seconds)
    assert not context.was_held_by, context.was_held_by
    waiting = [
        entry
        for _, acting, event, entry in context.simulation.trace
        if event == "job waits for region" and acting == name
    ]
    assert [entry["job"] for entry in waiting] == [KEY], waiting


@when('"{name}" starts again')
def start_again(context, name):
    context.simulation.add(name)


@when('a new configuration moves the homes to "{home}"')
def move_homes(context, home):
    context.simulation.configure([home])


@when('"{name}" accepts {count:d} jobs while it does not reach the store')
def accept_by_peers(context, name, count):
    gateway = context.simulation.gateway_by_name[name]
    gateway.store_cache.is_store_reachable = False
    _run(context, 2)
    for number in range(count):
        gateway.submit(f"job-{number}")


@then('"{first}" and "{second}" were asked to store jobs, and "{third}" was not')
def check_asked(context, first, second, third):
    calls = context.simulation.calls
    asked = {called for _, called, name in calls if name == "StoreJob"}
    assert asked == {first, second} and third not in asked, asked


@then('"{name}" refuses a job at once with 503 while it does not reach the store')
def check_refused(context, name):
    response = context.simulation.gateway_by_name[name].send_job("another")
    assert response.status == 503, response
    assert dict(response.headers)["Retry-After"], response.headers


@when('"{name}" asks "{other}" to store a job as an older release does')
def ask_to_store(context, name, other):
    simulation = context.simulation
    spec = JobSpec(JOB, "", HOST, PATH + JOB, time.time(), name, simulation.items)
    context.reply = simulation.call(
        f"{name}:1", f"{other}:1", "StoreJob", encode_job(spec)
    )


@then('"{name}" refuses it')
def check_not_stored(context, name):
    assert context.reply.failure_code == "unavailable", context.reply
    assert not context.simulation.gateway_by_name[name].holds(KEY)


@when('a caller reads a body of the job at "{first}" and at "{second}"')
def read_bodies(context, first, second):
    gateways = context.simulation.gateway_by_name
    responses = [gateways[name].body(JOB, "i-0") for name in (first, second)]
    context.bodies = [(r.status, b"".join(r.body)) for r in responses]


@then('both got it, and only "{name}" asked a peer for it')
def check_bodies(context, name):
    assert context.bodies == [(200, b"body")] * 2, context.bodies
    calls = context.simulation.calls
    askers = [caller for caller, _, called in calls if called == "ReadItem"]
    assert askers == [name], askers


@when('"{name}" asks "{holder}" for a body as {how}')
def ask_for_body(context, name, holder, how):
    request = fleet_pb2.ReadItemRequest(job_key=KEY, item_id="i-0")
    if how == "this release does":
        domain = context.simulation.domain_by_name[name]
        request.failure_domain = domain
    host = {
        "a node that is not known does": "10.9.9.9",
        "a node beside one in the north does": SHARED_HOST,
    }.get(how)
    if host is not None:
        gateway = context.simulation.gateway_by_name[holder]
        gateway.note_states(SHARING_STATES)
        stranger = SimpleNamespace(peer=lambda: f"ipv4:{host}:50123")
        with context.simulation.acting(gateway):
            context.reply = gateway.servicer.ReadItem(request, stranger)
        return
    context.reply = context.simulation.call(
        f"{name}:1", f"{holder}:1", "ReadItem", request
    )


@then("the holder gives {what}")
def check_body(context, what):
    reply = context.reply
    assert reply.is_held, reply
    assert reply.is_found == (what == "the body"), reply
    assert reply.body == (b"body" if what == "the body" else b""), reply


@then('"{name}" logged that it refused the body')
def check_body_log(context, name):
    rows = [
        entry
        for _, acting, event, entry in context.simulation.trace
        if event == "body refused" and acting == name
    ]
    assert [row["job"] for row in rows] == [KEY], rows


@when('the store answers "{name}" no more')
def cut_store(context, name):
    context.simulation.gateway_by_name[name].store.is_reachable = False


@when('a caller reads a body of the job at "{name}"')
def read_body(context, name):
    gateway = context.simulation.gateway_by_name[name]
    context.store_calls_before = gateway.store.call_count
    context.read = gateway.body(JOB, "i-0")


@then('it got it from the holder, without a call of "{name}" to the store')
def check_read(context, name):
    response = context.read
    assert response.status == 200, response
    assert b"".join(response.body) == b"body"
    gateway = context.simulation.gateway_by_name[name]
    assert gateway.store.call_count == context.store_calls_before


@then('the call names the failure domain of "{name}": {is_named}')
def check_named(context, name, is_named):
    domain = context.simulation.domain_by_name[name]
    domains = [r.failure_domain for r in context.simulation.body_requests]
    assert domains == [domain if is_named == "yes" else ""], domains


def _workspace(name, homes):
    return Workspace(name, (), regions=frozenset(homes))


def _configure_items(context, version):
    context.store_cache.configuration = FleetConfiguration(
        version, context.item_routes, (), context.item_workspaces
    )


@given('an item runner whose endpoint is in "north"')
def given_item_runner(context):
    start_item_runner(
        context,
        settings={"region_by_failure_domain": {**REGION_BY_DOMAIN, "d": "north"}},
    )
    context.entries = context.stack.enter_context(capture_logs())
    context.item_routes, context.item_workspaces = (ROUTE,), ()


@given('a job with the home "{first}" and a later one with the home "{second}"')
def given_jobs(context, first, second):
    route = ROUTE._replace(regions=frozenset({first}), prefix="/batch/job-1")
    other = ROUTE._replace(
        regions=frozenset({second}), prefix="/batch/job-2", name="other"
    )
    context.item_routes = (route, other)
    _configure_items(context, 2)
    context.waiting_job = hold_job(context, 2, "job-1", path="/batch/job-1")
    context.later_job = hold_job(
        context, 2, "job-2", path="/batch/job-2", submitted_at=1.0
    )


@then("the items of the later job run, and none of the other one")
def check_later_job(context):
    batch = context.later_job.batch
    wait_until(lambda: not batch.unfinished_count, ITEMS_SECONDS, "the items ran")
    assert context.waiting_job.batch.unfinished_count == 2
    ids = {run.path for run in context.endpoint.runs}
    assert len(context.endpoint.runs) == 2, ids


@when('a new configuration gives the waiting job the home "{home}"')
def give_home(context, home):
    first, other = context.item_routes
    context.item_routes = (first._replace(regions=frozenset({home})), other)
    _configure_items(context, 3)


@then("its items run as well")
def check_waiting_job(context):
    batch = context.waiting_job.batch
    wait_until(lambda: not batch.unfinished_count, ITEMS_SECONDS, "the items ran")


@given("a job whose route and workspace have no region in common")
def given_no_region(context):
    context.item_routes = (ROUTE._replace(regions=frozenset({"north"})),)
    context.item_workspaces = (_workspace("yard", ["south"]),)
    _configure_items(context, 2)
    context.waiting_job = hold_job(context, 2)


@then("none of its items runs, which is logged once")
def check_no_run(context):
    time.sleep(1.5)
    assert not context.endpoint.runs, context.endpoint.runs
    rows = [e for e in context.entries if e["event"] == "job waits for region"]
    assert len(rows) == 1 and rows[0]["job"] == "yard.job", rows
