"""Items of a batch input file, one JSON line each."""

import json
from typing import Any, NamedTuple

ITEM_PATHS = ("/v1/chat/completions", "/v1/completions")
LINE_MAX_BYTES = 500_000
FILE_MAX_ITEMS = 130_000


class Item(NamedTuple):
    """A valid input line: the caller's id, the path and the body of the request.

    An item that is not `repeatable` runs at most once, whatever fails.
    """

    custom_id: str
    path: str
    body: dict[str, Any]
    repeatable: bool = True


class LineFault(NamedTuple):
    """An invalid line of the input; lines are numbered from 1."""

    line: int
    reason: str


class ItemResult(NamedTuple):
    """Final result of an item: an HTTP status with either a body or an error."""

    custom_id: str
    status: int
    body: dict[str, Any] | None
    error: dict[str, Any] | None

    def output_line(self, request_id):
        """Return the result as a JSON line of the output file or error file."""
        response = None
        if self.body is not None:
            response = {
                "status_code": self.status,
                "request_id": request_id,
                "body": self.body,
            }
        line = {
            "id": request_id,
            "custom_id": self.custom_id,
            "response": response,
            "error": self.error,
        }
        return json.dumps(line, separators=(",", ":"))


def failed_result(item, status, code, message):
    """Return an `ItemResult` with an error."""
    return ItemResult(item.custom_id, status, None, {"code": code, "message": message})


def parse_line(text, number):
    """Parse an input line; return an `Item`, or a `LineFault` if it is invalid.

    >>> parse_line('{"custom_id": 1}', 4)
    LineFault(line=4, reason='custom_id is not a string')
    """
    try:
        value = json.loads(text)
    except (ValueError, RecursionError) as error:
        return LineFault(number, f"not valid JSON: {error}")
    reason = _find_schema_fault(value)
    if reason is not None:
        return LineFault(number, reason)
    repeatable = value.get("repeatable", True)
    return Item(value["custom_id"], value["url"], value["body"], repeatable)


def _find_schema_fault(value):
    if not isinstance(value, dict):
        return "not a JSON object"
    if not isinstance(value.get("custom_id"), str):
        return "custom_id is not a string"
    if value.get("method", "POST") != "POST":
        return "method is not POST"
    if value.get("url") not in ITEM_PATHS:
        return f"url is not one of {', '.join(ITEM_PATHS)}"
    if not isinstance(value.get("body"), dict):
        return "body is not a JSON object"
    if not isinstance(value.get("repeatable", True), bool):
        return "repeatable is not a boolean"
    return None
