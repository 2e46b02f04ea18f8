"""Answers of the gateway itself."""

import random
from typing import NamedTuple

from sequoiaglade_node.web import json_response

# Callers that were turned away together come back spread over this part of the time.
SPREAD = 0.5
# Least time to return, in seconds: a shorter one would be told as none.
RETURN_SECONDS_MIN = 0.02


class GatewayRefusal(NamedTuple):
    """A final answer without an endpoint's; `retry_after` in seconds or None.

    Statuses 429 and 503 state that the request has not run and will not.
    """

    status: int
    reason: str
    retry_after: float | None = None


def refusal_answer(refusal):
    """Return the `Response` for a `GatewayRefusal`."""
    headers = []
    if refusal.retry_after is not None:
        least = max(refusal.retry_after, RETURN_SECONDS_MIN)
        seconds = least * (1 + SPREAD * random.random())
        headers.append(("Retry-After", f"{seconds:.3f}"))
    return json_response(refusal.status, {"error": refusal.reason}, headers)
