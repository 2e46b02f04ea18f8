"""Steps for the calls to a store in which nothing changes, or which is silent."""

import math
import time
from collections import Counter

from behave import then, when


@when("nothing happens for {seconds:d} seconds")
def wait_idle(context, seconds):
    fleet = context.gateways
    nodes = range(len(fleet.nodes))
    context.renewed_before = [renewals(fleet, number) for number in nodes]
    began_at = time.monotonic()
    time.sleep(seconds)
    context.idle_seconds = time.monotonic() - began_at
    context.calls = [call for call in fleet.store.calls if call.at >= began_at]


def renewals(fleet, number):
    """Return how often a gateway has renewed its watches, by reason and kind."""
    lines = fleet.nodes[number].log_lines()
    return Counter(
        (line["reason"], line["kind"])
        for line in lines
        if line["event"] == "watch renewed"
    )


@then(
    "each gateway has sent at most {count:d} probes, and {more:d} more for each renewal"
    " by a time-out"
)
def check_start_probes(context, count, more):
    fleet = context.gateways
    for number in range(len(fleet.nodes)):
        renewed = renewals(fleet, number)
        assert {reason for reason, _ in renewed} <= {"a call timed out"}, renewed
        most = count + more * max(renewed.values(), default=0)
        lines = describe_counted_calls(fleet.metrics(number))
        probes = [line for line in lines if 'call="probe"' in line]
        assert sum(float(line.split()[-1]) for line in probes) <= most, (renewed, lines)


@then("the store received {count:d} probes in that time")
def check_probes(context, count):
    calls = describe_calls(context.calls)
    assert sum(call.kind == "probes" for call in context.calls) == count, calls


@then("each guard has asked every {shortest:g} to {longest:g} seconds")
def check_guards(context, shortest, longest):
    guards = len(context.gateways.nodes)
    least = guards * math.floor(context.idle_seconds / longest)
    most = guards * (math.floor(context.idle_seconds / shortest) + 1)
    counts = Counter(call.kind for call in context.calls if call.is_outdated)
    for kind in ("config", "servers"):
        assert least <= counts[kind] <= most, (kind, least, most, counts)


@then("each gateway has renewed {count:d} watches in that time")
def check_idle_renewals(context, count):
    fleet = context.gateways
    for number, before in enumerate(context.renewed_before):
        renewed = renewals(fleet, number) - before
        assert renewed.total() == count, renewed


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
