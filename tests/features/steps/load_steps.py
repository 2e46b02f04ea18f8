"""Steps on load runs and the comparison of their results."""

import argparse
import copy
import json
import os
import tempfile
from unittest import mock

import yaml
from behave import given, then, when
from settings_steps import run_module

from sequoiaglade_bench import standing
from sequoiaglade_standins.samples import RESTOCKERS_MODEL

BASELINE_NAME = "restockers/online with batch"


def write(context, name, text):
    path = os.path.join(context.folder, name)
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)
    return path


def run_cli(context, *arguments):
    run_module(context, "sequoiaglade_cli.main", "--output", "json", *arguments)
    return context.done


@given("a load scenario of {seconds:d} seconds with a job of {count:d} items")
def write_scenario(context, seconds, count):
    context.folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    scenario = {
        "name": "short",
        "model": RESTOCKERS_MODEL,
        "seconds": seconds,
        "workspaces": {"salina": {"rate": 10, "tokens": 2}},
        "jobs": [{"workspace": "hays", "items": count, "tokens": 2}],
    }
    context.scenario_path = write(context, "scenario.yaml", yaml.safe_dump(scenario))


@when("the command line runs the scenario against the fleet")
def run_scenario(context):
    fleet = context.fleet
    description = {
        "nodes": [node.url for node in fleet.nodes],
        "platform": fleet.platform_url,
        "endpoints": [endpoint.control_url for endpoint in fleet.endpoints],
        "keys": fleet.key_by_workspace,
    }
    path = write(context, "fleet.json", json.dumps(description))
    done = run_cli(context, "load", context.scenario_path, "--fleet", path)
    assert done.returncode == 0, done
    context.result = json.loads(done.stdout)
    assert context.result["online"]["first_token"]["count"] > 0, context.result
    context.result_path = write(context, "own.json", done.stdout)
    context.baselines_path = write_baselines(context)


def write_baselines(context):
    """Write baselines in the format of the bench, with twice the result's p99."""
    slower = copy.deepcopy(context.result)
    slower["online"]["first_token"]["p99_ms"] *= 2
    options = argparse.Namespace(seconds=1.0, seed=1)
    with mock.patch.object(standing, "_measure", return_value=slower):
        value = {"standing": standing.run(options)}
    return write(context, "standing.json", json.dumps(value))


def compare(context, *sources):
    done = run_cli(context, "load", "--compare", *sources)
    context.rows = json.loads(done.stdout) if done.returncode == 0 else None


@when("its result is compared with one named baseline")
def compare_named(context):
    compare(context, context.result_path, f"{context.baselines_path}#{BASELINE_NAME}")


@then("the comparison contains both results and the ratios to the first")
def check_named(context):
    assert context.rows is not None, context.done
    names = [row["result"] for row in context.rows]
    assert names == [
        context.result_path,
        f"{context.baselines_path}#{BASELINE_NAME}",
    ], names
    assert [row["p99 ratio"] for row in context.rows] == [1.0, 2.0], context.rows
    p99 = context.result["online"]["first_token"]["p99_ms"]
    assert [r["first token p99 ms"] for r in context.rows] == [p99, 2 * p99]


@when("its result is compared with all baselines")
def compare_all(context):
    compare(context, context.result_path, context.baselines_path)


@then("the comparison contains its result and the {count:d} baselines")
def check_all(context, count):
    assert context.rows is not None, context.done
    assert len({row["result"] for row in context.rows}) == 1 + count, context.rows


@when("its result is compared with an unknown baseline")
def compare_unknown(context):
    compare(context, context.result_path, f"{context.baselines_path}#restockers/night")


@then("the command line lists the {count:d} baselines")
def check_names(context, count):
    assert context.done.returncode == 2, context.done
    assert BASELINE_NAME in context.done.stderr, context.done
    assert context.done.stderr.count("online") == count, context.done
