"""Steps on configuration changes: propagation, conflicts and lost responses."""

import hashlib
import json
import random
import sys
import threading
import time
from collections import Counter
from pathlib import Path

import yaml
from behave import given, then, when

sys.path.append(str(Path(__file__).resolve().parents[2] / "soak"))

BOUND_SECONDS = 3.0
START_SECONDS = 20.0
# Longer than the start of a node on a slow machine.
RESTART_LAG_SECONDS = 60.0
OBSERVED_LAG_SECONDS = 5.0


def ask_stock(fleet, node, key, path="/orders/1"):
    """Return status and error of a service call, by default one that needs a key."""
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    url = fleet.nodes[node].url + path
    response = fleet.http.request("GET", url, headers=headers)
    error = json.loads(response.data).get("error") if response.status >= 400 else None
    return response.status, error


def change_document(fleet, change, node=0):
    """Apply the function `change` to the accepted sections; return the revision."""
    sections = fleet.document(node)
    change(sections)
    return fleet.apply(sections, node)


def make_test_key(context, workspace, node):
    context.key = f"sg-test-{workspace}-{time.time_ns()}"
    entry = {
        "workspace": workspace,
        "digest": hashlib.sha256(context.key.encode()).hexdigest(),
    }

    def change(sections):
        sections["keys"]["made"] = entry

    context.revision = change_document(context.fleet, change, node)
    context.accepted_at = time.monotonic()


def put_document(
    fleet, sections, base, node=0, change_id=None, token=None, path=None, merge=False
):
    """Send a document to be applied, or to `path`; return status and body."""
    body = {
        "base": base,
        "document": yaml.safe_dump(sections),
        "change_id": change_id,
        "merge": merge,
    }
    response = fleet.http.request(
        "POST" if path else "PUT",
        f"{fleet.nodes[node].control_url}/operator/{path or 'configuration'}",
        body=json.dumps(body),
        headers={"Authorization": f"Bearer {token or fleet.operator_token}"},
    )
    return response.status, json.loads(response.data)


