"""Relays the events of a stream from an endpoint to the caller."""

import json

from sequoiaglade_decisions.idempotency import StoredResponse
from sequoiaglade_decisions.outcomes import Failure, FailureCode, Refusal

from ..web import refusal_body
from .events import (
    DONE_EVENT,
    EventIds,
    StreamProgress,
    count_events,
    has_json_object,
    resumed_events,
    split_events,
)

EVENT_LIMIT_BYTES = 1_048_576
DRAIN_SECONDS = 0.5
FOREIGN_EVENT_REASON = "the endpoint sent another request's event"
RECALLED_REASON = "the run was recalled"


class StreamBrokenError(OSError):
    """Aborts a response so that the caller's client sees that it is incomplete."""


class RelayedStream:
    """Iterates over an `EndpointResponse`; WSGI calls `close` at the end.

    Only complete events are relayed. A model's stream is complete once its end marker
    was relayed. A stream that breaks earlier is resumed, or ends with an error event
    and without the end marker.
    """

    def __init__(self, exchange, answer, journal):
        self._exchange = exchange
        self._answer = answer
        self._journal = journal
        self._head = (answer.status, tuple(answer.headers))
        self._progress = StreamProgress()
        self._ids = None
        self._stored_parts = [] if exchange.work.idempotency_key is not None else None
        self._outcome = "hung_up"
        is_model = exchange.work.route.model is not None
        self._parts = self._relay() if is_model else self._relay_plain()
        self._is_closed = False

    def __iter__(self):
        return self._parts

    def close(self):
        """Release the connection and the slot."""
        if self._is_closed:
            return
        self._is_closed = True
        self._parts.close()
        self._exchange.__exit__(None, None, None)
        request_id = self._exchange.work.request_id
        self._journal.record("online", request_id, "stream_ended", self._outcome)

    def _relay_plain(self):
        for chunk in self._answer.chunks():
            if self._stored_parts is not None:
                self._stored_parts.append(chunk)
            yield chunk
        if self._answer.failure is not None:
            self._outcome = "broken"
            raise StreamBrokenError(self._answer.failure.reason)
        self._store_response()
        self._outcome = "done"

    def _relay(self):
        answer = self._answer
        failure = yield from self._relay_first(answer)
        while failure is not None:
            progress = self._progress
            relayed = progress.token_count()
            answer = self._exchange.resume(failure, relayed, progress.can_resume())
            if isinstance(answer, Refusal):
                self._outcome = "broken"
                yield self._error_event(answer)
                raise StreamBrokenError(answer.reason)
            failure = yield from self._relay_resumed(answer)
        self._outcome = "done"

    def _relay_first(self, answer):
        progress = self._progress
        self._ids = None
        tail = b""
        for chunk in answer.chunks():
            if tail or not chunk.endswith(b"\n\n"):
                chunk, tail = split_events(tail + chunk)
                if len(tail) > EVENT_LIMIT_BYTES:
                    return _failure("the endpoint sent an oversized event")
                if not chunk:
                    continue
            count = count_events(chunk)
            if not self._are_own(chunk, count):
                return _failure(FOREIGN_EVENT_REASON)
            is_first = progress.is_empty
            progress.add(chunk, count)
            if is_first and not self._exchange.begin_relay(progress.can_resume):
                self._progress = StreamProgress()
                return _failure(RECALLED_REASON)
            if self._stored_parts is not None:
                self._stored_parts.append(chunk)
            if DONE_EVENT in chunk:
                self._store_response()
                yield chunk
                self._drain(answer)
                return None
            yield chunk
        return answer.failure or _failure("the stream has no end marker")

    def _relay_resumed(self, answer):
        if not self._exchange.begin_relay(self._progress.can_resume):
            return _failure(RECALLED_REASON)
        self._ids = None
        tail = b""
        for chunk in answer.chunks():
            chunk, tail = split_events(tail + chunk)
            if not self._are_own(chunk, count_events(chunk)):
                return _failure(FOREIGN_EVENT_REASON)
            for event in resumed_events(chunk, self._progress.is_finished):
                self._progress.add(event, 1)
                if self._stored_parts is not None:
                    self._stored_parts.append(event)
                if DONE_EVENT in event:
                    self._store_response()
                    yield event
                    self._drain(answer)
                    return None
                yield event
        return answer.failure or _failure("the stream has no end marker")

    def _are_own(self, events, count):
        ids = self._ids
        if ids is None:
            if not has_json_object(events):
                return True
            ids = self._ids = EventIds(events, self._exchange.work.request_id)
            if not self._exchange.is_own_id(ids.first_id):
                return False
        if ids.are_own(events, count):
            return True
        if not ids.is_echoed:
            self._exchange.note_echo()
            self._progress.mark_foreign()
        return False

    def _drain(self, answer):
        answer.set_timeout(DRAIN_SECONDS)
        for _ in answer.chunks():
            continue

    def _store_response(self):
        if self._stored_parts is not None:
            status, headers = self._head
            body = b"".join(self._stored_parts)
            self._exchange.store_response(StoredResponse(status, headers, body))

    def _error_event(self, refusal):
        body = refusal_body(refusal, self._exchange.work.request_id)
        return f"data: {json.dumps(body)}\n\n".encode()


def _failure(reason):
    return Failure(FailureCode.INVALID, reason)
