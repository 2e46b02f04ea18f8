"""Steps for quotas in a large fleet, with simulated time."""

from bisect import bisect_left

from behave import given, then, when
from gateway_decision_steps import OVERSHOOT, SLACK, WINDOW_SECONDS
from quota_fleet import QuotaFleet


@given("a fleet of {nodes:d} nodes and a quota with a rate and burst of {rate:d}")
def given_fleet(context, nodes, rate):
    context.rate = rate
    context.quota_fleet = QuotaFleet(nodes, rate, rate)


@given(
    "a fleet of {nodes:d} nodes and a quota with a rate and burst of {rate:d} in "
    "windows"
)
def given_windows(context, nodes, rate):
    context.rate = rate
    context.quota_fleet = QuotaFleet(nodes, rate, rate, window_seconds=WINDOW_SECONDS)


@when("a workspace sends {count:d} requests per second for {seconds:d} seconds")
def send_within_rate(context, count, seconds):
    fleet = context.quota_fleet
    fleet.play(count, until=fleet.now + seconds)


@then("none of them was refused")
def check_none_refused(context):
    fleet = context.quota_fleet
    assert len(fleet.admitted_at) == fleet.asked_count, len(fleet.admitted_at)


@when("it sends {factor:d} times its rate for {seconds:d} seconds")
def exceed_rate(context, factor, seconds):
    fleet = context.quota_fleet
    context.exceeded_at = getattr(context, "exceeded_at", fleet.now)
    fleet.play(factor * context.rate, until=fleet.now + seconds)


@when("the scheduler is killed")
def kill_scheduler(context):
    context.quota_fleet.kill_scheduler()


@when("the scheduler is restarted")
def restart_scheduler(context):
    context.quota_fleet.restart_scheduler()


@then("no window of 5 seconds admits more than the bound of its quota")
def check_bound(context):
    times = context.quota_fleet.admitted_at
    bound = (context.rate * WINDOW_SECONDS + context.rate) * (1 + OVERSHOOT) + SLACK
    highest = max(
        bisect_left(times, start + WINDOW_SECONDS) - index
        for index, start in enumerate(times)
    )
    assert highest <= bound, (highest, bound)


@then("at least nine tenths of its rate was admitted")
def check_not_starved(context):
    fleet = context.quota_fleet
    seconds = fleet.now - context.exceeded_at
    count = len(fleet.admitted_at) - bisect_left(fleet.admitted_at, context.exceeded_at)
    assert count >= 0.9 * context.rate * seconds, (count, seconds)


@when(
    "its load is {low:g} of {rate:d} requests a second for 3.4 seconds and {high:g} "
    "for 2.4 seconds, {count:d} times"
)
def send_peaks(context, low, rate, high, count):
    fleet = context.quota_fleet
    for _ in range(count):
        fleet.play(low * rate, until=fleet.now + 3.4)
        fleet.play(high * rate, until=fleet.now + 2.4)


@then("at most {percent:g} % of what was within the limit of its windows was refused")
def check_owed(context, percent):
    fleet = context.quota_fleet
    limit = context.rate * WINDOW_SECONDS + context.rate
    refused = {at for at, _ in fleet.told_by_refused_at}
    asked = fleet.asked_at
    owed = [
        at
        for index, at in enumerate(asked)
        if index - bisect_left(asked, at - WINDOW_SECONDS) < limit
    ]
    lost = [at for at in owed if at in refused]
    assert len(lost) <= percent / 100 * len(owed), (len(lost), len(owed))


@when("all nodes are killed and start again {seconds:g} seconds later")
def restart_all(context, seconds):
    context.quota_fleet.restart_all(seconds)


@then("in no window more refused callers may return than its limit")
def check_told(context):
    rows = context.quota_fleet.told_by_refused_at
    assert rows
    # Callers without room in the next window are told its whole length.
    times = sorted(at + told for at, told in rows if told < 0.99 * WINDOW_SECONDS)
    limit = context.rate * WINDOW_SECONDS + context.rate
    most = max(
        bisect_left(times, at + WINDOW_SECONDS) - n for n, at in enumerate(times)
    )
    assert most <= limit, (most, limit)
