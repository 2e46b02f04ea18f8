"""What becomes of an item after an attempt to run it."""

from dataclasses import dataclass
from enum import Enum

from .items import ItemResult, failed_result

ITEM_MAX_TRIES = 3
ITEM_MAX_BREAKS = 6
_RETRIED_STATUSES = frozenset((408, 409, 425, 429))


class AttemptEnd(Enum):
    """How an attempt ended without a whole answer.

    ``NOT_STARTED`` states that no endpoint ran the item, ``YIELDED`` that it was
    aborted for online work, ``CANCELLED`` that its job was cancelled, ``BROKEN`` that
    an endpoint failed or may have failed after it got the item.
    """

    NOT_STARTED = "not_started"
    YIELDED = "yielded"
    CANCELLED = "cancelled"
    BROKEN = "broken"


@dataclass(frozen=True)
class Done:
    """The item has its final result."""

    result: ItemResult


@dataclass(frozen=True)
class Requeued:
    """The item goes back to the others that wait."""

    tries: int


@dataclass(frozen=True)
class Dropped:
    """The item ends without a result, since its job was cancelled."""


def decide_failure(item, end, tries, reason):
    """Return `Done`, `Again` or `Dropped` for an attempt without a whole answer.

    `tries` counts earlier attempts that an endpoint started. Attempts that never
    started or yielded to online work cost no try. Broken connections get more tries
    than error answers, since an endpoint that crashes breaks those of other items too.
    """
    match end:
        case AttemptEnd.CANCELLED:
            return Dropped()
        case AttemptEnd.NOT_STARTED:
            return Requeued(tries)
        case AttemptEnd.YIELDED if item.repeatable:
            return Requeued(tries)
    if not item.repeatable:
        return Done(unknown_result(item))
    tries += 1
    if tries < ITEM_MAX_BREAKS:
        return Requeued(tries)
    return Done(failed_result(item, 502, "endpoint_failed", f"{tries} tries: {reason}"))


def decide_status(item, status, tries, reason):
    """Return `Done` or `Again` for a whole answer that is not a success."""
    is_transient = status >= 500 or status in _RETRIED_STATUSES
    if is_transient and item.repeatable and tries + 1 < ITEM_MAX_TRIES:
        return Requeued(tries + 1)
    return Done(failed_result(item, status, "endpoint_error", reason))


def unknown_result(item):
    """Return the result of an item that may have run and may not be repeated."""
    message = "the item may have run; it may not be repeated"
    return failed_result(item, 504, "outcome_unknown", message)


def decide_unroutable(item, tries, status, reason):
    """Return `Done` or `Again` for an item that the configuration doesn't let run."""
    tries += 1
    if tries < ITEM_MAX_TRIES:
        return Requeued(tries)
    code = "not_found" if status == 404 else "forbidden"
    return Done(failed_result(item, status, code, f"{tries} tries: {reason}"))
