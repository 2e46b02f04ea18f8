"""Parsing of server-sent events from an endpoint's stream."""

from typing import NamedTuple

# A stream with an event of more bytes than this is treated as broken.
EVENT_BYTES_MAX = 1_048_576


class Event(NamedTuple):
    """An event: its id or None, its data lines, and its bytes as received."""

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
    """

    def __init__(self):
        self._partial = b""

    @property
    def has_partial_event(self):
        """Whether an incomplete event is buffered."""
        return bool(self._partial)

    @property
    def is_overlong(self):
        """Whether the incomplete event exceeds `EVENT_BYTES_MAX`."""
        return len(self._partial) > EVENT_BYTES_MAX

    def feed(self, data):
        """Append bytes; return the events that they complete, a list of `Event`."""
        buffer = self._partial + data
        events = []
        while True:
            end, size = _find_end(buffer)
            if end < 0:
                break
            events.append(_parse(buffer[: end + size]))
            buffer = buffer[end + size :]
        self._partial = buffer
        return events


def _find_end(buffer):
    lf_end = buffer.find(b"\n\n")
    crlf_end = buffer.find(b"\r\n\r\n")
    if lf_end < 0 or 0 <= crlf_end < lf_end:
        return crlf_end, 4
    return lf_end, 2


def _parse(raw):
    event_id = None
    data = []
    for line in raw.decode("utf-8", "replace").splitlines():
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id" and value.isdigit():
            event_id = int(value)
        elif name == "data":
            data.append(value)
    return Event(event_id, tuple(data), raw)
