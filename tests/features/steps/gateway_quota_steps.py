"""Steps for quotas in a large fleet, with simulated time."""

from bisect import bisect_left

from behave import given, then, when
from gateway_decision_steps import OVERSHOOT, SLACK, WINDOW_SECONDS
from quota_fleet import QuotaFleet


@given("a fleet of {nodes:d} nodes and a quota with a rate and burst of {rate:d}")
def given_fleet(context, nodes, rate):
    context.rate = rate
    context.quota_fleet = QuotaFleet(nodes, rate, rate)


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
