"""What a request gets whose idempotency key has a record already."""

from dataclasses import dataclass

from ..outcomes import Execution, Refusal, RefusalCode
from .claims import DISPATCH_SECONDS
from .records import CallRecord, CallState, StoredResponse

TERM_SECONDS = 120.0
CLOCK_SKEW_SECONDS = 2.0
POLL_SECONDS = 1.0


@dataclass(frozen=True)
class Replay:
    """The request gets the kept answer."""

    answer: StoredResponse


def decide_existing_record(record: CallRecord, digest, now, is_holder_gone):
    """Return `Replay`, or the `Refusal` that tells where the call stands.

    `now` is wall-clock time. `is_holder_gone` tells whether the process that created
    the record is known to have ended; one that may still send the call counts as
    running, whatever the list of instances says.

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
            return _unknown("it ended without an answer that could be kept")
    age = now - record.created_at
    if age > TERM_SECONDS + CLOCK_SKEW_SECONDS:
        return _unknown("its node did not answer within its term")
    if is_holder_gone and age > DISPATCH_SECONDS + CLOCK_SKEW_SECONDS:
        return _unknown("the node that ran it is gone")
    reason = "a request with this idempotency key is running"
    return Refusal(
        RefusalCode.IN_PROGRESS, reason, POLL_SECONDS, execution=Execution.UNKNOWN
    )


def _unknown(why):
    reason = f"the request with this idempotency key may have run: {why}"
    return Refusal(RefusalCode.OUTCOME_UNKNOWN, reason, execution=Execution.UNKNOWN)
