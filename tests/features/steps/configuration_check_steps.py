"""Steps on ``sequoiaglade check``."""

import copy
import json
import os
import subprocess
import sys
import tempfile

from behave import given, then, when
from emulator.configurations import workspace
from emulator.fleet import wait_until
from fleet_adapter.decode import read_configuration

from sequoiaglade_decisions.outcomes import Failure
from sequoiaglade_platform import Document

LOG_SECONDS = 10.0


def _route(name, kind, **fields):
    return {
        "Name": name,
        "Host": "kiosk.example",
        "PathPrefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 5000,
        "SloMs": 300,
        "Service": "writer",
        **fields,
    }


CLEAN = {
    "Version": 7,
    "Routes": [
        _route("safe", "safe", Attempts=2),
        _route("once", "streaming"),
        _route("resume", "streaming", Resumable=True, Attempts=2),
        _route("batch", "batch", RunTargetMs=18_000, RetentionS=60, Attempts=3),
    ],
    "Services": [{"Name": "writer", "MaxConnections": 200, "ColdS": 5, "ColdPerS": 2}],
    "Tenants": [
        workspace("yard", {"keys": ["key-yard", "key-more"], "rate": 10, "burst": 20}),
        workspace("quay", {"keys": ["key-quay"]}),
    ],
}


def _add_later_route(c):
    c["Routes"].append({**c["Routes"][0], "Name": "later", "Host": "KIOSK.example"})


def _limit_regions(c):
    for route in c["Routes"]:
        route["AllowedRegions"] = ["west"]
    c["Tenants"][0]["AllowedRegions"] = ["east"]


def _split(c, *targets):
    c["Routes"][0]["Split"] = list(targets)


def _set(list_name, number, **fields):
    return lambda c: c[list_name][number].update(fields)


def _drop(list_name, number, field):
    return lambda c: c[list_name][number].pop(field)


WRITER = {"Service": "writer", "Weight": 1}
CHANGES = {
    'a route with the match of route "safe" is added': _add_later_route,
    'the host of route "safe" has a port': _set("Routes", 0, Host="kiosk.example:80"),
    'the path prefix of route "safe" has no slash': _set("Routes", 0, PathPrefix="s/"),
    'workspace "yard" has no keys': _set("Tenants", 0, ApiKeys=[]),
    'a service "spare" is added': lambda c: c["Services"].append({"Name": "spare"}),
    'route "safe" names the service "other"': _set("Routes", 0, Service="other"),
    'route "safe" has a target of weight 0': lambda c: _split(
        c, WRITER, {"Service": "writer-2", "Weight": 0}
    ),
    'workspace "quay" has a key of "yard"': _set("Tenants", 1, ApiKeys=["key-more"]),
    'a second workspace "yard" is added': _set("Tenants", 1, Name="yard"),
    'route "safe" is resumable': _set("Routes", 0, Resumable=True),
    'route "safe" has a retention': _set("Routes", 0, RetentionS=60),
    'route "once" has 3 attempts': _set("Routes", 1, Attempts=3),
    'service "writer" is cold without a rate': _set("Services", 0, ColdPerS=0),
    'workspace "yard" has a burst without a rate': _set("Tenants", 0, RatePerS=0),
    'the timeout of route "safe" is below its SLO': _set("Routes", 0, TimeoutMs=200),
    'the timeout of route "safe" is 0': _set("Routes", 0, TimeoutMs=0),
    'the burst of workspace "yard" is 0.5': _set("Tenants", 0, Burst=0.5),
    'the rate of workspace "yard" is -1': _set("Tenants", 0, RatePerS=-1),
    'the retention of route "batch" is 2 s': _set("Routes", 3, RetentionS=2),
    'no route has a region of workspace "yard"': _limit_regions,
    'the kind of route "safe" is "stream"': _set("Routes", 0, Kind="stream"),
    'the keys of workspace "yard" are a text': _set("Tenants", 0, ApiKeys="abc"),
    'the attempts of route "safe" are a text': _set("Routes", 0, Attempts="2"),
    'the host of route "safe" is missing': _drop("Routes", 0, "Host"),
    'the timeout of route "safe" is a text': _set("Routes", 0, TimeoutMs="5000"),
    'a target of route "safe" has no name': lambda c: _split(c, {"Weight": 1}),
    "the routes are no list": lambda c: c.update(Routes={"safe": c["Routes"][0]}),
    "a route is a number": lambda c: c["Routes"].append(7),
    'the rate of workspace "yard" is odd': _set("Tenants", 0, RatePerS="fast"),
    "a service has no name": _drop("Services", 0, "Name"),
    "the list of routes has another name": lambda c: c.update(routes=c.pop("Routes")),
    'the keys of workspace "yard" are odd': _set("Tenants", 0, ApiKeys=7),
    "the version is missing": lambda c: c.pop("Version"),
    "the version is a text": lambda c: c.update(Version="7"),
    "the version is a fraction": lambda c: c.update(Version=7.5),
    "the version is 2 to 70": lambda c: c.update(Version=2**70),
    "the version is true": lambda c: c.update(Version=True),
}


def _folder(context):
    if not hasattr(context, "folder"):
        context.folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    return context.folder


def _write(context, name, value):
    path = os.path.join(_folder(context), name)
    with open(path, "w", encoding="utf-8") as file:
        json.dump(value, file)
    return path


