"""Steps for jobs whose route is missing from the configuration for some time."""

import signal
import time

from behave import then, when
from emulator.fleet import wait_until
from gateway_batch_steps import results

APPLY_SECONDS = 2.0
LATER_ANSWER_SECONDS = 1.0


def _change_routes(context, prefix_by_route):
    fleet = context.gateways
    fleet.prefix_by_route = prefix_by_route
    fleet.configure()


@when("the route of jobs is removed")
def remove_route(context):
    fleet = context.gateways
    version = lambda: fleet.status()["configuration"]["version"]  # noqa: E731
    before = version()
    _change_routes(context, {"batch": "elsewhere"})
    wait_until(lambda: version() > before, APPLY_SECONDS, "the route is removed")
    # The item runner sees the route missing in its next step.
    time.sleep(0.3)


@when("it is back in the store, which is down for {seconds:d} seconds")
def restore_during_outage(context, seconds):
    store = context.gateways.store
    store.set_down(True)
    _change_routes(context, {})
    time.sleep(seconds)
    store.set_down(False)


@when(
    "it is back when a freeze of {seconds:d} seconds ends, but the store answers a "
    "second later"
)
def restore_during_freeze(context, seconds):
    store = context.gateways.store
    process = context.gateways.nodes[0].process
    process.send_signal(signal.SIGSTOP)
    try:
        store.set_down(True)
        _change_routes(context, {})
        time.sleep(seconds)
    finally:
        process.send_signal(signal.SIGCONT)
    time.sleep(LATER_ANSWER_SECONDS)
    store.set_down(False)


@then("within {seconds:d} seconds each item is listed, and some are given up")
def check_listed(context, seconds):
    count = len(context.items)
    wait_until(
        lambda: len(results(context, 0)) == count, seconds, "all results are listed"
    )
    states = {row["State"] for row in results(context, 0)}
    assert "dead_letter" in states, states
