"""Print results as a table or as JSON."""

import json


def print_value(value, output):
    """Print a JSON value in the form `output`, ``json`` or ``table``."""
    if output == "json":
        print(json.dumps(value, indent=2, sort_keys=True))
        return
    rows = value if isinstance(value, list) else [value]
    print(format_table(rows))


def format_table(rows):
    """Return mappings as a table, with columns in the order of the first row.

    >>> print(format_table([{"id": "a", "state": "open"}]))
    id  state
    a   open
    """
    if not rows:
        return "(none)"
    columns = list(rows[0])
    cells = [columns]
    cells += [[_format_cell(row.get(column)) for column in columns] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths)).rstrip()
        for line in cells
    ]
    return "\n".join(lines)


def _format_cell(value):
    if value is None:
        return "-"
    return json.dumps(value) if isinstance(value, (dict, list)) else str(value)
