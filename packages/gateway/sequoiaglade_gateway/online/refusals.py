"""Responses of the gateway itself, without an endpoint."""

import random
from typing import NamedTuple

from sequoiaglade_node.web import json_response

# Retry-After is increased by a random part of up to this fraction, so that callers that
# were refused together do not all retry at the same time.
RETRY_AFTER_JITTER = 0.5
# Minimum Retry-After; a shorter one would be sent as zero.
RETRY_AFTER_SECONDS_MIN = 0.02
# Retry-After of what does not fit into the memory for clients.
MEMORY_RETRY_AFTER_SECONDS = 1.0
# Why a request is refused whose route and workspace have no region in common.
NO_REGION = "no region is allowed by both the route and the workspace"


class GatewayRefusal(NamedTuple):
    """A final response without an endpoint's; `retry_after` is in seconds, or None.

    Statuses 429 and 503 mean that the request has not run and will not run.
    """

    status: int
    reason: str
    retry_after: float | None = None


def refusal_response(refusal):
    """Return the `Response` for a `GatewayRefusal`."""
    headers = []
    if refusal.retry_after is not None:
        base_seconds = max(refusal.retry_after, RETRY_AFTER_SECONDS_MIN)
        seconds = base_seconds * (1 + RETRY_AFTER_JITTER * random.random())
        headers.append(("Retry-After", f"{seconds:.3f}"))
    return json_response(refusal.status, {"error": refusal.reason}, headers)
