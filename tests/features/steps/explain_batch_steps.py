"""Steps on the decision histories of batch jobs and their items."""

import json
import signal
import threading
import time
from collections import Counter

from batch_cancel_steps import LONG_TOKENS, start_slow_job
from batch_once_steps import await_runs, item_runs
from batch_steps import await_job, submit
from behave import then, when
from explain_steps import decision_history
from path_steps import MESSAGES, complete, make_client, make_items

HISTORY_TIMEOUT_SECONDS = 40.0
ONLINE_COUNT = 8
OMITTED_TEXT = "decisions on items were left out"


def await_history(context, subject, condition, node=0):
    """Return the decision history once `condition` is true of its decisions."""
    deadline = time.monotonic() + HISTORY_TIMEOUT_SECONDS
    while True:
        found = decision_history(context, subject, node)
        if condition(found["decisions"]):
            return found
        assert time.monotonic() < deadline, "\n".join(found["sentences"])
        time.sleep(0.2)


def rules_of(decisions):
    return [decision["rule"] for decision in decisions]


@when("the job has ended")
def await_end(context):
    job_id = context.jobs[0].id
    await_job(context.client, job_id)
    # A job's end is recorded after callers can see it.
    await_history(context, job_id, lambda found: "job_ended" in rules_of(found))


@when("online requests of salina arrive while long items occupy all {slots:d} slots")
def preempt_items(context, slots):
    context.fleet.apply(context.fleet.document() | {"rates": {}})
    start_slow_job(context, 24, LONG_TOKENS)
    await_runs(context, slots)
    client = make_client(context.fleet)
    threads = [
        threading.Thread(target=complete, args=(client,), kwargs={"max_tokens": 10})
        for _ in range(ONLINE_COUNT)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    await_end(context)


@then(
    "an item's decision history from node 0"
    " shows that it was claimed, yielded and ran again"
)
def check_yield(context):
    decisions = decision_history(context, context.jobs[0].id, 0)["decisions"]
    yielded = [d["subject"] for d in decisions if d["rule"] == "yielded"]
    assert yielded, rules_of(decisions)
    ran = {run["request_id"] for run in item_runs(context) if run["state"] != "done"}
    assert yielded[0] in ran, (yielded, ran)
    history = decision_history(context, yielded[0], 0)
    wanted = ("claimed", "yielded", "dispatched_again", "committed")
    rules = [rule for rule in rules_of(history["decisions"]) if rule in wanted]
    assert list(dict.fromkeys(rules)) == list(wanted), rules
    text = "\n".join(history["sentences"])
    assert "left endpoint runner-0 for online requests" in text, text


@then(
    "the decision history of the job states that it was accepted and ended as {state}"
)
def check_ends(context, state):
    history = decision_history(context, context.jobs[0].id, 0)
    assert "the job was accepted with 24 items" in history["sentences"][0], history
    assert f"the job ended as {state}" in history["sentences"][-1], history


@then(
    "the decision history of its item {item} from node {node:d}"
    " states {retries:d} retries and that it was given up"
)
def check_retries(context, item, node, retries):
    history = decision_history(context, f"{context.jobs[0].id}.{item}", node)
    text = "\n".join(history["sentences"])
    retried = "at endpoint runner-0 failed (the endpoint answered 500"
    assert text.count(retried) == retries, text
    assert text.count("the item was given up (endpoint_error)") == 1, text
    assert f"{context.jobs[0].id}.0.0" not in text, text


@then(
    "the decision history of the job from node {node:d}"
    " states the cancel and the dropped items"
)
def check_cancel(context, node):
    history = decision_history(context, context.jobs[0].id, node)
    text = "\n".join(history["sentences"])
    assert "node-0: the cancel was accepted" in text, text
    heard = [d for d in history["decisions"] if d["rule"] == "cancel_heard"]
    assert heard and all(d["inputs"]["waiting"] >= 0 for d in heard), text
    assert sum(d["inputs"]["waiting"] for d in heard) > 0, text
    assert "the job ended as cancelled" in text, text


@when(
    "node {paused:d} is paused during a job of {count:d} long items"
    " until node {other:d} has taken over segments"
)
def pause(context, paused, count, other):
    start_slow_job(context, count, LONG_TOKENS)
    context.paused = context.fleet.nodes[paused]
    job_id = context.jobs[0].id

    def is_held(decisions):
        names = {d["node_id"] for d in decisions if d["rule"] == "claimed"}
        return context.paused.node_id in names

    await_history(context, job_id, is_held)
    context.paused.process.send(signal.SIGSTOP)

    def is_taken_over(decisions):
        return any(
            d["rule"] == "taken_over"
            and d["inputs"]["holder"] == context.paused.node_id
            for d in decisions
        )

    context.history = await_history(context, job_id, is_taken_over, other)


@then("that decision history reports {node_id} as missing")
def check_missing(context, node_id):
    assert context.history["missing_nodes"] == [node_id], context.history[
        "missing_nodes"
    ]
    assert f"{node_id} could not be reached" in context.history["sentences"][-1]


@when("node {node:d} is resumed")
def resume(context, node):
    context.fleet.nodes[node].process.send(signal.SIGCONT)


@then(
    "the decision history of the job from node {node:d}"
    " states that {node_id} lost its lease"
)
def check_lost(context, node, node_id):
    def is_lost(decisions):
        return (node_id, "lease_lost") in {(d["node_id"], d["rule"]) for d in decisions}

    history = await_history(context, context.jobs[0].id, is_lost, node)
    text = "\n".join(history["sentences"])
    assert f"was taken over from {node_id}, whose lease had run out" in text, text


@when("a job of {count:d} items for an unknown model runs")
def run_unknown_model(context, count):
    items = make_items(count)
    for item in items:
        item["body"] = item["body"] | {"model": "no-such-model"}
    context.client = make_client(context.fleet)
    context.jobs = [submit(context.client, items, "none")]
    await_end(context)


@then(
    "its decision history has at most {limit:d} given up items per segment,"
    " and the number omitted"
)
def check_limit(context, limit):
    job = context.client.batches.retrieve(context.jobs[0].id)
    decisions = decision_history(context, job.id, 0)["decisions"]
    given_up = Counter(
        d["subject"].rpartition(".")[0] for d in decisions if d["rule"] == "given_up"
    )
    assert given_up and max(given_up.values()) <= limit, given_up
    ends = [d for d in decisions if d["rule"] == "committed"]
    omitted = sum(d["inputs"].get("left_out", 0) for d in ends)
    assert job.request_counts.failed == 200
    assert omitted == 200 - sum(given_up.values()), ends
    text = "\n".join(decision_history(context, job.id, 0)["sentences"])
    assert OMITTED_TEXT in text, text


@then("no decision about the job contains an item's text or a key")
def check_private(context):
    decisions = decision_history(context, context.jobs[0].id, 0)["decisions"]
    assert len(decisions) > 4, decisions
    text = json.dumps(decisions)
    assert MESSAGES[0]["content"] not in text
    assert "message" not in text, text
    assert not any(key in text for key in context.fleet.key_by_workspace.values())


@then(
    "the decision history of its item {item} from node {node:d}"
    " states a crash and its quarantine"
)
def check_quarantine(context, item, node):
    history = decision_history(context, f"{context.jobs[0].id}.{item}", node)
    text = "\n".join(history["sentences"])
    assert "failed (" in text and "crashed endpoints and are quarantined" in text, text
