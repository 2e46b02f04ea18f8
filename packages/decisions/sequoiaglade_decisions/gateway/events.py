"""Server-sent events of an endpoint's stream."""

from typing import NamedTuple

# A stream whose next event grows beyond this many bytes is taken for broken.
EVENT_BYTES_MAX = 1_048_576


class Event(NamedTuple):
    """An event: its id (None without one), its data lines, and its bytes as sent."""

    event_id: int | None
    data: tuple[str, ...]
    raw: bytes


class EventSplitter:
    r"""Cuts a stream into whole events.

    >>> splitter = EventSplitter()
    >>> [event.event_id for event in splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")]
    [1]
    >>> splitter.has_partial_event
    True
    >>> [event.data for event in splitter.feed(b"ta: b\n\n")]
    [('b',)]
    """

    def __init__(self):
        self._rest = b""

    @property
    def has_partial_event(self):
        """Whether a part of an event is left."""
        return bool(self._rest)

    @property
    def is_overlong(self):
        """Whether the event that is arriving is beyond all bounds."""
        return len(self._rest) > EVENT_BYTES_MAX

    def feed(self, data):
        """Take bytes; return the list of `Event` that they complete."""
        buffer = self._rest + data
        events = []
        while True:
            end, size = _find_end(buffer)
            if end < 0:
                break
            events.append(_parse(buffer[: end + size]))
            buffer = buffer[end + size :]
        self._rest = buffer
        return events


def _find_end(buffer):
    plain = buffer.find(b"\n\n")
    returns = buffer.find(b"\r\n\r\n")
    if plain < 0 or 0 <= returns < plain:
        return returns, 4
    return plain, 2


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
