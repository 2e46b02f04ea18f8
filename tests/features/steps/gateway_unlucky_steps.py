"""Steps for items under which endpoints crashed, on the emulated platform."""

import time

from behave import given, then, when
from emulator import CrashBurst
from emulator.fleet import wait_until
from gateway_batch_steps import results, submit
from gateway_calls import SLOW, runs, start

BURST_SECONDS_MAX = 30.0


@given(
    '{nodes:d} gateways and {count:d} runners that crash {crashes:d} times on "{word}"'
)
def given_burst(context, nodes, count, crashes, word):
    context.word = word
    context.burst = CrashBurst(word, crashes)
    start(context, nodes, [SLOW._replace(crash_burst=context.burst)] * count)


@when('a job of {count:d} items and an "unlucky" one is submitted at gateway {node:d}')
def submit_unlucky(context, count, node):
    submit(context, ["unlucky", *(f"item-{n:02d}" for n in range(count))], node)


@when("gateway 0 is killed after {count:d} crashes")
def kill_within_burst(context, count):
    wait_until(
        lambda: len(context.burst.crashes) >= count, BURST_SECONDS_MAX, "crashes"
    )
    context.gateways.nodes[0].kill()


@when("all the crashes have happened")
def wait_for_calm(context):
    wait_until(lambda: context.burst.is_over, BURST_SECONDS_MAX, "all crashes")
    context.calm_at = context.burst.crashes[-1].crashed_at
    crashed_ids = {crash.runner_id for crash in context.burst.crashes}
    assert crashed_ids == {r.runner_id for r in context.gateways.runners}, crashed_ids


@then('within {seconds:d} seconds of the last crash "unlucky" runs again')
def check_runs_again(context, seconds):
    _check_run_again(context, {"unlucky"}, seconds)


@then("within {seconds:d} seconds of the last crash every unfinished item runs again")
def check_all_run_again(context, seconds):
    node = len(context.gateways.nodes) - 1
    finished = {row["Id"] for row in results(context, node)}
    _check_run_again(context, {n for n, _ in context.items} - finished, seconds)


def _check_run_again(context, names, seconds):
    def started_in_calm():
        return {r.request_id for r in runs(context) if r.began_at > context.calm_at}

    left = context.calm_at + seconds - time.monotonic()
    wait_until(lambda: names <= started_in_calm(), left, f"{names} run again")


@then("every result has the data of events 1 to 12")
def check_output(context):
    expected = "\n".join(f"piece-{n}" for n in range(1, 13))
    assert {row["Output"] for row in results(context, 0)} == {expected}
