"""Finds in the nodes' logs what became of a request, an item or a job."""

import json
import sys

from .client import EXIT_REFUSED, EXIT_USAGE, Problem, Reply

# Fields whose values name something else that the same account needs.
_LINKS = ("job", "item_id")
_ALWAYS = ("timestamp", "node_id", "event")


def explain_from_logs(sought, paths):
    """Return a `Reply` with the lines about `sought`, the oldest first.

    The files hold JSON lines of any nodes, in any order; ``-`` is standard input. Lines
    about a job's items are found by the job's id as well, since they name both.
    """
    rows = []
    for path in paths:
        lines = _read(path)
        if isinstance(lines, Problem):
            return lines
        rows += filter(None, map(parse_line, lines))
    found = [row for row in rows if _is_about(row, sought)]
    if not found:
        return Problem(EXIT_REFUSED, f"{sought!r} is in no line of {', '.join(paths)}")
    found.sort(key=lambda row: row.get("timestamp", ""))
    return Reply([_shown(row) for row in found])


def parse_line(text):
    """Return the fields of a log line, None if it is none.

    What stands before the JSON, such as a collector's prefix, is left out.

    >>> parse_line('node-1 {"event": "job ended", "job": "w.j"}')["event"]
    'job ended'
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        row = json.loads(text[start:])
    except ValueError:
        return None
    return row if isinstance(row, dict) and "event" in row else None


def _is_about(row, sought):
    for name, value in row.items():
        if not isinstance(value, str):
            continue
        if value == sought or (name in _LINKS and value.endswith("." + sought)):
            return True
    return False


def _shown(row):
    rest = {k: v for k, v in row.items() if k not in (*_ALWAYS, "level")}
    facts = ", ".join(f"{name}={value}" for name, value in rest.items())
    return {
        "time": row.get("timestamp", "")[11:23],
        "node": row.get("node_id"),
        "event": row["event"],
        "facts": facts,
    }


def _read(path):
    if path == "-":
        return sys.stdin.read().splitlines()
    try:
        with open(path, encoding="utf-8", errors="replace") as file:
            return file.read().splitlines()
    except OSError as error:
        return Problem(EXIT_USAGE, f"{path}: {error.strerror}")
