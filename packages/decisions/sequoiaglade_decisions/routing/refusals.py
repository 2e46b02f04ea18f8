"""Refusals of tickets that get no slot."""

from ..outcomes import Refusal, RefusalCode

RETRY_AFTER_SECONDS = 1.0


def quarantined():
    """Return the refusal of a request that has crashed endpoints."""
    reason = "the request has crashed the endpoints that ran it"
    return Refusal(RefusalCode.QUARANTINED, reason)


def no_endpoint(target):
    """Return the refusal of a ticket that no endpoint may run."""
    reason = f"no endpoint serves {target} now"
    return Refusal(RefusalCode.OVERLOADED, reason, RETRY_AFTER_SECONDS)


def no_slot_in_time(target, expected_wait=0.0):
    """Return the refusal of a ticket that gets no slot before its deadline.

    `expected_wait` is in seconds; the caller is asked to retry no earlier.
    """
    reason = f"no slot for {target} comes free in time"
    retry_after = max(RETRY_AFTER_SECONDS, expected_wait)
    return Refusal(RefusalCode.OVERLOADED, reason, retry_after)
