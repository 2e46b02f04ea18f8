"""Steps on batch items that can't succeed."""

import json
from collections import Counter

from batch_once_steps import item_runs
from batch_steps import await_job, submit
from behave import then, when
from path_steps import make_client, make_items

CRASH_MARKER = "crash-me-now"
FAILING_SECONDS = 60.0


@when(
    "a job contains {good:d} good items, {missing:d} for a model that is not there"
    " and {crashing:d} that crash endpoints"
)
def mixed_job(context, good, missing, crashing):
    for index in range(len(context.fleet.endpoints)):
        context.fleet.set_endpoint_faults(
            index, crash_marker=CRASH_MARKER, restart_seconds=0.5
        )
    items = make_items(good + missing + crashing)
    for item in items[good : good + missing]:
        item["body"] = item["body"] | {"model": "no-such-model"}
    for number, item in enumerate(items):
        mark = CRASH_MARKER if number >= good + missing else "stock of"
        message = {"role": "user", "content": f"{mark} {item['custom_id']}"}
        item["body"] = item["body"] | {"messages": [message]}
    context.items = items
    context.client = make_client(context.fleet)
    context.jobs = [submit(context.client, items, "mixed")]


@when("every run ends with status {status:d} and a job of {count:d} items runs")
def failing_job(context, status, count):
    run_faulty(context, count, fail_status=status)


@when("every stream breaks at its start and a job of {count:d} items runs")
def breaking_job(context, count):
    run_faulty(context, count, break_after=0)


def run_faulty(context, count, **faults):
    for index in range(len(context.fleet.endpoints)):
        context.fleet.set_endpoint_faults(index, **faults)
    context.items = make_items(count)
    context.client = make_client(context.fleet)
    context.jobs = [submit(context.client, context.items, "broken")]


@then("the error file contains the other {count:d} items with the codes {codes}")
def check_errors(context, count, codes):
    job = await_job(context.client, context.jobs[0].id, FAILING_SECONDS)
    assert job.request_counts.failed == count, job.request_counts
    text = context.client.files.content(job.error_file_id).text
    errors = [json.loads(line) for line in text.splitlines()]
    ids = {error["custom_id"] for error in errors}
    assert ids == {item["custom_id"] for item in context.items[-count:]}, ids
    found = {error["error"]["code"] for error in errors}
    assert found == set(codes.split(" and ")), errors


@then("the crashing items crashed at most {count:d} endpoints")
def check_crashes(context, count):
    crashes = 0
    for endpoint in context.fleet.endpoints:
        response = context.fleet.http.request("GET", f"{endpoint.control_url}/crashes")
        crashes += json.loads(response.data)["crashes"]
    assert 0 < crashes <= count, crashes


@then("each of the {count:d} items was attempted {tries:d} times")
def check_tries(context, count, tries):
    runs = Counter(run["request_id"] for run in item_runs(context))
    assert sorted(runs.values()) == [tries] * count, runs