def _run(context, *arguments):
    context.done = subprocess.run(
        [sys.executable, "-m", "sequoiaglade_cli.main", "check", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert "Traceback" not in context.done.stderr, context.done.stderr
    return context.done


def _report(context):
    return json.loads(context.done.stdout)


@given("a configuration file without faults")
def given_clean(context):
    context.value = copy.deepcopy(CLEAN)
    context.path = _write(context, "planned.json", context.value)


@given("a file that {state}")
def given_file(context, state):
    context.path = os.path.join(_folder(context), "planned.json")
    data = {
        "is no JSON": b"Version: 7\nRoutes: []\n",
        "is a JSON list": b"[1]",
        "is missing": None,
        "is not UTF-8": b'{"Version": "\xff"}',
        "is a folder": None,
        "is nested deep": b"[" * 200_000,
    }[state]
    if state == "is a folder":
        os.mkdir(context.path)
    if data is not None:
        with open(context.path, "wb") as file:
            file.write(data)


@when("in the file {change}")
def change_file(context, change):
    CHANGES[change](context.value)
    context.path = _write(context, "planned.json", context.value)


@when('it is checked with "{options}"')
def check_with(context, options):
    _run(context, context.path, "--format", "json", *options.split())


@when('it is checked with ""')
def check_plain(context):
    check_with(context, "")


@when("it is kept as the version in force")
def keep_active(context):
    context.active_path = _write(context, "active.json", context.value)


@when("it is kept as the version in force, and changed")
def keep_and_change(context):
    keep_active(context)
    context.value["Version"] += 1
    context.value["Routes"][1]["Name"] = "renamed"
    context.value["Routes"][0]["TimeoutMs"] = 8000
    context.value["Tenants"][1]["ApiKeys"] = ["key-other"]
    context.path = _write(context, "planned.json", context.value)


@when("it is checked against the version in force")
def check_against(context):
    _run(context, context.path, "--active", context.active_path, "--format", "json")


@when("it is checked against a version in force that is missing")
def check_against_missing(context):
    _run(context, context.path, "--active", os.path.join(context.folder, "none.json"))


@when("the service of all routes is renamed in the version in force")
def rename_service(context):
    active = copy.deepcopy(CLEAN)
    active["Version"] -= 1
    active["Services"][0]["Name"] = "reader"
    for route in active["Routes"]:
        route["Service"] = "reader"
    context.active_path = _write(context, "active.json", active)


@when("it is written with the metadata of the platform's store")
def write_object(context):
    value = {"Metadata": {"Name": "main", "Revision": 3}, "Spec": context.value}
    context.path = _write(context, "planned.json", value)


@then("the exit code is {code:d}, without errors and warnings")
def check_clean(context, code):
    report = _report(context)
    assert context.done.returncode == code, context.done
    assert report["errors"] == report["warnings"] == [], report


@then('the exit code is {code:d}, with a warning "{kind}" at {location}')
def check_warning(context, code, kind, location):
    report = _report(context)
    assert context.done.returncode == code, context.done
    found = [(row["kind"], row["location"]) for row in report["warnings"]]
    assert (kind, location) in found and not report["errors"], report


@then("the exit code is {code:d}, with an error at {location}")
def check_error(context, code, location):
    assert context.done.returncode == code, context.done
    assert [row["location"] for row in _report(context)["errors"]] == [location]


@then("the exit code is {code:d}, with errors at {first} and {second}")
def check_errors(context, code, first, second):
    assert context.done.returncode == code, context.done
    found = [row["location"] for row in _report(context)["errors"]]
    assert found == [first, second], found


@then("the code of the gateways reads no configuration in it")
def check_refused(context):
    found = read_configuration(Document("main", 1, context.value))
    assert isinstance(found, Failure), found


@then('the exit code is {code:d} and standard error says "{text}"')
def check_problem(context, code, text):
    assert context.done.returncode == code, context.done
    assert text in context.done.stderr, context.done


@then('the exit code is {code:d} and standard error says ""')
def check_list(context, code):
    assert context.done.returncode == code, context.done
    assert [row["location"] for row in _report(context)["errors"]] == ["configuration"]


@then("the differences are a removed and an added route, a changed timeout and a key")
def check_differences(context):
    found = {tuple(row.values()) for row in _report(context)["differences"]}
    assert found == {
        ("removed", 'route "once"', ""),
        ("added", 'route "renamed"', ""),
        ("changed", 'route "safe"', "timeout: 5.0 -> 8.0"),
        ("changed", 'workspace "quay"', "keys: 1 added, 1 removed"),
    }, found


@then("no key is printed")
def check_no_key(context):
    assert "key-" not in context.done.stdout, context.done.stdout


@then("there are no differences")
def check_no_differences(context):
    assert _report(context)["differences"] == []


@then("the text output names the warning, its kind, a difference and the counts")
def check_text(context):
    text = _run(context, context.path, "--active", context.active_path).stdout
    for part in (
        'planned.json: warning: workspace "yard": the burst of 0.5 is below one',
        "[burst-below-one]",
        'planned.json: removed: service "reader"',
        "planned.json: version 7: 0 errors, 1 warnings",
    ):
        assert part in text, text


@when("a version with a workspace without keys is written twice")
def write_versions(context):
    fleet = context.gateways
    fleet.workspaces = {**fleet.workspaces, "empty": {"keys": []}}
    for _ in range(2):
        fleet.configure()
        version = fleet.configuration_version
        in_force = lambda v=version: fleet.status()["configuration"]["version"] == v  # noqa: E731
        wait_until(in_force, LOG_SECONDS, "the version is in force")


@then("the gateway's log has one line of warnings for each version")
def check_log(context):
    def lines():
        return [
            line
            for line in context.gateways.nodes[0].log_lines()
            if line["event"] == "configuration has warnings"
            and any('workspace "empty": ' in text for text in line["warnings"])
        ]

    wait_until(lambda: len(lines()) >= 2, LOG_SECONDS, "both versions are logged")
    assert len({line["version"] for line in lines()}) == len(lines()) == 2, lines()
