"""Steps for cold endpoints of real gateways."""

import signal
import time

from behave import given, then, when
from deployment_fleet import end_traffic, send_meanwhile, start_deployment
from emulator import RunnerPlan
from emulator.cold_starts import most_in_second

BREAKING = RunnerPlan(breaks_after=3)
SETTLED_SECONDS = 1.0
# All gateways learn of a new entry within this time. Few requests come until then, so
# that the bound holds however long it takes them.
TOLD_SECONDS = 1.0


@given(
    "{nodes:d} gateways and {count:d} runners, of which cold ones take {rate:g} "
    "requests a second"
)
def given_fleet(context, nodes, count, rate):
    start_deployment(context, nodes, count, rate)


@given(
    "{nodes:d} gateways and {count:d} runners that break streams, of which cold ones "
    "take {rate:g} requests a second"
)
def given_breaking(context, nodes, count, rate):
    start_deployment(context, nodes, count, rate, plan=BREAKING)


@when(
    "callers begin to send {rate:d} requests a second on {route} for {seconds:d} "
    "seconds"
)
def begin_traffic(context, rate, route, seconds):
    send_meanwhile(context, route, rate, seconds)
    time.sleep(SETTLED_SECONDS)


@when(
    "callers send {rate:d} requests a second more on {route} for {seconds:d} seconds, "
    "from when on all gateways know of them"
)
def send_more(context, rate, route, seconds):
    time.sleep(TOLD_SECONDS)
    send_meanwhile(context, route, rate, seconds)


@when("a job of {count:d} items is submitted beside them")
def submit(context, count):
    items = [(f"cold-item-{n}", f"/batch/cold/{n}") for n in range(count)]
    _, response = context.gateways.submit(items)
    assert response.status == 202, response


@when("runners {numbers} become cold")
def become_cold(context, numbers):
    for number in map(int, numbers.split(", ")):
        context.gateways.runners[number].become_cold()


@when("runners {numbers} crash, and are back cold before their entries")
def crash(context, numbers):
    for number in map(int, numbers.split(", ")):
        context.gateways.runners[number].crash_cold()


@when("{seconds:g} seconds later gateway {number:d} is killed")
def kill(context, seconds, number):
    time.sleep(seconds)
    context.gateways.nodes[number].kill()


@when("gateway {number:d} is suspended for {seconds:g} seconds")
def suspend(context, number, seconds):
    node = context.gateways.nodes[number]
    node.send(signal.SIGSTOP)
    time.sleep(seconds)
    node.send(signal.SIGCONT)


@when("gateway {number:d} is suspended, and resumed while runners {numbers} are cold")
def suspend_before(context, number, numbers):
    node = context.gateways.nodes[number]
    node.send(signal.SIGSTOP)
    become_cold(context, numbers)
    time.sleep(2.0)
    node.send(signal.SIGCONT)


@when("the requests have ended")
def wait_for_end(context):
    context.sent = end_traffic(context)


@then("no cold runner got more than its bound in any second")
def check_bound(context):
    fleet = context.gateways
    spans = [
        (runner.runner_id, span)
        for runner in fleet.runners
        for span in runner.cold.spans(time.monotonic())
    ]
    assert spans, "no runner was cold"
    most = [
        (*most_in_second(span.arrived_at, fleet.stalls.spans), runner_id)
        for runner_id, span in spans
    ]
    crashes = {r.runner_id: r.cold.crashes for r in fleet.runners if r.cold.crashes}
    over = [row for row in most if row[0] > context.bound.allowed]
    assert not over, (context.bound.allowed, most, crashes)
    assert not crashes, crashes


@then("runners {numbers} got requests while they were cold")
def check_used(context, numbers):
    for number in map(int, numbers.split(", ")):
        spans = context.gateways.runners[number].cold.spans(time.monotonic())
        assert any(span.arrived_at for span in spans), (number, spans)


@then("all requests were answered but at most {count:d}")
def check_answered(context, count):
    failed = [row for row in context.sent if not row.is_answered]
    assert len(failed) <= count, (len(failed), len(context.sent), failed[:3])


@then("each request was answered, or refused with a Retry-After")
def check_refused(context):
    for row in context.sent:
        is_refused = row.answer is not None and row.answer.status in (429, 503)
        assert row.is_answered or is_refused, row
        if is_refused:
            assert float(row.answer.headers["Retry-After"]) > 0, row
    assert any(not row.is_answered for row in context.sent), "no request was refused"
