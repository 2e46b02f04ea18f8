"""Concurrency limits of endpoints, as nodes keep them and tell each other.

Load pattern: many nodes place requests at an endpoint that has just started, so that
its limit must hold for all of them together.
"""

from typing import NamedTuple

from .endpoints import DEFAULT_SLOTS

# What `PaceChange.change` names. A limit lapses that no answer has confirmed.
BEGAN, FELL, ENDED, LAPSED = "began", "fell", "ended", "lapsed"
# The limit ended because too many endpoints started at the same time.
LIFTED = "lifted"
# Why a limit is in force after a start, before an answer is late.
STARTED = "started"
FAILED = "failed"


class PaceLimit(NamedTuple):
    """How many concurrent requests an endpoint gets from all nodes, and why.

    This is what nodes tell each other; a node keeps a `Limit`. A limit is firm if
    answers of the endpoint, or failures, show that it can't take more. `requests` is 0
    in what a scheduler tells of an endpoint without a limit. `age_seconds` is the time
    since an answer last confirmed it.
    """

    endpoint_id: str
    requests: float
    is_firm: bool = False
    reason: str = ""
    age_seconds: float = 0.0


class PaceChange(NamedTuple):
    """A limit that began, fell, ended or lapsed, for operators."""

    endpoint_id: str
    change: str
    requests: float
    reason: str


class Limit(NamedTuple):
    """The limit of an endpoint as a node keeps it, with times of its own clock.

    `changed_at` is when the limit began or last fell; answers to requests that were
    sent before tell nothing of it. `heard_at` is when an answer last confirmed it, or
    the endpoint was late for a cause that is common to most. `is_unstable` is whether
    the endpoint has failed repeatedly, so that answers raise the limit slowly.

    >>> limit = Limit(2.5, True, "late", changed_at=1.0, heard_at=3.0)
    >>> limit.told("a", now=3.5).age_seconds
    0.5
    """

    requests: float
    is_firm: bool
    reason: str
    changed_at: float
    heard_at: float
    is_unstable: bool = False

    def told(self, endpoint_id, now):
        """Return the `PaceLimit` to tell other nodes."""
        age = now - self.heard_at
        return PaceLimit(endpoint_id, self.requests, self.is_firm, self.reason, age)

    def status(self, now):
        """Return the limit for operators."""
        return {
            "requests": round(self.requests, 2),
            "is_firm": self.is_firm,
            "reason": self.reason,
            "since_seconds": round(now - self.changed_at, 3),
        }


def limited_slots(endpoint, limit_by_id):
    """Return how many requests an endpoint runs at a time, within its limit if any.

    >>> from sequoiaglade_decisions.gateway import Endpoint
    >>> limited_slots(Endpoint("a", "s", "", "d", 8), {})
    8
    """
    slots = endpoint.slots or DEFAULT_SLOTS
    if not limit_by_id:
        return slots
    limit = limit_by_id.get(endpoint.endpoint_id)
    return slots if limit is None else max(1, min(slots, int(limit.requests)))
