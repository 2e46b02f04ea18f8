"""Steps on endpoints that leave, crash and restart while a fleet serves load."""

import json
import time

from behave import then, when
from online_calls import wait_until
from poison_steps import SETUP_SECONDS

LEAVE_SECONDS = 3.0
OBSERVED_SECONDS = 2.0


def find_endpoint(context, name):
    names = [endpoint.plan.name for endpoint in context.fleet.endpoints]
    return names.index(name), context.fleet.endpoints[names.index(name)]


def runs_of(context, endpoint):
    answer = context.fleet.http.request("GET", f"{endpoint.control_url}/runs")
    return json.loads(answer.data)["runs"]


@when("the endpoint {name} is marked as leaving by {way}")
def mark_leaving(context, name, way):
    fleet = context.fleet
    index, context.leaving = find_endpoint(context, name)
    has_runs = lambda: runs_of(context, context.leaving)  # noqa: E731
    wait_until(has_runs, SETUP_SECONDS, f"{name} gets runs")
    match way:
        case "list":
            url = f"{fleet.platform_url}/instances/{name}"
            fleet.http.request("PUT", url, body=json.dumps({"state": "leaving"}))
        case "refusal":
            fleet.set_endpoint_faults(index, leaving=True)
        case "operator":
            document = fleet.document()
            document["endpoints"][name]["leaving"] = True
            fleet.apply(document)
    context.marked_at = time.time()


@then("it starts no run later than 3 seconds after the mark")
def check_left(context):
    before = runs_of(context, context.leaving)
    assert before, "the endpoint had no runs before it left"
    time.sleep(LEAVE_SECONDS + OBSERVED_SECONDS)
    runs = runs_of(context, context.leaving)
    late = [r for r in runs if r["started_at"] > context.marked_at + LEAVE_SECONDS]
    others = sum(len(runs_of(context, e)) for e in context.fleet.endpoints)
    assert not late and others > len(runs), late


@when("the endpoint {name} is killed and restarted {seconds:d} seconds later")
def kill_endpoint(context, name, seconds):
    _, context.killed = find_endpoint(context, name)
    context.killed.process.kill()
    time.sleep(seconds)
    context.killed.process.start()
    killed = context.killed
    context.fleet.await_url(f"{killed.control_url}/crashes", killed.process)


@then("it gets requests again within {seconds:d} seconds")
def check_returned(context, seconds):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if runs_of(context, context.killed):
            return
        time.sleep(0.1)
    raise AssertionError("the endpoint got no requests after its restart")