def run_concurrently(*functions):
    """Run functions in parallel threads; return their results in order."""
    results = [None] * len(functions)

    def run(index):
        results[index] = functions[index]()

    threads = [threading.Thread(target=run, args=(i,)) for i in range(len(functions))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


@given("the platform's reads lag {seconds:d} s")
def lag_reads(context, seconds):
    context.fleet.set_platform_faults(stale_reads=seconds)


@given("the platform's reads lag {seconds:d} s and refuse {node_id}")
def lag_and_refuse(context, seconds, node_id):
    context.fleet.set_platform_faults(stale_reads=seconds, refused_clients=[node_id])


@when("a key for {workspace} is made through node {node:d}")
def make_key_through(context, workspace, node):
    make_test_key(context, workspace, node)


@then("that key works on each node within 3 s")
def key_works_everywhere(context):
    statuses = {}
    while time.monotonic() < context.accepted_at + BOUND_SECONDS:
        for node in range(len(context.fleet.nodes)):
            statuses[node] = ask_stock(context.fleet, node, context.key)[0]
        if set(statuses.values()) == {200}:
            return
        time.sleep(0.05)
    raise AssertionError(f"statuses by node after 3 s: {statuses}")


@when("node {node:d} is killed and restarted")
def kill_and_start(context, node):
    process = context.fleet.nodes[node].process
    process.kill()
    process.start()


@then("until node {node:d} is ready it accepts that key or refuses it as not confirmed")
def key_is_accepted_or_not_confirmed(context, node):
    fleet = context.fleet
    restarted = fleet.nodes[node]
    fleet.set_platform_faults(stale_reads=RESTART_LAG_SECONDS)
    fleet.await_url(f"{restarted.control_url}/healthz", restarted.process)
    age = time.monotonic() - context.accepted_at
    fleet.set_platform_faults(stale_reads=age + OBSERVED_LAG_SECONDS)
    url = f"{restarted.control_url}/readyz"
    deadline = time.monotonic() + START_SECONDS
    codes = Counter()
    while fleet.http.request("GET", url).status != 200:
        assert time.monotonic() < deadline, codes
        status, error = ask_stock(fleet, node, context.key)
        codes[error["code"] if error else status] += 1
        time.sleep(0.05)
    assert set(codes) <= {200, "configuration_not_confirmed"}, codes
    assert codes["configuration_not_confirmed"], codes


@then("that key works on node {node:d} as soon as it is ready")
def key_works_when_ready(context, node):
    restarted = context.fleet.nodes[node]
    url = f"{restarted.control_url}/readyz"
    context.fleet.await_url(url, restarted.process, START_SECONDS)
    status, error = ask_stock(context.fleet, node, context.key)
    assert status == 200, (status, error)


@when("2 operators concurrently change the models from the same base")
def change_one_section_concurrently(context):
    fleet = context.fleet
    context.base = fleet.operator("GET", "configuration")["revision"]

    def change(name, node):
        sections = fleet.document()
        sections["models"] = {**sections["models"], name: {}}
        return put_document(fleet, sections, context.base, node)

    context.outcomes = run_concurrently(lambda: change("a", 0), lambda: change("b", 1))


@then("one change is accepted and the other is refused with a conflict in models")
def check_one_accepted(context):
    statuses = sorted(status for status, _ in context.outcomes)
    assert statuses == [200, 409], context.outcomes
    (refused,) = [body for status, body in context.outcomes if status == 409]
    assert "models." in refused["error"]["message"], refused
    assert refused["error"]["execution"] == "not_run", refused


@when("2 operators concurrently change the models and the services from the same base")
def change_two_sections_concurrently(context):
    fleet = context.fleet
    found = fleet.operator("GET", "configuration")

    def change(section, node, merge=False):
        sections = dict(found["document"])
        sections[section] = {**sections[section], "raced": {}}
        return put_document(fleet, sections, found["revision"], node, merge=merge)

    outcomes = run_concurrently(
        lambda: change("models", 0), lambda: change("services", 1)
    )
    context.outcome_by_section = dict(zip(("models", "services"), outcomes))
    context.change_section = change


@then("one change is accepted and the other is refused with a conflict in its section")
def check_one_conflicts(context):
    by_status = {o[0]: s for s, o in context.outcome_by_section.items()}
    assert set(by_status) == {200, 409}, context.outcome_by_section
    context.refused_section = by_status[409]
    message = context.outcome_by_section[by_status[409]][1]["error"]["message"]
    assert f"{by_status[200]}.raced" in message, message


@when("the refused change is sent again to be merged")
def merge_other(context):
    outcome = context.change_section(context.refused_section, 0, merge=True)
    assert outcome[0] == 200, outcome


@when("two operators add a model and a service from the same base with merging")
def merge_two(context):
    fleet = context.fleet
    context.found = fleet.operator("GET", "configuration")
    for section in ("models", "services"):
        outcome = merge_item(context, section, "raced")
        assert outcome[0] == 200, outcome


def merge_item(context, section, name):
    """Add an item with merging, based on ``context.found``; return status and body."""
    sections = dict(context.found["document"])
    sections[section] = {**sections[section], name: {}}
    base = context.found["revision"]
    return put_document(context.fleet, sections, base, merge=True)


@when("a third operator adds another model from that base with merging")
def merge_third(context):
    context.outcome = merge_item(context, "models", "third")


@then("it is refused with a conflict in models")
def check_third(context):
    status, body = context.outcome
    assert status == 409 and "models.raced" in body["error"]["message"], body


@then("both changes are in the accepted document")
def check_both(context):
    sections = context.fleet.document()
    assert "raced" in sections["models"] and "raced" in sections["services"], sections


@then("each accepted change is listed once in the history")
def check_history(context):
    revisions = context.fleet.operator("GET", "history")["revisions"]
    numbers = [revision["number"] for revision in revisions]
    assert numbers == list(range(len(numbers), 0, -1)), numbers
    counts = Counter(revision["change_id"] for revision in revisions)
    assert set(counts.values()) == {1}, counts


@when("a model is added while the platform loses the next {count:d} responses")
def add_with_lost_answers(context, count):
    fleet = context.fleet
    found = fleet.operator("GET", "configuration")
    sections = dict(found["document"])
    sections["models"] = {**sections["models"], "late": {}}
    fleet.set_platform_faults(lose_answers=count)
    context.sent = (sections, found["revision"], "change-with-lost-answers")
    sections, base, change_id = context.sent
    context.outcome = put_document(fleet, sections, base, 0, change_id)


@then("the change is accepted")
def check_accepted(context):
    status, body = context.outcome
    assert status == 200 and body["revision"] == context.sent[1] + 1, context.outcome


@when("the same change is sent again under its id through node {node:d}")
def send_again(context, node):
    sections, base, change_id = context.sent
    again = put_document(context.fleet, sections, base, node, change_id)
    context.again = again


@then("the response is the same revision")
def check_same(context):
    assert context.again == context.outcome, (context.again, context.outcome)


@then("{count:d} random simulations of the configuration hold the invariants")
def run_simulations(context, count):
    from configuration import STEPS, Simulation

    for seed in range(count):
        simulation = Simulation(random.Random(seed))
        for _ in range(STEPS):
            simulation.step()
        assert simulation.served, "nothing was served"
