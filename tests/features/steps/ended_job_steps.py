"""Steps for items of jobs that were ended."""

import time
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from emulator import RunnerPlan
from emulator.fleet import wait_until
from emulator.links import Link
from gateway_calls import runs, start
from gateway_item_runner_steps import start_item_runner
from holder_simulation import PATH
from holders_steps import _run_until, submit
from sequoiaglade_gateway.batch import JobEnds, JobRegistry
from sequoiaglade_gateway.batch.storage import ENDS_KIND, JOBS_KIND, PARTS_KIND
from sequoiaglade_gateway.interface import EndJob

OTHER_JOB = "other-job"
RUNNER_JOB = "yard.job"
SETUP_SECONDS = 10.0
TAKEOVER_SECONDS = 15.0
# A watch tells of an end again within this time.
LOG_SETTLE_SECONDS = 1.0
# With the few items that run at once, a job of 60 items runs for over 10 seconds.
FEW_ITEMS = RunnerPlan(slots=4, event_count=12, event_seconds=0.05)


def _note_end(simulation, gateway, key):
    """Let a gateway learn of an end as from its watch."""
    simulation.store.write(ENDS_KIND, key, None, {})
    gateway.batch.note_end(key)


def end(context, job_id, name):
    """Let a caller end a job; the simulation has no watches."""
    simulation = context.simulation
    gateway = simulation.gateway_by_name[name]
    call = SimpleNamespace(request_id="r", key=None, path=PATH + job_id)
    with simulation.acting(gateway):
        response = gateway.batch.handle(
            EndJob(job_id), call, None, simulation.configuration
        )
    assert response.status == 200, response


def run_before(access, method, kind, action):
    """Run `action` once, after the next call of a kind and before its answer."""
    original = getattr(access, method)

    def call(called_kind, *arguments, **options):
        answer = original(called_kind, *arguments, **options)
        if called_kind == kind and hasattr(access, "pending_action"):
            del access.pending_action
            action()
        return answer

    access.pending_action = True
    setattr(access, method, call)


@when(
    '"{holder}" is cut off, and the end of the job becomes known while "{adopter}" '
    "adopts it"
)
def end_during_adoption(context, holder, adopter):
    simulation = context.simulation
    submit(context, adopter)
    simulation.run(0.4)
    gateway = simulation.gateway_by_name[adopter]
    run_before(
        gateway.store,
        "get",
        PARTS_KIND,
        lambda: _note_end(simulation, gateway, context.key),
    )
    simulation.cut(holder)
    _run_until(simulation, lambda: not hasattr(gateway.store, "pending_action"))
    simulation.run(1.0)


@when(
    '"{holder}" stores another job, whose end becomes known before the store\'s answer'
)
def end_during_storing(context, holder):
    simulation = context.simulation
    gateway = simulation.gateway_by_name[holder]
    context.other_key = f".{OTHER_JOB}"
    run_before(
        gateway.store,
        "create",
        JOBS_KIND,
        lambda: _note_end(simulation, gateway, context.other_key),
    )
    gateway.submit(OTHER_JOB)


@when('"{holder}" stores another job, and it is ended at "{name}" before any gossip')
def end_before_gossip(context, holder, name):
    context.other_key = f".{OTHER_JOB}"
    context.simulation.gateway_by_name[holder].submit(OTHER_JOB)
    end(context, OTHER_JOB, name)


@when(
    '"{holder}" is cut off until "{other}" holds the job as well, and it is ended at '
    '"{name}"'
)
def end_with_two_holders(context, holder, other, name):
    simulation = context.simulation
    submit(context, other)
    simulation.run(0.4)
    simulation.cut(holder)
    _run_until(simulation, lambda: len(simulation.holders(context.key)) == 2)
    simulation.heal(holder, [name])
    simulation.gateway_by_name[name].run_round()
    assert len(simulation.holders(context.key)) == 2
    end(context, context.job_id, name)


@then("no gateway starts an item of that job")
def check_other_not_started(context):
    _check_not_started(context, context.other_key, context.simulation.running())


@then("no gateway starts an item of the job")
def check_not_started(context):
    _check_not_started(context, context.key, context.simulation.running())


@then('no gateway but "{holder}" starts an item of the job')
def check_others_not_started(context, holder):
    others = [g for g in context.simulation.running() if g.name != holder]
    _check_not_started(context, context.key, others)


def _check_not_started(context, key, gateways):
    for gateway in gateways:
        job = gateway.registry.get(key)
        if job is not None:
            assert job.batch.start_next(context.simulation.now) is None, gateway.name


@given("an item runner whose job is ended during the first placement")
def given_ended(context):
    start_item_runner(context, lambda: _end_at_runner(context))


@given("an item runner whose job is released and ended during the first placement")
def given_released_and_ended(context):
    def release_and_end():
        context.registry.release(RUNNER_JOB)
        context.item_runner.stop_job(RUNNER_JOB)
        _end_at_runner(context)

    start_item_runner(context, release_and_end)


def _end_at_runner(context):
    if context.registry.end(RUNNER_JOB):
        context.item_runner.stop_job(RUNNER_JOB)
    context.is_ended = True


