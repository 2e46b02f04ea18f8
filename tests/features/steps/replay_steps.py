"""Steps on the recorded traces in the tests' folder."""

import json
import os
import tempfile
import time
from pathlib import Path

from behave import then, when
from settings_steps import run_module

CUT_SECONDS = 4.0
MIN_EVENTS = 20
TRACES = Path(__file__).resolve().parents[2] / "traces"


def run_replay(context, path):
    run_module(context, "sequoiaglade_cli.main", "--output", "json", "replay", path)


@when("the trace {name} is replayed on the command line")
def replay_trace(context, name):
    run_replay(context, str(TRACES / f"{name}.jsonl"))


@then("{count:d} events reproduced their recorded outcomes")
def check_events(context, count):
    assert context.done.returncode == 0, context.done
    assert json.loads(context.done.stdout)["events"] == count


@when("the recording nodes lose the platform for a while and are stopped")
def cut_and_stop(context):
    context.fleet.set_platform_faults(down=True)
    time.sleep(CUT_SECONDS)
    context.fleet.set_platform_faults()
    for node in context.fleet.nodes:
        node.process.stop()


@then("the command line replays {first} and {second} of each node")
def replay_recordings(context, first, second):
    for node in context.fleet.nodes:
        for machine in (first, second):
            path = os.path.join(context.folder, f"{node.node_id}-{machine}.jsonl")
            run_replay(context, path)
            assert context.done.returncode == 0, context.done
            assert json.loads(context.done.stdout)["events"] > MIN_EVENTS


@when("a recorded outcome of {event} in the trace {name} is altered and it is replayed")
def alter_trace(context, event, name):
    lines = (TRACES / f"{name}.jsonl").read_text("utf-8").splitlines()
    entries = [json.loads(line) for line in lines]
    context.number = max(
        number
        for number, entry in enumerate(entries, 1)
        if entry.get("event") == event and entry["outcome"]
    )
    entry = entries[context.number - 1]
    context.altered = entry | {"outcome": ["altered"]}
    context.given = entry["outcome"]
    lines[context.number - 1] = json.dumps(context.altered)
    file = context.stack.enter_context(
        tempfile.NamedTemporaryFile("w", suffix=".jsonl", encoding="utf-8")
    )
    file.write("\n".join(lines))
    file.flush()
    run_replay(context, file.name)


@then("the command line fails and prints that event with both outcomes")
def check_altered(context):
    assert context.done.returncode == 1, context.done
    printed = json.loads(context.done.stdout)
    assert printed == {
        "line": context.number,
        "event": context.altered["event"],
        "stated": ["altered"],
        "given": context.given,
    }, printed
    assert f":{context.number}: {printed['event']}" in context.done.stderr
