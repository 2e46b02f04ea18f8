"""Steps for the calls to a store in which nothing changes, or which is silent."""

import math
import time
from collections import Counter

from behave import then, when


@when("nothing happens for {seconds:d} seconds")
def wait_idle(context, seconds):
    store = context.gateways.store
    first = len(store.calls)
    time.sleep(seconds)
    context.calls = store.calls[first:]


@then("the store received {least:d} to {most:d} probes or calls of guards")
def check_probes(context, least, most):
    counts = Counter(call.kind for call in context.calls if call.is_outdated)
    count = sum(counts[kind] for kind in ("probes", "config", "servers"))
    assert least <= count <= most, describe_calls(context.calls)


@when("the store answers nothing for {seconds:d} seconds")
def silence_store(context, seconds):
    has_gateways = hasattr(context, "gateways")
    store = context.gateways.store if has_gateways else context.emulated
    first = len(store.calls)
    store.set_silent(True)
    time.sleep(seconds)
    context.calls = store.calls[first:]
    context.returned_index = first + len(context.calls)
    store.set_silent(False)


@then("it received at most {count:d} calls in that time")
def check_calls(context, count):
    fleet = context.gateways
    assert len(context.calls) <= count, (
        describe_calls(context.calls),
        [describe_counted_calls(fleet.metrics(n)) for n in range(len(fleet.nodes))],
    )


@then("it received at most {count:d} watches in that time")
def check_watches(context, count):
    watches = [call for call in context.calls if call.wait_seconds is not None]
    assert len(watches) <= count, describe_calls(context.calls)


def describe_calls(calls):
    """Return how many calls there were of each form."""
    return Counter(
        (
            "outdated" if call.is_outdated else "newest",
            call.method if call.wait_seconds is None else "watch",
            call.kind,
            call.wait_seconds and math.ceil(call.wait_seconds),
        )
        for call in calls
    )


def describe_counted_calls(metrics):
    """Return the lines of a gateway's metrics that count its ended calls."""
    return [
        line
        for line in metrics.splitlines()
        if line.startswith("sequoiaglade_gateway_store_calls_total{")
    ]
