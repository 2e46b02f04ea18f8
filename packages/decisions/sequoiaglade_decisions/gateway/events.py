"""Parsing of server-sent events from an endpoint's stream."""

import re
from typing import NamedTuple

# An event ends with an empty line. Lines of an event stream end with LF, CRLF or CR,
# which may be mixed; no other character ends a line.
_EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")
_EVENT_END_BYTES_MAX = 4
_EVENT_ID = re.compile(rb"[0-9]{1,15}")


class Event(NamedTuple):
    """An event: its id or None, its data lines, and its bytes as received.

    Consecutive events without an id, such as comments, may be one `Event`.
    """

    event_id: int | None
    data: tuple[str, ...]
    raw: bytes

    @property
    def has_content(self):
        """Whether there is more than comments and the delay of reconnections."""
        lines = self.raw.splitlines()
        return any(line and not line.startswith((b":", b"retry:")) for line in lines)


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

    Line separators of Unicode belong to the data. A line may end with a CR, also where
    it is not known yet whether a LF follows.

    >>> [event] = splitter.feed("id: 3\ndata: a\u2028id: 4\n\n".encode())
    >>> event.event_id, event.data
    (3, ('a\u2028id: 4',))
    >>> [event.event_id for event in splitter.feed(b"id: 4\rdata: a\n\r")]
    [4]
    >>> [event.event_id for event in splitter.feed(b"\nid: 5\r\ndata: b\r\r")]
    [None, 5]
    >>> splitter.has_partial_event
    False
    """

    def __init__(self):
        self._partial = bytearray()
        self._ended_with_cr = False

    @property
    def has_partial_event(self):
        """Whether an incomplete event is buffered."""
        return bool(self._partial)

    def feed(self, data):
        """Append bytes; return the events that they complete, a list of `Event`."""
        events = []
        if self._ended_with_cr and data.startswith(b"\n"):
            # The second half of the line end of the last event.
            events.append(Event(None, (), b"\n"))
            data = data[1:]
            self._ended_with_cr = False
        search_start = max(0, len(self._partial) - _EVENT_END_BYTES_MAX + 1)
        self._partial += data
        listed_end = start = 0
        for match in _EVENT_END.finditer(self._partial, search_start):
            event = _parse(bytes(self._partial[start : match.end()]))
            if event.event_id is not None:
                events += self._unnumbered(listed_end, start)
                events.append(event)
                listed_end = match.end()
            start = match.end()
        events += self._unnumbered(listed_end, start)
        if data:
            is_whole = start == len(self._partial)
            self._ended_with_cr = is_whole and self._partial.endswith(b"\r")
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
    # The lines of bytes, unlike those of text, end as those of an event stream.
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id" and _EVENT_ID.fullmatch(value):
            event_id = int(value)
        elif name == b"data":
            data.append(value.decode("utf-8", "replace"))
    return Event(event_id, tuple(data), raw)
