"""Steps on journals, decision histories, replays and metrics."""

import json
import os
import tempfile

from behave import given, then, when
from path_steps import MESSAGES, complete, make_client
from settings_steps import run_module

from sequoiaglade_decisions.journal import (
    CompressedLineBuffer,
    Divergence,
    Recorder,
    replay,
)
from sequoiaglade_node.journal import Journal
from sequoiaglade_standins.fleet import Fleet
from sequoiaglade_standins.samples import (
    RESTOCKERS_MODEL,
    restockers_document,
    restockers_endpoints,
)


@when("a request with the id {request_id} is answered by node {node:d}")
def send_request(context, request_id, node):
    client = make_client(context.fleet, node=node)
    complete(client, extra_headers={"X-Request-Id": request_id})


@when("node {node:d} is killed")
def kill_node(context, node):
    context.fleet.nodes[node].process.kill()


def decision_history(context, subject, node):
    return context.fleet.operator("GET", f"explain/{subject}", node=node)


@then(
    "the decision history of {subject} from node {node:d} names endpoint {endpoint_id}"
)
def check_endpoint(context, subject, node, endpoint_id):
    sentences = decision_history(context, subject, node)["sentences"]
    assert any(f"endpoint {endpoint_id}" in text for text in sentences), sentences


@then(
    "the decision history of {subject} from node {node:d} reports {node_id} as missing"
)
def check_missing(context, subject, node, node_id):
    found = decision_history(context, subject, node)
    assert found["missing_nodes"] == [node_id], found
    assert any(node_id in text for text in found["sentences"])


@when("workspace {workspace} sends more than its burst through node {node:d}")
def exceed_burst(context, workspace, node):
    sections = context.fleet.document()
    sections["rates"][workspace] = {"rate": 0.01, "burst": 1}
    context.fleet.apply(sections)
    url = f"{context.fleet.nodes[node].url}/v1/chat/completions"
    key = context.fleet.key_by_workspace[workspace]
    headers = {"Authorization": f"Bearer {key}"}
    body = {"model": RESTOCKERS_MODEL, "messages": MESSAGES, "max_tokens": 1}
    for _ in range(500):
        response = context.fleet.http.request("POST", url, json=body, headers=headers)
        if response.status == 429:
            context.refused_id = response.headers["X-Request-Id"]
            return
    raise AssertionError("no request was refused")


@then(
    "the decision history of the last refused request states that the rate was used up"
)
def check_refusal(context):
    sentences = decision_history(context, context.refused_id, 0)["sentences"]
    assert any("rate was used up" in text for text in sentences), sentences


@given("a journal whose folder is not writable")
def make_unwritable_journal(context):
    file = context.stack.enter_context(tempfile.NamedTemporaryFile())
    context.journal = context.stack.enter_context(Journal("n", file.name))


@given("a journal in a folder")
def make_journal(context):
    context.folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.journal = Journal("n", context.folder)


@when("a decision about {subject} is recorded")
def record(context, subject):
    context.journal.record("online", subject, "granted", "running")


@when("the journal is reopened with a truncated last line")
def reopen(context):
    with context.journal:
        pass
    path = os.path.join(context.folder, "journal", "decisions.jsonl")
    with open(path, "a", encoding="utf-8") as file:
        file.write('{"at": 1.0, "node_id": "n", "subject": "r-2')
    context.journal = context.stack.enter_context(Journal("n", context.folder))


@then("the journal contains the decision about {subject}")
def check_journal(context, subject):
    assert len(context.journal.about(subject)) == 1


@given("a line buffer of {size:d} bytes")
def make_buffer(context, size):
    context.buffer = CompressedLineBuffer(size)


@when("{count:d} lines are appended")
def append_lines(context, count):
    for number in range(count):
        context.buffer.append(f"line {number}")
    context.newest = f"line {count - 1}"


@then("the buffer has at most {size:d} bytes and contains the newest line")
def check_buffer(context, size):
    lines = list(context.buffer.lines())
    assert context.buffer.byte_count <= size
    assert lines[-1] == context.newest and lines[0] != "line 0"


@given("a recorded trace of a token bucket")
def record_bucket(context):
    context.trace = []
    sink = context.trace.append
    bucket = Recorder("limits.bucket:TokenBucket", sink, 1.0, 2.0, 0.0)
    for number in range(6):
        bucket.take(1.0, now=number * 0.4)
    assert replay(context.trace) == 6


@when("the stated outcome of event {number:d} is changed")
def change_outcome(context, number):
    entry = json.loads(context.trace[number])
    entry["outcome"] = not entry["outcome"]
    context.trace[number] = json.dumps(entry)


@then("the replay diverges at line {number:d}")
def check_divergence(context, number):
    outcome = replay(context.trace)
    assert isinstance(outcome, Divergence) and outcome.line == number, outcome


@then("the metrics of node {node:d} count {count:d} request to {path}")
def check_metrics(context, node, count, path):
    url = f"{context.fleet.nodes[node].control_url}/metrics"
    text = context.fleet.http.request("GET", url).data.decode()
    prefix = "sequoiaglade_request_duration_seconds_count{"
    lines = [line for line in text.splitlines() if line.startswith(prefix)]
    assert any(
        f'path="{path}"' in line and line.endswith(f" {float(count)}") for line in lines
    ), text


@given("a fleet of {nodes:d} nodes that records its decisions")
def start_recording_fleet(context, nodes):
    context.folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    settings = {"recording_folder": context.folder}
    plans = restockers_endpoints(2)
    fleet = Fleet(nodes, plans, restockers_document(), settings=settings)
    context.fleet = context.stack.enter_context(fleet)


@when("{count:d} requests are answered with every second endpoint call refused")
def send_many(context, count):
    context.fleet.set_endpoint_faults(0, refuse=True)
    client = make_client(context.fleet)
    for _ in range(count):
        complete(client, max_tokens=1)


@then("the command line replays the recorded dispatcher without divergence")
def replay_recording(context):
    context.fleet.nodes[0].process.stop()
    path = os.path.join(context.folder, "node-0-dispatcher.jsonl")
    run_module(context, "sequoiaglade_cli.main", "--output", "json", "replay", path)
    assert context.done.returncode == 0, context.done
    assert json.loads(context.done.stdout)["events"] > 80
