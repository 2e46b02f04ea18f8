"""Refusals as HTTP responses in the format that published clients expect."""

import math

from .responses import json_response


def refusal_body(refusal, request_id):
    """Return the JSON value of a `Refusal`."""
    error = {
        "message": refusal.reason,
        "type": refusal.code.code,
        "code": refusal.code.code,
        "param": None,
        "execution": refusal.execution.value,
        "retry_after": refusal.retry_after,
        "request_id": request_id,
    }
    if refusal.entry is not None:
        error["entry"] = refusal.entry
    return {"error": error}


def refusal_response(refusal, request_id):
    """Return the `Response` for a `Refusal`."""
    headers = []
    if refusal.retry_after is not None:
        headers.append(("Retry-After", str(max(1, math.ceil(refusal.retry_after)))))
    body = refusal_body(refusal, request_id)
    return json_response(refusal.code.status, body, headers)
