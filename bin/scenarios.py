"""Runs all behave scenarios and prints their counts in the last line.

Features run in a few parallel processes. Failures of scenarios that KNOWN-RED.txt lists
are printed but do not fail the run.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
DEFAULT_WORKERS = 3
FEATURE_TIMEOUT_SECONDS = 1500
ERROR_CHARACTERS = 600


class Outcome(NamedTuple):
    """The result of one scenario; `error` names its failed step and the message."""

    name: str
    status: str
    error: str


def main():
    """Run the scenarios; return 1 if one failed that KNOWN-RED.txt does not list."""
    parser = argparse.ArgumentParser(description="run the behave scenarios")
    parser.add_argument("paths", nargs="*", default=["tests/features"])
    parser.add_argument("--workers", type=int, default=DEFAULT_WORKERS)
    options = parser.parse_args()
    features = _features(options.paths)
    with ThreadPoolExecutor(options.workers) as pool:
        outcomes = [row for rows in pool.map(_run_feature, features) for row in rows]
    known = _known_red()
    failed = [outcome for outcome in outcomes if outcome.status != "passed"]
    for outcome in failed:
        label = "known red" if outcome.name in known else "FAILED"
        print(f"{label}: {outcome.name}: {known.get(outcome.name, outcome.error)}")
    failed_names = {outcome.name for outcome in failed}
    for name in sorted(set(known) - failed_names):
        print(f"known red, not failing in this run: {name}")
    passed = len(outcomes) - len(failed)
    print(f"scenarios: {passed} passed, {len(failed)} failed")
    return 1 if failed_names - set(known) or not passed else 0


def _features(paths):
    found = []
    for path in map(Path, paths):
        path = path if path.is_absolute() else ROOT / path
        found += sorted(path.rglob("*.feature")) if path.is_dir() else [path]
    return found


def _run_feature(feature):
    with tempfile.TemporaryDirectory() as folder:
        report = os.path.join(folder, "report.json")
        command = [sys.executable, "-m", "behave", "--no-color"]
        command += ["-f", "json", "-o", report, "-f", "plain", str(feature)]
        text, code = _run(command)
        rows = _rows(feature, report)
    name = feature.relative_to(ROOT)
    if not rows or (code != 0 and all(row.status == "passed" for row in rows)):
        rows = [
            *rows,
            Outcome(str(name), "failed", "the feature did not run to its end"),
        ]
    if any(row.status != "passed" for row in rows):
        print(text, flush=True)
    print(f"{name}: {len(rows)} scenarios", flush=True)
    return rows


def _run(command):
    try:
        done = subprocess.run(
            command,
            cwd=ROOT,
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            timeout=FEATURE_TIMEOUT_SECONDS,
        )
    except subprocess.TimeoutExpired as error:
        return f"timed out\n{error.stdout or ''}", 1
    return done.stdout, done.returncode


def _rows(feature, report):
    try:
        with open(report, encoding="utf-8") as file:
            features = json.load(file)
    except (OSError, ValueError):
        return []
    return [
        Outcome(
            element["name"].strip(), element.get("status", "untested"), _error(element)
        )
        for entry in features
        for element in entry.get("elements", ())
        if element["type"] == "scenario"
    ]


def _error(scenario):
    """Return the first failed step of a scenario and its message, both on one line."""
    for step in scenario.get("steps", ()):
        result = step.get("result", {})
        if result.get("status") in ("failed", "error", "undefined"):
            message = result.get("error_message", "")
            lines = message if isinstance(message, list) else message.splitlines()
            text = " ".join(" ".join(lines).split())
            return f"{step['name']}: {text}"[:ERROR_CHARACTERS]
    return "no step failed"


def _known_red():
    entries = {}
    for line in KNOWN_RED.read_text(encoding="utf-8").splitlines():
        if line.strip() and not line.startswith("#"):
            name, _, rest = line.partition(" | ")
            entries[name.strip()] = rest.strip()
    return entries


if __name__ == "__main__":
    sys.exit(main())
