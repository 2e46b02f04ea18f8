"""Steps on ``sequoiaglade config``."""

import json
import os
import subprocess
import sys

import yaml
from behave import given, then, when
from configuration_steps import change_document


def run_config(context, *arguments):
    """Run ``sequoiaglade config`` as an operator; return the completed process."""
    fleet = context.fleet
    url = fleet.nodes[0].control_url
    command = [sys.executable, "-m", "sequoiaglade_cli.main", "--control-url", url]
    return subprocess.run(
        [*command, "--output", "json", "config", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        env=os.environ | {"SEQUOIAGLADE_OPERATOR_TOKEN": fleet.operator_token},
    )


def apply_file(context, change_id):
    base = str(context.base)
    arguments = ("--base", base, "--change-id", change_id)
    return run_config(context, "apply", context.path, *arguments)


@given(
    "a file with the accepted document and an additional model, based on the current"
    " revision"
)
def write_document(context):
    found = context.fleet.operator("GET", "configuration")
    context.base = found["revision"]
    sections = found["document"]
    sections["models"]["further"] = {"description": "from the file"}
    context.path = os.path.join(context.fleet.folder, "document.yaml")
    with open(context.path, "w", encoding="utf-8") as file:
        yaml.safe_dump(sections, file)


@then("config plan of the file lists that model as added")
def check_plan(context):
    done = run_config(context, "plan", context.path)
    rows = json.loads(done.stdout)
    assert [(r["change"], r["item"]) for r in rows] == [("add", "models.further")], done


@then("config apply of the file twice under one change id creates one revision")
def apply_twice(context):
    outputs = [apply_file(context, "file-1").stdout for _ in range(2)]
    revisions = [json.loads(output)["revision"] for output in outputs]
    assert revisions == [context.base + 1] * 2, outputs


@when("a model is added by another operator")
def add_other_model(context):
    change_document(context.fleet, lambda s: s["models"].update(other={}))


@then("config apply of the file under a new change id exits with 1 and reports models")
def apply_stale(context):
    with open(context.path, encoding="utf-8") as file:
        sections = yaml.safe_load(file)
    sections["models"]["later"] = {}
    with open(context.path, "w", encoding="utf-8") as file:
        yaml.safe_dump(sections, file)
    done = apply_file(context, "file-2")
    assert done.returncode == 1 and "models.other" in done.stderr, done


@when("config get writes the document to a file, which is then edited")
def get_file(context):
    context.path = os.path.join(context.fleet.folder, "document.yaml")
    done = run_config(context, "get", "--file", context.path)
    context.base = json.loads(done.stdout)["revision"]
    with open(context.path, encoding="utf-8") as file:
        sections = yaml.safe_load(file)
    sections["models"]["from-file"] = {}
    with open(context.path, "w", encoding="utf-8") as file:
        yaml.safe_dump(sections, file)


@when("a service is added by another operator")
def add_other_service(context):
    change_document(context.fleet, lambda s: s["services"].update(other={}))


@then("config apply of the file without a base exits with 2 and changes nothing")
def apply_without_base(context):
    done = run_config(context, "apply", context.path)
    assert done.returncode == 2 and "--base" in done.stderr, done
    assert "from-file" not in context.fleet.document()["models"]


@then("config {action} of the file with its base exits with 1 and reports {item}")
def refused_over_base(context, action, item):
    done = run_config(context, action, context.path, "--base", str(context.base))
    assert done.returncode == 1 and item in done.stderr, done


@then("config apply of the file with its base and --merge keeps the service")
def merge_over_base(context):
    base = str(context.base)
    done = run_config(context, "apply", context.path, "--base", base, "--merge")
    assert done.returncode == 0, done
    sections = context.fleet.document()
    assert "other" in sections["services"], sections["services"]
    assert "from-file" in sections["models"], sections["models"]
