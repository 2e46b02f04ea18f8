"""Relay of a stream's events to the caller, over one endpoint or several."""

import time

import structlog

from sequoiaglade_decisions.gateway import Fault

from ..endpoint_calls import CallFault


class StreamBroken(OSError):  # noqa: N818
    """Ends an answer so that the caller's client sees that it is not whole."""


class EventRelay:
    """Iterates over the bytes of whole events; WSGI calls `close` at the end.

    Events follow one another by their ids: one that was passed on already is left
    out, and a gap breaks the stream. A stream that breaks goes on at another endpoint
    where its route allows that.
    """

    def __init__(self, exchange, begun):
        self._exchange = exchange
        self._begun = begun
        self._parts = self._relay()
        self._is_closed = False
        self._outcome = "hung up"
        self._event_count = 0
        self._longest_pause = 0.0
        self._last_event_at = time.monotonic()

    def __iter__(self):
        return self._parts

    def close(self):
        """Stop the endpoint's work if it is not done, and release the exchange."""
        if self._is_closed:
            return
        self._is_closed = True
        self._parts.close()
        self._begun.answer.close()
        self._exchange.close(self._outcome)
        structlog.get_logger().info(
            "stream ended",
            request_id=self._exchange.work.call.request_id,
            outcome=self._outcome,
            events=self._event_count,
            first_event_ms=round(self._exchange.first_event_seconds * 1000),
            longest_pause_ms=round(self._longest_pause * 1000),
        )

    def _relay(self):
        while True:
            fault = yield from self._relay_one(self._begun)
            if fault is None:
                self._outcome = "answered"
                return
            self._begun.answer.close()
            begun = self._exchange.resume(fault)
            if begun is None:
                self._outcome = "broken"
                raise StreamBroken(fault.reason)
            self._begun = begun

    def _relay_one(self, begun):
        """Yield one endpoint's events; return None at the end, or a `CallFault`."""
        started_at = time.monotonic()
        first_count = self._event_count
        events = begun.events
        while True:
            parts, gap = self._take(events)
            if parts:
                yield b"".join(parts)
            if gap is not None:
                return gap
            chunk = next(begun.chunks, None)
            if chunk is None:
                break
            events = begun.splitter.feed(chunk)
            if begun.splitter.is_overlong:
                return CallFault(Fault.BROKEN, "an event has no end")
        if begun.answer.fault is not None:
            return begun.answer.fault
        if begun.splitter.has_partial_event:
            return CallFault(Fault.BROKEN, "the stream ends within an event")
        count = self._event_count - first_count
        if count > 1:
            self._exchange.note_pace((time.monotonic() - started_at) / (count - 1))
        return None

    def _take(self, events):
        parts = []
        for event in events:
            if event.event_id is None:
                parts.append(event.raw)
                continue
            expected = self._exchange.last_event_id + 1
            if event.event_id < expected:
                continue
            if event.event_id > expected:
                reason = f"event {event.event_id} came where {expected} was due"
                return parts, CallFault(Fault.BROKEN, reason)
            self._exchange.last_event_id = event.event_id
            self._event_count += 1
            self._note_pause()
            parts.append(event.raw)
        return parts, None

    def _note_pause(self):
        now = time.monotonic()
        self._longest_pause = max(self._longest_pause, now - self._last_event_at)
        self._last_event_at = now
