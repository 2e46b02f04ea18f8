"""Search the nodes' logs for the lines about a request, an item or a job."""

import json
import sys

from .client import EXIT_REFUSED, EXIT_USAGE, Problem, Reply

# Fields with a qualified id: it ends with a dot and the unqualified id.
_QUALIFIED_ID_FIELDS = ("job", "item_id")
_COLUMN_FIELDS = ("timestamp", "node_id", "event")


def explain_from_logs(subject, paths):
    """Return a `Reply` with the log lines about `subject`, oldest first.

    The files contain JSON lines of any nodes, in any order; ``-`` is standard input.
    The id of a job also finds the lines about its items, since they contain both ids.
    """
    rows = []
    for path in paths:
        lines = _read(path)
        if isinstance(lines, Problem):
            return lines
        rows += filter(None, map(parse_line, lines))
    found = [row for row in rows if _concerns(row, subject)]
    if not found:
        return Problem(
            EXIT_REFUSED, f"{subject!r} does not occur in {', '.join(paths)}"
        )
    found.sort(key=lambda row: row.get("timestamp", ""))
    return Reply([_table_row(row) for row in found])


def parse_line(text):
    """Return the fields of a log line, or None if the text is not a log line.

    Text before the JSON, such as a collector's prefix, is ignored.

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


def _concerns(row, subject):
    for name, value in row.items():
        if not isinstance(value, str):
            continue
        if value == subject or (
            name in _QUALIFIED_ID_FIELDS and value.endswith("." + subject)
        ):
            return True
    return False


def _table_row(row):
    other_fields = {k: v for k, v in row.items() if k not in (*_COLUMN_FIELDS, "level")}
    facts = ", ".join(f"{name}={value}" for name, value in other_fields.items())
    return {
        "time": row.get("timestamp", "")[11:23],
        "node": row.get("node_id"),
        "event": row["event"],
        "facts": facts,
    }


def _read(path):
    if path == "-":
        return [line.rstrip("\n") for line in sys.stdin]
    try:
        with open(path, encoding="utf-8", errors="replace") as file:
            return [line.rstrip("\n") for line in file]
    except OSError as error:
        return Problem(EXIT_USAGE, f"{path}: {error.strerror}")
