"""Relay of an event stream from one or several endpoints to the caller."""

import time

import structlog

from sequoiaglade_decisions.gateway import LASTING_SECONDS, Fault, missing_part

from ..endpoint_calls import CallFault


class StreamBrokenError(OSError):
    """Aborts a response so that the client sees that it is incomplete."""


class EventRelay:
    """Iterator over the bytes of complete events; WSGI calls `close` at the end.

    Events have consecutive ids: events that were already relayed are skipped, and a gap
    breaks the stream. A broken stream is resumed at another endpoint if its route
    allows that.
    """

    def __init__(self, exchange, stream):
        self._exchange = exchange
        self._stream = stream
        self._body = self._relay()
        self._is_closed = False
        self._outcome = "hung up"
        self._event_count = 0
        self._longest_pause = 0.0
        self._last_event_at = time.monotonic()

    def __iter__(self):
        return self._body

    def close(self):
        """Stop the endpoint's work if it is not finished, and release the exchange."""
        if self._is_closed:
            return
        self._is_closed = True
        self._body.close()
        self._stream.answer.close()
        self._exchange.close(self._outcome)
        structlog.get_logger().info(
            "stream ended",
            request_id=self._exchange.request.call.request_id,
            outcome=self._outcome,
            events=self._event_count,
            last_event_id=self._exchange.last_event_id,
            after_event=self._exchange.sent_after_event,
            framing=self._stream.answer.framing.value,
            first_event_ms=round(self._exchange.first_event_seconds * 1000),
            longest_pause_ms=round(self._longest_pause * 1000),
        )

    def _relay(self):
        while True:
            fault = yield from self._relay_one(self._stream)
            if fault is None:
                self._outcome = "answered"
                return
            self._stream.answer.close()
            stream = self._exchange.resume(fault)
            if stream is None:
                self._outcome = "broken"
                raise StreamBrokenError(fault.reason)
            self._stream = stream

    def _relay_one(self, stream):
        """Yield one endpoint's events; return None if complete, or a `CallFault`."""
        started_at = time.monotonic()
        first_count = self._event_count
        events = stream.events
        while True:
            raw_events, gap = self._select_new(events)
            if raw_events:
                if time.monotonic() - started_at >= LASTING_SECONDS:
                    self._exchange.note_whole_answer()
                yield b"".join(raw_events)
            if gap is not None:
                return gap
            chunk = next(stream.chunks, None)
            if chunk is None:
                break
            events = stream.splitter.feed(chunk)
        if stream.answer.fault is not None:
            return stream.answer.fault
        count = self._event_count - first_count
        missing = missing_part(
            stream.splitter.has_partial_event, count, stream.answer.has_length
        )
        if missing is not None:
            return CallFault(Fault.BROKEN, missing)
        if self._exchange.is_time_over():
            return CallFault(Fault.LATE, "the stream ended at its deadline", True)
        self._exchange.note_whole_answer()
        if count > 1:
            self._exchange.report_event_interval(
                (time.monotonic() - started_at) / (count - 1)
            )
        return None

    def _select_new(self, events):
        raw_events = []
        for event in events:
            if event.event_id is None:
                raw_events.append(event.raw)
                continue
            expected = self._exchange.last_event_id + 1
            if event.event_id < expected:
                continue
            if event.event_id > expected:
                reason = f"event {event.event_id} came instead of {expected}"
                return raw_events, CallFault(Fault.BROKEN, reason, True)
            self._exchange.last_event_id = event.event_id
            self._event_count += 1
            self._stream.answer.note_event()
            self._update_longest_pause()
            raw_events.append(event.raw)
        return raw_events, None

    def _update_longest_pause(self):
        now = time.monotonic()
        self._longest_pause = max(self._longest_pause, now - self._last_event_at)
        self._last_event_at = now
