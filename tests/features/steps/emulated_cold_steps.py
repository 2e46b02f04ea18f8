"""Steps for the emulator's own cold runners, evacuations and machines."""

import http.client
import time

from behave import given, then, when
from emulator import ColdBound, ColdPlan, EmulatedRunner, EmulatedStore, RunnerPlan
from emulator.fleet import SERVICE, wait_until

BOUND = ColdBound(1.0, 1.5, 2.5)
COLD_SECONDS = 30.0


@given("an emulated runner that crashes above {count:d} requests a second while cold")
def given_runner(context, count):
    assert BOUND.withstood == count
    store = context.stack.enter_context(EmulatedStore())
    cold = ColdPlan(COLD_SECONDS, BOUND.withstood, down_seconds=0.5, entry_seconds=0.5)
    plan = RunnerPlan(cold=cold, status_by_word={"/": 200})
    runner = EmulatedRunner(store, "runner-0", SERVICE, plan)
    context.store, context.runner = store, context.stack.enter_context(runner)


def _send(context, request_id):
    try:
        with context.runner.open_request("/safe/1", request_id) as response:
            return response.status
    except (OSError, http.client.HTTPException):
        return 0


@when("it gets {count:d} requests")
def send_requests(context, count):
    context.statuses = [_send(context, f"r-{number}") for number in range(count)]


@when("it becomes cold and gets {count:d} requests")
def send_cold(context, count):
    context.runner.become_cold()
    send_requests(context, count)


@when("it gets {count:d} requests for another instance")
def send_elsewhere(context, count):
    name, context.runner.runner_id = context.runner.runner_id, "another"
    # Each names the instance that it is for, as gateways know it.
    context.statuses = []
    for number in range(count):
        with context.runner.open_request(
            "/safe/1", f"e-{number}", [("Expect-Instance", name)]
        ) as response:
            context.statuses.append(response.status)
    context.runner.runner_id = name


@then("{count:d} of them were answered with {status:d}")
def check_statuses(context, count, status):
    assert context.statuses.count(status) == count, context.statuses


@then("its entry says that it is cold, and {count:d} arrivals were recorded")
def check_entry(context, count):
    left = context.store.spec("servers", "runner-0")["ColdLeftMs"]
    assert 0 < left <= COLD_SECONDS * 1000, left
    spans = context.runner.cold.spans(time.monotonic())
    assert sum(len(span.arrived_at) for span in spans) == count, spans


@then("it is back and cold before its new entry tells it")
def check_back(context):
    store, runner = context.store, context.runner
    wait_until(lambda: not runner.is_down, 10.0, "the runner is back")
    assert len(runner.cold.crashes) == 1, runner.cold.crashes
    assert runner.cold.seconds_left(time.monotonic()) > 0
    born = store.spec("servers", "runner-0")["born"]
    assert born == 1, born
    is_told = lambda: store.spec("servers", "runner-0")["born"] == 2  # noqa: E731
    wait_until(is_told, 10.0, "its entry tells the new start")
    assert store.spec("servers", "runner-0")["ColdLeftMs"] > 0


@then("it answers requests again")
def check_answers(context):
    wait_until(lambda: _send(context, "later") == 200, 10.0, "the runner answers")
