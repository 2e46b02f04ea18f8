"""Steps for permits of limited endpoints, with simulated time."""

from behave import given, then, when
from permit_simulation import Change, PermitFleet
from quota_fleet import QuotaFleet

SEEDS = range(5)
SECONDS = 30.0
# The rule allows one and a half times the limit in four seconds, and 5 requests more.
ALLOWED_FACTOR = 6.0
ALLOWED_REQUESTS = 5
CHANGES = {
    "nodes start and are killed": [
        Change(2.0, "start", 2),
        Change(4.0, "kill"),
        Change(6.0, "start"),
        Change(9.0, "kill"),
        Change(12.0, "start", 3),
        Change(12.5, "kill", 2),
        Change(20.0, "start"),
    ],
    "the granter hangs and goes on": [
        Change(2.0, "hang"),
        Change(3.0, "resume"),
        Change(8.0, "hang"),
        Change(17.0, "resume"),
        Change(22.0, "hang", 2),
        Change(24.0, "resume"),
    ],
    "the fleet is split and joined again": [
        Change(3.0, "split"),
        Change(9.0, "join"),
        Change(14.0, "split"),
        Change(24.0, "join"),
    ],
}


@given("a simulated fleet of {nodes:d} nodes and an endpoint with a limit of {limit:g}")
def given_fleet(context, nodes, limit):
    context.fleets = [PermitFleet(nodes, limit, seed) for seed in SEEDS]


@when("requests arrive at {factor:d} times the limit for 30 seconds")
def play(context, factor):
    for fleet in context.fleets:
        fleet.play(max(fleet.limit, 0.2) * factor, SECONDS)


@when("requests arrive at 10 times the limit while {change}")
def play_changes(context, change):
    for fleet in context.fleets:
        fleet.play(fleet.limit * 10, SECONDS, CHANGES[change])


@then("no 4 seconds have more requests than the rule allows")
def check_most(context):
    most = [fleet.most_in_window() for fleet in context.fleets]
    allowed = ALLOWED_FACTOR * context.fleets[0].limit + ALLOWED_REQUESTS
    assert max(most) <= allowed, (most, allowed)


@then("at least {part:g} of the limit was used")
def check_used(context, part):
    used = [len(fleet.sent_at) / SECONDS for fleet in context.fleets]
    assert min(used) >= part * context.fleets[0].limit, used


@given(
    "a fleet of {nodes:d} nodes and {count:d} endpoints of which {limited:d} name "
    "limits of {low:g} to {high:g}"
)
def given_limited_endpoints(context, nodes, count, limited, low, high):
    limits = {
        f"e{number}": round(low + (high - low) * number / (limited - 1), 2)
        for number in range(limited)
    }
    context.quota_fleet = QuotaFleet(nodes, 0, 0, endpoint_count=count, limits=limits)


@then("no limited endpoint gets more in 4 seconds than the rule allows")
def check_limited(context):
    fleet = context.quota_fleet
    for endpoint_id, limit in fleet.limit_by_id.items():
        times = [at for at in fleet.sent_at_by_id[endpoint_id] if at >= 3.0]
        most = max((sum(at <= u < at + 4.0 for u in times) for at in times), default=0)
        allowed = ALLOWED_FACTOR * limit + ALLOWED_REQUESTS
        assert most <= allowed, (endpoint_id, limit, most)


@then("the limited endpoints together used at least {part:g} of their limits")
def check_limits_used(context, part):
    fleet = context.quota_fleet
    count = sum(len(fleet.sent_at_by_id[i]) for i in fleet.limit_by_id)
    used = count / fleet.now
    assert used >= part * sum(fleet.limit_by_id.values()), used


@then("the other endpoints got requests too")
def check_others(context):
    fleet = context.quota_fleet
    others = set(fleet.sent_at_by_id) - set(fleet.limit_by_id)
    assert sum(len(fleet.sent_at_by_id[i]) for i in others) > 0
