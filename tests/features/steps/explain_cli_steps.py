"""Steps on decision histories read with the command line."""

import json
import os
import subprocess
import sys

from behave import then, when

COMMAND_TIMEOUT_SECONDS = 60.0
DECISION_KEYS = {"at", "node_id", "concern", "subject", "rule", "outcome", "inputs"}


def run_explain(context, subject, node, output):
    node_url = context.fleet.nodes[node].control_url
    options = ["--control-url", node_url, "--output", output]
    environment = os.environ | {
        "SEQUOIAGLADE_OPERATOR_TOKEN": context.fleet.operator_token
    }
    completed = subprocess.run(
        [sys.executable, "-m", "sequoiaglade_cli.main", *options, "explain", subject],
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_SECONDS,
        env=environment,
    )
    assert completed.returncode == 0, completed
    return completed.stdout


@when(
    "the command line requests the decision history of {subject}"
    " from node {node:d} as json and as a table"
)
def explain_in_both_formats(context, subject, node):
    context.subject = subject
    context.json_text = run_explain(context, subject, node, "json")
    context.table_text = run_explain(context, subject, node, "table")


@then("the JSON contains the subject, the decisions in order, and {node_id} as missing")
def check_json(context, node_id):
    value = json.loads(context.json_text)
    assert value["subject"] == context.subject, value
    assert value["missing_nodes"] == [node_id], value
    decisions = value["decisions"]
    assert all(set(decision) == DECISION_KEYS for decision in decisions), decisions
    assert [d["at"] for d in decisions] == sorted(d["at"] for d in decisions)
    granted = [d for d in decisions if d["rule"] == "granted"]
    assert [d["subject"] for d in granted] == [context.subject], decisions
    assert granted[0]["inputs"]["endpoint_id"] == "runner-0", granted
    assert {d["node_id"] for d in decisions} == {"node-1"}, decisions


@then("the table contains the same sentences")
def check_table(context):
    sentences = json.loads(context.json_text)["sentences"]
    assert sentences and context.table_text.splitlines() == sentences
