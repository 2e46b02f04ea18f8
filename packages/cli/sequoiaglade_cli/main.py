"""Command ``sequoiaglade``.

Exit codes: 0 success, 1 refused by the system, 2 usage error, 3 node unreachable.
"""

import argparse
import os
import sys

from . import commands
from .check import FORMATS, check
from .client import NodeClient, Problem
from .load import load
from .output import print_value

URL_VARIABLE = "SEQUOIAGLADE_URL"
CONTROL_URL_VARIABLE = "SEQUOIAGLADE_CONTROL_URL"
KEY_VARIABLE = "SEQUOIAGLADE_KEY"
TOKEN_VARIABLE = "SEQUOIAGLADE_OPERATOR_TOKEN"


def main(arguments=None):
    """Run one command and return its exit code."""
    options = _parser().parse_args(arguments)
    if options.is_operator:
        url, token = options.control_url, os.environ.get(TOKEN_VARIABLE)
    else:
        url, token = options.url, os.environ.get(KEY_VARIABLE)
    with NodeClient(url, token) as client:
        outcome = options.run(client, options)
    if isinstance(outcome, Problem):
        print(f"sequoiaglade: {outcome.reason}", file=sys.stderr)
        return outcome.exit_code
    if outcome.value is not None:
        print_value(outcome.value, options.output)
    return outcome.exit_code


def _parser():
    parser = argparse.ArgumentParser(
        prog="sequoiaglade",
        description="Command-line client for callers and operators.",
        epilog="exit codes: 0 success, 1 refused, 2 usage error, 3 node unreachable",
    )
    parser.add_argument(
        "--url",
        default=os.environ.get(URL_VARIABLE, "http://127.0.0.1:8080"),
        help=f"a node's data address ({URL_VARIABLE})",
    )
    parser.add_argument(
        "--control-url",
        default=os.environ.get(CONTROL_URL_VARIABLE, "http://127.0.0.1:8081"),
        help=f"a node's control address ({CONTROL_URL_VARIABLE})",
    )
    parser.add_argument("--output", choices=("json", "table"), default="table")
    groups = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_config(groups)
    _add_workspaces(groups)
    _add_keys(groups)
    _add_jobs(groups)
    _add(groups, "entries", commands.entries, is_operator=False)
    _add(groups, "status", commands.status)
    command = _add(groups, "gateway", commands.gateway)
    command.epilog = "example: sequoiaglade --control-url http://10.1.0.21:7361 gateway"
    explain = _add(groups, "explain", commands.explain)
    explain.add_argument("id")
    explain.add_argument(
        "--log",
        action="append",
        metavar="FILE",
        help="log file to search instead of querying a node; - is standard input",
    )
    explain.epilog = "example: sequoiaglade explain 9c41d07be2a35f68 --log node.log"
    _add_check(groups)
    _add_load(groups)
    _add(groups, "replay", commands.replay_trace).add_argument("trace")
    return parser


def _add(group, name, run, is_operator=True):
    parser = group.add_parser(name, help=run.__doc__.splitlines()[0])
    parser.set_defaults(run=run, is_operator=is_operator)
    return parser


def _group(groups, name, text):
    parser = groups.add_parser(name, help=text)
    return parser.add_subparsers(required=True, metavar="ACTION")


def _add_config(groups):
    group = _group(groups, "config", "the operators' configuration document")
    get = _add(group, "get", commands.config_get)
    get.add_argument("--file", help="file to write the document to, as YAML")
    plan = _add(group, "plan", commands.config_plan)
    apply = _add(group, "apply", commands.config_apply)
    for parser in (plan, apply):
        parser.add_argument("file")
        parser.add_argument(
            "--base",
            type=int,
            required=parser is apply,
            help="revision that the file is based on",
        )
        parser.add_argument(
            "--merge",
            action="store_true",
            help="keep changes made to other sections since the base revision",
        )
    apply.add_argument("--change-id", help="id of the change, to send it again")
    _add(group, "history", commands.config_history)


def _add_workspaces(groups):
    group = _group(groups, "workspace", "workspaces and their limits")
    _add(group, "list", commands.workspace_list)
    parser = _add(group, "set", commands.workspace_set)
    parser.add_argument("name")
    parser.add_argument("--tier", choices=("paying", "trial"), required=True)
    parser.add_argument("--weight", type=float, default=1.0)
    parser.add_argument("--rate", type=float, help="requests per second")
    parser.add_argument("--burst", type=int, default=1)


def _add_keys(groups):
    group = _group(groups, "key", "callers' keys")
    create = _add(group, "create", commands.key_create)
    create.add_argument("workspace")
    create.add_argument("--name")
    _add(group, "withdraw", commands.key_withdraw).add_argument("name")
    _add(group, "list", commands.key_list)


def _add_check(groups):
    parser = _add(groups, "check", check, is_operator=False)
    parser.description = (
        "Check a configuration of gateways on the users' platform with the rules of "
        "the gateways, without contact to any of them."
    )
    parser.add_argument("file", help="JSON file with the configuration")
    parser.add_argument(
        "--active",
        metavar="FILE",
        help="JSON file with the version in force, to list the differences",
    )
    parser.add_argument(
        "--strict", action="store_true", help="exit with 1 if there are warnings"
    )
    parser.add_argument(
        "--format", choices=FORMATS, help="text, unless --output is json"
    )
    parser.epilog = (
        "exit codes: 0 no errors, 1 warnings and --strict, 2 errors or unreadable "
        "files. example: sequoiaglade check planned.json --active active.json"
    )


def _add_load(groups):
    parser = _add(groups, "load", load)
    parser.add_argument("scenario", nargs="?", help="YAML file with the load scenario")
    parser.add_argument("--fleet", help="file with the line printed by ./run fleet")
    parser.add_argument(
        "--compare",
        nargs="+",
        help="results to compare side by side, FILE or FILE#NAME",
    )


def _add_jobs(groups):
    group = _group(groups, "job", "batch jobs")
    submit = _add(group, "submit", commands.job_submit, is_operator=False)
    submit.add_argument("file", help="JSON lines file with one item per line")
    submit.add_argument("--endpoint", default="/v1/chat/completions")
    submit.add_argument("--idempotency-key")
    for name in ("status", "cancel", "results"):
        run = getattr(commands, f"job_{name}")
        _add(group, name, run, is_operator=False).add_argument("id")


if __name__ == "__main__":
    sys.exit(main())
