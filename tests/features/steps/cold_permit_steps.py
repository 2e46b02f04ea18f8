"""Steps for permits of cold endpoints, with simulated time."""

from behave import given, then, when
from permit_simulation import PermitFleet
from permit_steps import CHANGES, SECONDS, SEEDS
from quota_fleet import QuotaFleet

from sequoiaglade_decisions.gateway import ColdBound

WINDOW_SECONDS = 1.0
# Requests arrive at this many times the rate, and at least at this many a second.
DEMAND_FACTOR = 20
DEMAND_MIN = 40
COLD_ID = "e0"


@given(
    "a simulated fleet of {nodes:d} nodes and an endpoint that is cold at {rate:g}, "
    "{overshoot:g} and {slack:g}"
)
def given_cold_fleet(context, nodes, rate, overshoot, slack):
    bound = context.bound = ColdBound(rate, overshoot, slack)
    context.fleets = [PermitFleet(nodes, rate, seed, bound) for seed in SEEDS]


def _demand(bound):
    return max(bound.rate * DEMAND_FACTOR, DEMAND_MIN)


@when("requests arrive at many times the cold rate for 30 seconds")
def play(context):
    for fleet in context.fleets:
        fleet.play(_demand(context.bound), SECONDS)


@when("requests arrive at many times the cold rate while {change}")
def play_changes(context, change):
    for fleet in context.fleets:
        fleet.play(_demand(context.bound), SECONDS, CHANGES[change])


@then("no second has more requests than the cold endpoint takes")
def check_most(context):
    bound = context.bound
    allowed = bound.rate * bound.overshoot + bound.slack
    most = [fleet.most_in_window(WINDOW_SECONDS) for fleet in context.fleets]
    assert max(most) <= allowed, (most, allowed)


@then("at least {part:g} of the cold rate was used")
def check_used(context, part):
    used = [len(fleet.sent_at) / SECONDS for fleet in context.fleets]
    assert min(used) >= part * context.bound.rate, used


@given("a fleet of {nodes:d} nodes and {count:d} endpoints of which one is cold at 8.5")
def given_coordinators(context, nodes, count):
    bound = context.bound = ColdBound(8.5, 1.5, 5.0)
    context.quota_fleet = QuotaFleet(
        nodes, 0, 0, endpoint_count=count, cold=(COLD_ID, bound)
    )


@given(
    "a fleet of {nodes:d} nodes and {count:d} endpoints of which one is cold at 8.5 "
    "and names a limit of {limit:g}"
)
def given_cold_and_limited(context, nodes, count, limit):
    bound = context.bound = ColdBound(8.5, 1.5, 5.0)
    context.quota_fleet = QuotaFleet(
        nodes,
        0,
        0,
        endpoint_count=count,
        limits={COLD_ID: limit},
        cold=(COLD_ID, bound),
    )


@then("no second has more requests at it than a cold endpoint takes")
def check_cold_most(context):
    times = context.quota_fleet.sent_at_by_id[COLD_ID]
    most = max(sum(at <= u < at + WINDOW_SECONDS for u in times) for at in times)
    bound = context.bound
    assert most <= bound.rate * bound.overshoot + bound.slack, most


@when("callers send {rate:d} requests a second for {seconds:d} seconds to the fleet")
def send(context, rate, seconds):
    fleet = context.quota_fleet
    context.began_at = fleet.now
    fleet.play(rate, fleet.now + seconds)


@when("the node that grants the permits is {change}")
def change_granter(context, change):
    fleet = context.quota_fleet
    match change:
        case "killed":
            fleet.kill_scheduler()
        case "restarted":
            fleet.restart_scheduler()


@then("the cold endpoint gets at least {part:g} of its rate, and no more than it takes")
def check_cold(context, part):
    fleet, bound = context.quota_fleet, context.bound
    times = fleet.sent_at_by_id[COLD_ID]
    most = max(sum(at <= u < at + WINDOW_SECONDS for u in times) for at in times)
    assert most <= bound.rate * bound.overshoot + bound.slack, most
    # The granters have settled by then.
    settled_at = context.began_at + 8.0
    mean = sum(at >= settled_at for at in times) / (fleet.now - settled_at)
    assert mean >= part * bound.rate, mean


@then("requests were refused, since the others were full")
def check_refused(context):
    fleet = context.quota_fleet
    assert fleet.retry_after
    assert all(0.0 < seconds <= 2.0 for seconds in fleet.retry_after)