@then("no item is sent within {seconds:d} second")
def check_not_sent(context, seconds):
    time.sleep(seconds)
    assert context.is_ended
    assert not context.endpoint.runs, context.endpoint.runs


@given("1 gateway and 1 runner with few slots")
def given_few_slots(context):
    start(context, 1, [FEW_ITEMS])


@given("2 gateways and 1 runner with few slots")
def given_two_gateways(context):
    start(context, 2, [FEW_ITEMS])


@given("gateway 1, which reaches the store on a path of its own")
def given_own_path(context):
    fleet = context.gateways
    context.path_to_store = Link(fleet.store.address)
    context.stack.enter_context(context.path_to_store)
    fleet.wait_ready(fleet.add_node(context.path_to_store.address))
    all_known = lambda: len(fleet.addresses(1) or ()) == 2  # noqa: E731
    wait_until(all_known, SETUP_SECONDS, "the gateways know each other")


@when("the path to the store is closed")
def close_path(context):
    context.path_to_store.close()


@when(
    "a job of {count:d} items is accepted at gateway {number:d}, which watches the "
    "store"
)
def accept_job(context, count, number):
    fleet = context.gateways
    watched = lambda: fleet.store.watched_kinds() >= {ENDS_KIND}  # noqa: E731
    wait_until(watched, SETUP_SECONDS, "the gateway watches ends")
    context.items = [(f"item-{n:02d}", f"/batch/x/{n}") for n in range(count)]

    def is_accepted():
        context.job_id, answer = fleet.submit(context.items, number)
        return answer.status == 202

    wait_until(is_accepted, SETUP_SECONDS, "a job is accepted")


@when('the store loses the responses to watches of "{kind}"')
def lose_watch_responses(context, kind):
    context.gateways.store.lose_watch_responses(kind)


@when("the end of the job is written by a gateway that is lost at once")
def write_end(context):
    wait_until(lambda: runs(context), SETUP_SECONDS, "an item runs")
    context.gateways.store.put(ENDS_KIND, f"yard.{context.job_id}", {})
    context.ended_at = time.monotonic()


@when("gateway 0 is killed, and gateway 1 takes the job over")
def kill_holder(context):
    first, second = context.gateways.nodes
    first.kill()
    is_taken_over = lambda: any(  # noqa: E731
        line.get("event") == "job adopted" for line in second.log_lines()
    )
    wait_until(is_taken_over, TAKEOVER_SECONDS, "gateway 1 takes the job over")


@then("no item of it is sent later than {seconds:d} seconds after the end")
def check_sent_before(context, seconds):
    time.sleep(2.0 * seconds)
    before_end = [run for run in runs(context) if run.began_at < context.ended_at]
    assert 0 < len(before_end) < len(context.items)
    late = [
        round(run.began_at - context.ended_at, 3)
        for run in runs(context)
        if run.began_at > context.ended_at + seconds
    ]
    assert not late, late


@then("items of it are still sent {seconds:d} seconds later")
def check_still_sent(context, seconds):
    time.sleep(seconds)
    count = len(runs(context))
    time.sleep(2.0)
    assert len(runs(context)) > count, count


@when("the store discards its history")
def discard_history(context):
    context.gateways.store.compact()


@when("a caller ends the job {count:d} times")
def end_repeatedly(context, count):
    wait_until(lambda: runs(context), SETUP_SECONDS, "an item runs")
    for _ in range(count):
        assert context.gateways.end(context.job_id).status == 200


@then('the store gets at most {count:d} calls for "{kind}" in {seconds:d} seconds')
def check_calls(context, count, kind, seconds):
    calls_by_kind = context.gateways.store.calls_by_kind
    before = calls_by_kind[kind]
    time.sleep(seconds)
    calls = calls_by_kind[kind] - before
    assert calls <= count, calls


@then("the end of the job is logged once")
def check_logged_once(context):
    key = f"yard.{context.job_id}"

    def logged():
        lines = context.gateways.nodes[0].log_lines()
        return [r for r in lines if r.get("event") == "job ended" and r["job"] == key]

    wait_until(logged, SETUP_SECONDS, "the end is logged")
    time.sleep(LOG_SETTLE_SECONDS)
    assert len(logged()) == 1, logged()


@given(
    "a gateway that is suspended for {seconds:d} seconds while it asks the store for "
    "ends"
)
def given_suspended(context, seconds):
    context.now = 1000.0
    suspensions = [seconds, 0.0]

    def read_ends():
        context.now += suspensions.pop(0)

    registry = JobRegistry(lambda: context.now)
    context.job_ends = JobEnds(registry, mock.Mock(), read_ends, lambda: None)


@then("its next item is withheld, and the one after it is sent")
def check_withheld(context):
    job = SimpleNamespace(key="key", accepted_at=None)
    assert not context.job_ends.may_send(job, "item-0")
    assert context.job_ends.may_send(job, "item-1")


@when("its items are sent for {seconds:g} seconds")
def send_items(context, seconds):
    time.sleep(seconds)
    assert runs(context)


@then("the store was asked for ends {least:d} to {most:d} times")
def check_questions(context, least, most):
    lines = context.gateways.metrics().splitlines()
    asked = sum(float(line.split()[-1]) for line in lines if '"ends read"' in line)
    assert least <= asked <= most, asked
