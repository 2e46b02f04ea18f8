"""Parsing of server-sent events from an endpoint's stream."""

import re
from typing import NamedTuple

_EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
_EVENT_END_BYTES_MAX = 4
_EVENT_ID = re.compile(r"[0-9]{1,15}")


class Event(NamedTuple):
    """An event: its id or None, its data lines, and its bytes as received.

    Consecutive events without an id, such as comments, may be one `Event`.
    """

    event_id: int | None
    data: tuple[str, ...]
    raw: bytes


class EventSplitter:
    r"""Splits a byte stream into complete events.

    >>> splitter = EventSplitter()
    >>> [event.event_id for event in splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")]
    [1]
    >>> splitter.has_partial_event
    True
    >>> [event.data for event in splitter.feed(b"ta: b\n\n")]
    [('b',)]

    An id that is no number, or one that no endpoint counts to, is none.

    >>> ids = ("\u00b2", "9" * 5000)
    >>> [splitter.feed(f"id: {i}\n\n".encode())[0].event_id for i in ids]
    [None, None]
    """

    def __init__(self):
        self._partial = bytearray()

    @property
    def has_partial_event(self):
        """Whether an incomplete event is buffered."""
        return bool(self._partial)

    def feed(self, data):
        """Append bytes; return the events that they complete, a list of `Event`."""
        search_start = max(0, len(self._partial) - _EVENT_END_BYTES_MAX + 1)
        self._partial += data
        events = []
        listed_end = start = 0
        for match in _EVENT_END.finditer(self._partial, search_start):
            event = _parse(bytes(self._partial[start : match.end()]))
            if event.event_id is not None:
                events += self._unnumbered(listed_end, start)
                events.append(event)
                listed_end = match.end()
            start = match.end()
        events += self._unnumbered(listed_end, start)
        if start:
            # A buffer whose match object is still referenced can't be resized.
            self._partial = self._partial[start:]
        return events

    def _unnumbered(self, start, end):
        if start == end:
            return []
        return [Event(None, (), bytes(self._partial[start:end]))]


def _parse(raw):
    event_id = None
    data = []
    for line in raw.decode("utf-8", "replace").splitlines():
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id" and _EVENT_ID.fullmatch(value):
            event_id = int(value)
        elif name == "data":
            data.append(value)
    return Event(event_id, tuple(data), raw)
