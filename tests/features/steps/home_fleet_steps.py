"""Steps for requests with homes and for the directory, with real gateways."""

import time

from behave import given, then, when
from deployment_fleet import (
    end_traffic,
    runners_in,
    send_meanwhile,
    start_deployment,
    wait_until_completed,
)
from emulator import FleetLayout, RunnerPlan
from emulator.fleet import HOST
from emulator.hunt.deployment import (
    DOMAINS,
    EAST_KEY,
    REGIONS,
    WEST_HOST,
    WEST_KEY,
)

SLOW = RunnerPlan(slots=2, queue=2, event_count=10, event_seconds=0.1)
BREAKING = RunnerPlan(breaks_after=3)
# Not in the map of regions.
UNMAPPED_DOMAIN = "c1"
# Route, host and key of callers whose homes are in the west.
CALLERS = {
    "route": ("west-safe", WEST_HOST, "key-yard"),
    "streams' route": ("west-resume", WEST_HOST, "key-yard"),
    "workspace": ("safe", HOST, WEST_KEY),
    "streams' workspace": ("resume", HOST, WEST_KEY),
    "route and workspace": ("west-safe", WEST_HOST, WEST_KEY),
    "route, but whose workspace names the east": ("west-safe", WEST_HOST, EAST_KEY),
}


@given("{nodes:d} gateways and {count:d} runners in the east and the west")
def given_fleet(context, nodes, count):
    start_deployment(context, nodes, count)


@given("{nodes:d} gateways and {count:d} slow runners in the east and the west")
def given_slow(context, nodes, count):
    start_deployment(context, nodes, count, plan=SLOW)


@given(
    "{nodes:d} gateways and {count:d} runners that break streams, in the east and the "
    "west"
)
def given_breaking(context, nodes, count):
    start_deployment(context, nodes, count, plan=BREAKING)


@given("{nodes:d} gateways in the east, the west and a domain without a region")
def given_unmapped(context, nodes):
    domains = ("a1", "b1", UNMAPPED_DOMAIN)
    layout = FleetLayout(DOMAINS, REGIONS)
    start_deployment(context, nodes, 3, domains=domains, layout=layout)


@when(
    "callers whose {name} names the west send {rate:d} requests a second for "
    "{seconds:d} seconds"
)
def send_with_homes(context, name, rate, seconds):
    route, host, key = CALLERS[name]
    send_meanwhile(context, route, rate, seconds, host=host, key=key)
    context.sent = end_traffic(context)


@when("a job with homes in the west is submitted at each gateway")
def submit(context):
    context.item_ids_by_job = {}
    for gateway in range(len(context.gateways.nodes)):
        items = [
            (f"west-{gateway}-{n}", f"/west-batch/{gateway}-{n}") for n in range(20)
        ]
        job_id, response = context.gateways.submit(
            items, gateway, route="west-batch", host=WEST_HOST
        )
        assert response.status == 202, response
        context.item_ids_by_job[job_id] = {item_id for item_id, _ in items}


@when("the runners of the west are gone for {seconds:g} seconds")
def lose_west(context, seconds):
    lose_all_west(context)
    time.sleep(seconds)
    for runner in runners_in(context, ["b1"]):
        runner.register("ready")


@when("the runners of the west are gone")
def lose_all_west(context):
    for runner in runners_in(context, ["b1"]):
        runner.deregister()
    # All gateways know of it within a second.
    time.sleep(1.0)


@then("all that ran, ran in the west")
def check_homes(context):
    elsewhere = {
        runner.runner_id: len(runner.arrivals)
        for runner in context.gateways.runners
        if REGIONS.get(runner.plan.failure_domain) != "west" and runner.arrivals
    }
    assert not elsewhere, elsewhere
    assert any(runner.arrivals for runner in runners_in(context, ["b1"]))


@then("nothing ran")
def check_nothing(context):
    ran = {r.runner_id: len(r.arrivals) for r in context.gateways.runners if r.arrivals}
    assert not ran, ran


@then("all of these requests were answered")
def check_answered(context):
    failed = [row for row in context.sent if not row.is_answered]
    assert not failed, (len(failed), len(context.sent), failed[:2])


@then("all of these requests were refused with 503 and a Retry-After")
def check_refused(context):
    for row in context.sent:
        assert row.answer is not None and row.answer.status == 503, row
        assert float(row.answer.headers["Retry-After"]) > 0, row


@then("the jobs with homes are completed within {seconds:d} seconds")
def check_jobs(context, seconds):
    ids_by_job = context.item_ids_by_job
    wait_until_completed(context.gateways, ids_by_job, seconds, host=WEST_HOST)


@then(
    "the directory of {host} names to a caller in the {region} at each gateway {names}"
)
def check_directory(context, host, region, names):
    fleet = context.gateways
    host = {"the west's routes": WEST_HOST, "the other routes": HOST}[host]
    regions = {"the east": {"east"}, "the west": {"west"}, "all": {"east", "west"}}
    expected = {
        node.data
        for number, node in enumerate(fleet.nodes)
        if node.is_running and fleet.layout.region_of(number) in regions[names]
    }
    domain = {"east": "a1", "west": "b1"}.get(region, "")
    for number, node in enumerate(fleet.nodes):
        if node.is_running:
            answer = fleet.resolve(number, host, region, domain)
            found = set(answer.addresses or ())
            assert found == expected, (number, found, expected)


@when("the gateways of the {region} are killed for {seconds:g} seconds")
def kill_region(context, region, seconds):
    fleet = context.gateways
    for number, node in enumerate(fleet.nodes):
        if fleet.layout.region_of(number) == region:
            node.kill()
    time.sleep(seconds)
