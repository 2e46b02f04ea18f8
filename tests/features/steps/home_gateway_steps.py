"""Steps of homes and of the directory with real gateways on the emulated platform."""

import re
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import given, then, when
from emulator import RunnerPlan
from emulator.fleet import wait_until
from gateway_calls import start

NODE_BY_REGION = {"north": 0, "south": 1}
ZONE_BY_REGION = {"north": "zone-a", "south": "zone-b"}
REGION_BY_ZONE = {zone: region for region, zone in ZONE_BY_REGION.items()}
FOLLOW_SECONDS = 10.0


@given('a gateway and a runner in "north" and in "south"')
def given_regions(context, first_plan=None):
    settings_by_node = {
        node: {
            "failure_domain": ZONE_BY_REGION[region],
            "region": region,
            "region_by_failure_domain": REGION_BY_ZONE,
        }
        for region, node in NODE_BY_REGION.items()
    }
    plans = [
        RunnerPlan(failure_domain=ZONE_BY_REGION[region]) for region in NODE_BY_REGION
    ]
    plans[0] = first_plan or plans[0]
    start(context, 2, plans, settings_by_node=settings_by_node)


@given(
    'a gateway and a runner in "north" and in "south", of which the first breaks '
    "streams"
)
def given_breaking(context):
    given_regions(context, RunnerPlan(breaks_after=4, event_seconds=0.6))


@given('the route "{name}" has the home "{home}"')
@when('the route "{name}" gets the home "{home}"')
def set_home(context, name, home):
    fleet = context.gateways
    fleet.regions_by_route[name] = [home]
    fleet.configure()

    def is_followed():
        statuses = [fleet.status(node) for node in range(2)]
        versions = {status["configuration"]["version"] for status in statuses}
        return versions == {fleet.configuration_version}

    wait_until(is_followed, FOLLOW_SECONDS, "the configuration is in force")


@when('{count:d} callers request the route "{name}" at the gateway in "{region}"')
def request(context, count, name, region):
    fleet = context.gateways
    context.run_counts = [len(runner.runs) for runner in fleet.runners]
    context.began_at = time.monotonic()
    context.answers = [
        fleet.send(f"/{name}/{number}", NODE_BY_REGION[region])
        for number in range(count)
    ]
    context.seconds = time.monotonic() - context.began_at


def _new_runs(context):
    return {
        region: len(context.gateways.runners[node].runs) - context.run_counts[node]
        for region, node in NODE_BY_REGION.items()
    }


@then('all of them ran in "{region}"')
def check_all(context, region):
    assert all(answer.status == 200 for answer in context.answers), context.answers
    other = next(name for name in NODE_BY_REGION if name != region)
    expected = {region: len(context.answers), other: 0}
    assert _new_runs(context) == expected, _new_runs(context)


@then('some of them ran in "{region}"')
def check_some(context, region):
    assert _new_runs(context)[region], _new_runs(context)


@then('each directory names for callers of "{region}" the gateway in "{home}" only')
def check_directory(context, region, home):
    fleet = context.gateways
    expected = [fleet.nodes[NODE_BY_REGION[home]].data]
    for node in range(2):
        assert fleet.addresses(node, region) == expected, fleet.addresses(node, region)


@when('the runner in "{region}" has left')
def remove_runner(context, region):
    fleet = context.gateways
    runner = fleet.runners[NODE_BY_REGION[region]]
    runner.deregister()

    def is_removed():
        ids = [row["endpoint_id"] for row in fleet.status(0)["endpoints"]]
        return runner.runner_id not in ids

    wait_until(is_removed, FOLLOW_SECONDS, "the runner is removed")


@then("they are refused with 503 and a Retry-After within {seconds:d} second")
def check_refused(context, seconds):
    statuses = [answer.status for answer in context.answers]
    assert statuses == [503] * len(statuses), statuses
    assert all("Retry-After" in answer.headers for answer in context.answers)
    assert context.seconds / len(statuses) < seconds, context.seconds
    assert not any(_new_runs(context).values()), _new_runs(context)


@when('a caller\'s stream on the route "{name}" runs while its home moves to "{home}"')
def run_stream(context, name, home):
    fleet = context.gateways
    with ThreadPoolExecutor(1) as pool:
        sent = pool.submit(fleet.send, f"/{name}/1", 0)
        wait_until(lambda: fleet.runners[0].runs, FOLLOW_SECONDS, "the stream runs")
        set_home(context, name, home)
        context.answer = sent.result()


@then('the stream is complete, and went on in "{second}" after it broke in "{first}"')
def check_stream(context, second, first):
    answer = context.answer
    assert answer.status == 200 and answer.is_complete, answer
    assert answer.events == list(range(1, 7)), answer.events
    runs = {r: context.gateways.runners[n].runs for r, n in NODE_BY_REGION.items()}
    assert len(runs[first]) == len(runs[second]) == 1, runs


@when('a job of {count:d} items is submitted to the gateway in "{region}"')
def submit(context, count, region):
    fleet = context.gateways
    context.run_counts = [len(runner.runs) for runner in fleet.runners]
    items = [(f"item-{number}", f"/batch/{number}") for number in range(count)]
    context.job_id, answer = fleet.submit(items, NODE_BY_REGION[region])
    assert answer.status == 202, answer
    context.item_count = count


@then('its items ran in "{region}" within {seconds:d} seconds')
def check_items(context, region, seconds):
    fleet = context.gateways

    def is_done():
        _, body = fleet.results(context.job_id)
        return len(body["Results"]) == context.item_count

    wait_until(is_done, seconds, "all results are listed")
    other = next(name for name in NODE_BY_REGION if name != region)
    runs = _new_runs(context)
    assert runs[region] >= context.item_count and not runs[other], runs


@when("gateway {killed:d} is killed and the directory of gateway {asked:d} is asked")
def kill(context, killed, asked):
    fleet = context.gateways
    fleet.nodes[killed].kill()
    context.killed_at = time.monotonic()
    context.killed = fleet.nodes[killed]
    context.answers_at = []
    while time.monotonic() < context.killed_at + 8.0:
        addresses = fleet.addresses(asked)
        context.answers_at.append((time.monotonic() - context.killed_at, addresses))
        time.sleep(0.25)


@then("it is not named from {seconds:d} seconds after the kill on, and the others are")
def check_named(context, seconds):
    running = sorted(n.data for n in context.gateways.nodes if n is not context.killed)
    late = [addresses for at, addresses in context.answers_at if at >= seconds]
    assert late and all(addresses == running for addresses in late), late


@then(
    "gateway {node:d} logged that it leaves gateway {other:d} out, and counts 2 "
    "addresses"
)
def check_log(context, node, other):
    fleet = context.gateways
    text = Path(fleet.nodes[node].log_path).read_text()
    lines = [t for t in text.splitlines() if "directory leaves out lost instances" in t]
    assert any(f"gateway-{other}" in line for line in lines), lines
    name = r"sequoiaglade_gateway_directory_addresses\S*(\{.*\})? 2(\.0)?$"
    assert re.search(name, fleet.metrics(node), re.M), fleet.metrics(node)
