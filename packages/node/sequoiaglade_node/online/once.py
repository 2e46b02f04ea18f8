"""Stores the records of calls with an idempotency key in the platform."""

import time
import uuid

from sequoiaglade_decisions.idempotency import (
    CallRecord,
    CallState,
    Claim,
    Replay,
    call_digest,
    decide_existing_record,
    decode_record,
    encode_record,
    record_name,
)
from sequoiaglade_decisions.outcomes import Failure, FailureCode, Refusal, RefusalCode

RECORD_KIND = "idempotency"
RETRY_AFTER_SECONDS = 1.0


class HeldClaim:
    """A record that this process created and has to complete.

    The methods `store_response`, `mark_unknown` and `delete_record` complete it.
    """

    def __init__(self, name, stored, record, claim, writer, monotonic):
        self._name = name
        self.version = stored.version
        self._record = record
        self._claim = claim
        self._writer = writer
        self._monotonic = monotonic

    def may_dispatch(self):
        """Return whether the call may be sent to an endpoint now."""
        return self._claim.may_dispatch(self._monotonic())

    def store_response(self, answer):
        """Store the response in the record."""
        self._replace(CallState.ANSWERED, answer)

    def mark_unknown(self):
        """Record that the call may have run and that its response is unknown."""
        self._replace(CallState.UNKNOWN, None)

    def delete_record(self):
        """Delete the record so that the key can be used again."""
        self._writer.delete(self._name, self.version)

    def _replace(self, state, answer):
        record = self._record._replace(state=state, answer=answer)
        self._writer.update(self._name, encode_record(record), self.version)


class IdempotencyGuard:
    """Lets at most one call run per key of a workspace, across all nodes.

    `process` is the `ProcessIdentity` of this node. `has_ended` returns whether the
    process that created a record has ended. `writer` is the `RecordWriter` for the
    writes for which no request waits.
    """

    def __init__(
        self,
        platform,
        writer,
        process,
        has_ended,
        wall=time.time,
        monotonic=time.monotonic,
    ):
        self._platform = platform
        self._writer = writer
        self._process = process
        self._has_ended = has_ended
        self._wall = wall
        self._monotonic = monotonic

    def find(self, work):
        """Return a `StoredResponse` or `Refusal`, or None if there is no record yet."""
        if work.idempotency_key is None:
            return None
        found = self._platform.get(RECORD_KIND, _name(work))
        if isinstance(found, Failure):
            if found.code is FailureCode.NOT_FOUND:
                return None
            return _platform_refusal(found)
        return self._decide(work, found)

    def claim(self, work):
        """Create the record; return a `HeldClaim`, `StoredResponse` or `Refusal`."""
        name = _name(work)
        claim = Claim(self._monotonic())
        record = CallRecord(
            state=CallState.RUNNING,
            digest=_digest(work),
            claim_id=uuid.uuid4().hex,
            created_at=self._wall(),
            **self._process._asdict(),
        )
        stored = self._platform.create(RECORD_KIND, name, encode_record(record))
        if not isinstance(stored, Failure):
            return HeldClaim(name, stored, record, claim, self._writer, self._monotonic)
        if stored.code is not FailureCode.CONFLICT:
            self._writer.withdraw(name, record.claim_id)
            return _platform_refusal(stored)
        found = self._platform.get(RECORD_KIND, name)
        if isinstance(found, Failure):
            return _platform_refusal(found)
        return self._decide(work, found)

    def _decide(self, work, found):
        record = decode_record(found.value)
        now = self._wall()
        is_running = record.state is CallState.RUNNING
        is_gone = is_running and self._has_ended(record)
        match decide_existing_record(record, _digest(work), now, is_gone):
            case Replay(answer=answer):
                return answer
            case refusal:
                return refusal


def _name(work):
    return record_name(work.workspace or "", work.idempotency_key)


def _digest(work):
    return call_digest(work.method, work.path, work.body)


def _platform_refusal(failure):
    reason = f"this submission was not run: its key can't be checked: {failure.reason}"
    return Refusal(RefusalCode.PLATFORM_UNAVAILABLE, reason, RETRY_AFTER_SECONDS)
