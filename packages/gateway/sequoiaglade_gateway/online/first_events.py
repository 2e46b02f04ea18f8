"""The beginning of an endpoint's event stream, up to the first new event."""

import itertools

from sequoiaglade_decisions.gateway import (
    Event,
    EventSplitter,
    Fault,
    is_misplaced,
    is_repetition,
    missing_part,
)

from ..endpoint_calls import CallFault
from .requests import StartedStream


def read_first_events(answer, last_event_id):
    """Return a `StartedStream` once an `EventStreamResponse` has a new event.

    `last_event_id` is that of the last event that was relayed, 0 for none. The stream
    has no events if the one before it broke between its last event and its end. Return
    a `CallFault` if the response has no new event otherwise, and close it then.
    """
    splitter = EventSplitter()
    chunks = answer.chunks()
    unnumbered = bytearray()
    last_seen = 0
    for chunk in chunks:
        events = splitter.feed(chunk)
        if _has_misplaced(events, last_event_id):
            answer.close()
            reason = "the resumed stream begins with content that is no event"
            return CallFault(Fault.BROKEN, reason, True)
        if any(_is_new(event, last_event_id) for event in events):
            if unnumbered:
                events.insert(0, Event(None, (), bytes(unnumbered)))
            return StartedStream(answer, splitter, chunks, events)
        for event in events:
            if event.event_id is None:
                unnumbered += event.raw
            else:
                last_seen = event.event_id
    missing = missing_part(splitter.has_partial_event, 0, answer.has_length)
    if missing is None and is_repetition(last_seen, last_event_id):
        missing = f"the resumed stream ended after event {last_seen}"
    if last_event_id and answer.fault is None and missing is None:
        # The stream broke between its last event and its end.
        return StartedStream(answer, splitter, chunks, [])
    answer.close()
    reason = missing or "the stream contains no event"
    return answer.fault or CallFault(Fault.BROKEN, reason)


def _has_misplaced(events, last_event_id):
    before_new = itertools.takewhile(lambda e: not _is_new(e, last_event_id), events)
    return any(is_misplaced(e, last_event_id, 0) for e in before_new)


def _is_new(event, last_event_id):
    return event.event_id is not None and event.event_id > last_event_id
