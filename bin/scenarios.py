"""Runs all behave scenarios and prints their counts in the last line.

The scenarios run in parallel processes, the longest features first. A table before the
last line tells what each feature took. Failures of scenarios that KNOWN-RED.txt lists
are printed but do not fail the run.
"""

import argparse
import csv
import json
import os
import subprocess
import sys
import tempfile
import threading
import time
from concurrent.futures import FIRST_COMPLETED, ThreadPoolExecutor, wait
from pathlib import Path
from typing import NamedTuple

from behave.parser import parse_file
from scenario_parts import Estimate, Part, allowed_workers, divide, next_part
from scenario_table import table

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
ESTIMATES = ROOT / "tests" / "feature-times.csv"
PROCESSORS = len(os.sched_getaffinity(0))
DEFAULT_WORKERS = max(3, PROCESSORS - 2)
# The expected use of the processors at which no further process starts. The rest is for
# bursts: many scenarios have bounds of some 0.1 s.
USED_SHARE = 0.5
# The load average is read again at least so often.
LOAD_SECONDS = 5.0
PART_TIMEOUT_SECONDS = 1500
ERROR_CHARACTERS = 600


class Outcome(NamedTuple):
    """The result of one scenario; `error` names its failed step and the message."""

    name: str
    status: str
    error: str
    seconds: float


class Result(NamedTuple):
    """What one process with scenarios has found and taken."""

    part: Part
    outcomes: tuple
    seconds: float
    processor_seconds: float


def main():
    """Run the scenarios; return 1 if one failed that KNOWN-RED.txt does not list."""
    parser = argparse.ArgumentParser(description="run the behave scenarios")
    parser.add_argument("paths", nargs="*", default=["tests/features"])
    parser.add_argument("--workers", type=int, default=DEFAULT_WORKERS)
    parser.add_argument(
        "--record", action="store_true", help=f"write the times to {ESTIMATES.name}"
    )
    options = parser.parse_args()
    began_at, load = time.monotonic(), os.getloadavg()[0]
    lines_by_feature = _lines_by_feature(options.paths)
    parts = divide(lines_by_feature, _estimates())
    results = _run_parts(parts, options.workers)
    outcomes = [outcome for result in results for outcome in result.outcomes]
    if options.record:
        _record(results)
    known = _known_red()
    failed = [outcome for outcome in outcomes if outcome.status != "passed"]
    for outcome in failed:
        label = "known red" if outcome.name in known else "FAILED"
        print(f"{label}: {outcome.name}: {known.get(outcome.name, outcome.error)}")
    failed_names = {outcome.name for outcome in failed}
    for name in sorted(set(known) - failed_names):
        print(f"known red, not failing in this run: {name}")
    print(*table(results), sep="\n")
    seconds = time.monotonic() - began_at
    print(
        f"{seconds:.0f} s, up to {options.workers} processes, {PROCESSORS} processors, "
        f"load average {load:.1f} at the begin and {os.getloadavg()[0]:.1f} at the end"
    )
    passed = len(outcomes) - len(failed)
    print(f"scenarios: {passed} passed, {len(failed)} failed")
    return 1 if failed_names - set(known) or not passed else 0


def _lines_by_feature(paths):
    """Return the lines of the scenarios, rows of outlines too, by the feature's file.

    A feature that can't be read is in it with no lines.
    """
    found = []
    for path in map(Path, paths):
        path = path if path.is_absolute() else ROOT / path
        found += sorted(path.rglob("*.feature")) if path.is_dir() else [path]
    return {str(path.relative_to(ROOT)): _lines(path) for path in found}


def _lines(path):
    try:
        feature = parse_file(str(path))
    except Exception:  # behave names the error when it runs the feature
        return ()
    rows = () if feature is None else feature.walk_scenarios()
    return tuple(scenario.location.line for scenario in rows)


def _run_parts(parts, workers):
    waiting, running, results = list(parts), {}, []
    with ThreadPoolExecutor(workers) as pool:
        while waiting or running:
            allowed = allowed_workers(workers, os.getloadavg()[0], PROCESSORS)
            while len(running) < allowed:
                used = list(running.values())
                part = next_part(waiting, used, USED_SHARE * PROCESSORS)
                if part is None:
                    break
                waiting.remove(part)
                running[pool.submit(_run_part, part)] = part
            done, _ = wait(running, LOAD_SECONDS, return_when=FIRST_COMPLETED)
            for future in done:
                del running[future]
                results.append(future.result())
    return results


