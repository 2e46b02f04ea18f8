"""Items of a batch input file, one JSON line each."""

import json
from typing import Any, NamedTuple

ITEM_PATHS = ("/v1/chat/completions", "/v1/completions")
LINE_MAX_BYTES = 500_000
FILE_MAX_ITEMS = 130_000


class Item(NamedTuple):
    """A checked line: the caller's id, the path and the body of the request.

    An item that is not `repeatable` runs at most once, whatever fails.
    """

    custom_id: str
    path: str
    body: dict[str, Any]
    repeatable: bool = True


class LineFault(NamedTuple):
    """A bad line of the input; lines are counted from 1."""

    line: int
    reason: str


class ItemResult(NamedTuple):
    """The final result of an item: an HTTP status with a body, or an error."""

    custom_id: str
    status: int
    body: dict[str, Any] | None
    error: dict[str, Any] | None

    def output_line(self, request_id):
        """Return the line of the output or error file as JSON text."""
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
    """Return the `ItemResult` of an item that ends with an error."""
    return ItemResult(item.custom_id, status, None, {"code": code, "message": message})


def parse_line(text, number):
    """Return the `Item` of a line, or a `LineFault`.

    >>> parse_line('{"custom_id": 1}', 4)
    LineFault(line=4, reason='custom_id is not a string')
    """
    try:
        value = json.loads(text)
    except (ValueError, RecursionError) as error:
        return LineFault(number, f"not valid JSON: {error}")
    reason = _shape_fault(value)
    if reason is not None:
        return LineFault(number, reason)
    repeatable = value.get("repeatable", True)
    return Item(value["custom_id"], value["url"], value["body"], repeatable)


def _shape_fault(value):
    if not isinstance(value, dict):
        return "not a JSON object"
    if not isinstance(value.get("custom_id"), str):
        return "custom_id is not a string"
    if value.get("method", "POST") != "POST":
        return "method is not POST"
    if value.get("url") not in ITEM_PATHS:
        return f"url is none of {', '.join(ITEM_PATHS)}"
    if not isinstance(value.get("body"), dict):
        return "body is not a JSON object"
    if not isinstance(value.get("repeatable", True), bool):
        return "repeatable is neither true nor false"
    return None
