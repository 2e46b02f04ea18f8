"""Behave hooks: each scenario owns the processes that it starts and ends them."""

import contextlib
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
# Makes the packages `emulator` and `fleet_adapter` of the users' platform importable.
sys.path.append(str(ROOT / "platform"))


def before_scenario(context, scenario):
    context.stack = contextlib.ExitStack()


def after_scenario(context, scenario):
    if scenario.status in ("failed", "error") and hasattr(context, "fleet"):
        for node in context.fleet.nodes:
            print_log(node.process)
    if scenario.status in ("failed", "error") and hasattr(context, "gateways"):
        for node in context.gateways.nodes:
            print_log(node)
    context.stack.close()


def print_log(process, count=20):
    with open(process.log_path, encoding="utf-8", errors="replace") as file:
        lines = file.read().splitlines()[-count:]
    print(f"--- {process.name}", *lines, sep="\n")
