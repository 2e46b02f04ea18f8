"""Decides whether an item is done, retried or dropped after an attempt to run it."""

from dataclasses import dataclass
from enum import Enum

from .items import ItemResult, failed_result

ITEM_MAX_TRIES = 3
ITEM_MAX_BROKEN_TRIES = 6
_RETRIED_STATUSES = frozenset((408, 409, 425, 429))


class AttemptEnd(Enum):
    """How an attempt ended without a complete response.

    ``NOT_STARTED``: no endpoint ran the item. ``YIELDED``: it was aborted in favour
    of online requests. ``CANCELLED``: its job was cancelled. ``BROKEN``: the endpoint
    failed, or may have failed, after it received the item.
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
    """The item returns to the queue of its segment.

    `tries` is the number of attempts that count towards its limit so far.
    """

    tries: int


@dataclass(frozen=True)
class Dropped:
    """The item ends without a result because its job was cancelled."""


def decide_failure(item, end, tries, reason):
    """Return `Done`, `Requeued` or `Dropped` for an attempt without a full response.

    `tries` counts earlier attempts that an endpoint started. Attempts that never
    started or yielded to online requests do not count. The limit is higher for broken
    connections than for error responses, since an endpoint that crashes also breaks
    the connections of other items.
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
    if tries < ITEM_MAX_BROKEN_TRIES:
        return Requeued(tries)
    return Done(failed_result(item, 502, "endpoint_failed", f"{tries} tries: {reason}"))


def decide_status(item, status, tries, reason):
    """Return `Done` or `Requeued` for a complete response that is an error."""
    is_transient = status >= 500 or status in _RETRIED_STATUSES
    if is_transient and item.repeatable and tries + 1 < ITEM_MAX_TRIES:
        return Requeued(tries + 1)
    return Done(failed_result(item, status, "endpoint_error", reason))


def unknown_result(item):
    """Return the result of an unrepeatable item that may have run."""
    message = "the item may have run; it may not be repeated"
    return failed_result(item, 504, "outcome_unknown", message)


def decide_unroutable(item, tries, status, reason):
    """Return `Done` or `Requeued` for an item without a route in the configuration.

    `status` is 404 if the model does not exist, or 403 if the workspace may not use it.
    """
    tries += 1
    if tries < ITEM_MAX_TRIES:
        return Requeued(tries)
    code = "not_found" if status == 404 else "forbidden"
    return Done(failed_result(item, status, code, f"{tries} tries: {reason}"))