def _run_part(part):
    began_at = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        report = os.path.join(folder, "report.json")
        command = [sys.executable, "-m", "behave", "--no-color", "--no-skipped"]
        command += ["-f", "json", "-o", report, "-f", "plain"]
        command += [f"{part.feature}:{line}" for line in part.lines] or [part.feature]
        text, code, processor_seconds = _run(command, os.path.join(folder, "output"))
        outcomes, lines = _outcomes(part, report)
    is_complete = lines and sorted(lines) == sorted(part.lines)
    all_passed = all(outcome.status == "passed" for outcome in outcomes)
    if not is_complete or (code != 0 and all_passed):
        error = "the scenarios did not run to their end"
        outcomes = [*outcomes, Outcome(part.feature, "failed", error, 0.0)]
    if any(outcome.status != "passed" for outcome in outcomes):
        print(text, flush=True)
    seconds = time.monotonic() - began_at
    print(f"{part.feature}: {len(outcomes)} scenarios in {seconds:.0f} s", flush=True)
    return Result(part, tuple(outcomes), seconds, processor_seconds)


def _run(command, output):
    """Return the output, exit code and processor seconds of a process."""
    with open(output, "wb") as file:
        process = subprocess.Popen(
            command, cwd=ROOT, stdout=file, stderr=subprocess.STDOUT
        )
    timer = threading.Timer(PART_TIMEOUT_SECONDS, process.kill)
    timer.start()
    _, status, usage = os.wait4(process.pid, 0)
    timer.cancel()
    # Its process has been waited for: `Popen` must not do it again.
    process.returncode = os.waitstatus_to_exitcode(status)
    text = Path(output).read_text(encoding="utf-8", errors="replace")
    if process.returncode < 0:
        text = f"ended by signal {-process.returncode}\n{text}"
    return text, process.returncode, usage.ru_utime + usage.ru_stime


def _outcomes(part, report):
    """Return the outcomes of the part's scenarios and their lines."""
    try:
        with open(report, encoding="utf-8") as file:
            features = json.load(file)
    except (OSError, ValueError):
        return [], []
    rows = [
        (int(element["location"].rsplit(":", 1)[1]), element)
        for entry in features
        for element in entry.get("elements", ())
        if element["type"] == "scenario"
    ]
    rows = [(line, element) for line, element in rows if line in part.lines]
    return [_outcome(element) for _, element in rows], [line for line, _ in rows]


def _outcome(scenario):
    seconds = sum(
        step.get("result", {}).get("duration", 0.0) for step in scenario["steps"]
    )
    status = scenario.get("status", "untested")
    return Outcome(scenario["name"].strip(), status, _error(scenario), seconds)


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


def _estimates():
    """Return the times of an earlier run by feature; there may be none."""
    try:
        with open(ESTIMATES, encoding="utf-8", newline="") as file:
            return {
                row["feature"]: Estimate(
                    float(row["seconds"]), float(row["processor_seconds"])
                )
                for row in csv.DictReader(file)
            }
    except FileNotFoundError:
        return {}


def _record(results):
    times = {name: tuple(row) for name, row in _estimates().items()}
    for feature in {result.part.feature for result in results}:
        rows = [result for result in results if result.part.feature == feature]
        times[feature] = (
            sum(result.seconds for result in rows),
            sum(result.processor_seconds for result in rows),
        )
    with open(ESTIMATES, "w", encoding="utf-8", newline="") as file:
        writer = csv.writer(file, lineterminator="\n")
        writer.writerow(("feature", "seconds", "processor_seconds"))
        for feature, row in sorted(times.items()):
            if (ROOT / feature).exists():
                writer.writerow((feature, *(round(value) for value in row)))


def _known_red():
    entries = {}
    for line in KNOWN_RED.read_text(encoding="utf-8").splitlines():
        if line.strip() and not line.startswith("#"):
            name, _, rest = line.partition(" | ")
            entries[name.strip()] = rest.strip()
    return entries


if __name__ == "__main__":
    sys.exit(main())
