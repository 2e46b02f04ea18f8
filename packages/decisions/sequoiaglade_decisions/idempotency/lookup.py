"""Decides on a request whose idempotency key has a record already."""

from dataclasses import dataclass

from ..outcomes import Execution, Refusal, RefusalCode
from .claims import DISPATCH_TERM_SECONDS
from .records import CallRecord, CallState, StoredResponse

RUNNING_MAX_SECONDS = 120.0
CLOCK_SKEW_SECONDS = 2.0
RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True)
class Replay:
    """The request is answered with the stored response."""

    answer: StoredResponse


def decide_existing_record(record: CallRecord, digest, now, is_holder_gone):
    """Return `Replay`, or a `Refusal` that reports the state of the call.

    `now` is wall-clock time. `is_holder_gone` is whether the process that created
    the record is known to have ended; within its dispatch term the call still counts
    as running, whatever the list of instances contains.

    >>> record = CallRecord(CallState.RUNNING, "d", "n", "i", 1, "c", 100.0)
    >>> decide_existing_record(record, "d", 101.0, False).code.code
    'request_in_progress'
    >>> decide_existing_record(record, "d", 120.0, True).code.code
    'outcome_unknown'
    """
    if record.digest != digest:
        reason = "the idempotency key was used with another request"
        return Refusal(RefusalCode.CONFLICT, reason)
    match record.state:
        case CallState.ANSWERED:
            return Replay(record.answer)
        case CallState.UNKNOWN:
            return _unknown_outcome("it ended without a response that could be stored")
    age = now - record.created_at
    if age > RUNNING_MAX_SECONDS + CLOCK_SKEW_SECONDS:
        return _unknown_outcome("its node did not store a response in time")
    if is_holder_gone and age > DISPATCH_TERM_SECONDS + CLOCK_SKEW_SECONDS:
        return _unknown_outcome("the node that ran it is gone")
    reason = "a request with this idempotency key is running"
    return Refusal(
        RefusalCode.IN_PROGRESS,
        reason,
        RETRY_AFTER_SECONDS,
        execution=Execution.UNKNOWN,
    )


def _unknown_outcome(cause):
    reason = f"the request with this idempotency key may have run: {cause}"
    return Refusal(RefusalCode.OUTCOME_UNKNOWN, reason, execution=Execution.UNKNOWN)
