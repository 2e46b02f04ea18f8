"""Bounds on the bytes and the time of a response that may never end."""

from enum import Enum
from typing import NamedTuple

# The head of a response, with all interim responses before it. Heads are sent at once
# and have a few hundred bytes. http.client bounds a line at twice this size.
HEAD_BYTES_MAX = 32_768
HEAD_SECONDS_MAX = 2.0
# Bytes without any byte of the body: chunk sizes, chunk extensions and trailers. It is
# more than the largest chunk that is read at once, with what is buffered after it.
FRAMING_BYTES_MAX = 49_152
# Bytes of a stream without a new event.
EVENT_BYTES_MAX = 1_048_576
# A response that is read completely before it is forwarded.
BODY_BYTES_MAX = 8_388_608
# Chunks without a new event, or of a body that is no event stream. Chunks of a few
# bytes take more processor time than their bytes tell.
EVENT_CHUNKS_MAX = 4096
BODY_CHUNKS_MAX = 16_384
# Bytes that the unfinished responses of all calls may hold together. The smallest
# instances have 150 MB.
SHARED_BYTES_MAX = 8_388_608
# Bytes that each call may hold beside the shared ones.
OWN_BYTES = 16_384


class ResponseBounds(NamedTuple):
    """Time limits of one response in seconds, None for those that have no limit.

    `event_seconds` limits the time from the first byte after an event until the next
    event, `body_seconds` that of a body that is no event stream. Whatever was received,
    nothing more is read after `end_at`, a time of the clock that `exceeded` is given.
    """

    event_seconds: float | None
    body_seconds: float | None
    end_at: float | None = None

    def is_over(self, now):
        """Return whether the time for the whole response has passed.

        >>> ResponseBounds(None, None, end_at=5.0).is_over(now=5.1)
        True
        """
        return self.end_at is not None and now > self.end_at


class ExceededBound(NamedTuple):
    """The bound that a response exceeds: its name, and what was received so far."""

    name: str
    received_bytes: int
    seconds: float


class ResponsePart(Enum):
    """The part of a response that is being read."""

    HEAD = "head"
    EVENTS = "events"
    BODY = "body"


class ResponseProgress:
    """What has been received of a response since it last made progress.

    Progress is the end of the head, and each new event of a stream. Time counts from
    the first byte after it, since silence has limits of its own.

    >>> progress = ResponseProgress(ResponseBounds(1.5, None))
    >>> progress.begin(ResponsePart.EVENTS)
    >>> progress.receive(1, now=3.0)
    >>> progress.exceeded(now=4.0)
    >>> progress.exceeded(now=5.0)
    ExceededBound(name='event time', received_bytes=1, seconds=2.0)
    >>> progress.note_event()
    >>> progress.exceeded(now=5.0)
    """

    def __init__(self, bounds):
        self._bounds = bounds
        self._part = ResponsePart.HEAD
        self._first_byte_at = None
        self._framing_bytes = 0
        self._chunk_count = 0
        self.received_bytes = 0

    def begin(self, part):
        """Record that the head has ended and a body begins."""
        self._part = part
        self.note_event()

    def note_event(self):
        """Record a new event."""
        self._first_byte_at = None
        self._framing_bytes = 0
        self._chunk_count = 0
        self.received_bytes = 0

    def note_chunk(self):
        """Record that a chunk of the body has been received."""
        self._framing_bytes = 0
        self._chunk_count += 1

    def receive(self, size, now):
        """Record bytes as received from the connection."""
        if self._first_byte_at is None:
            self._first_byte_at = now
        self._framing_bytes += size
        self.received_bytes += size

    def exceeded(self, now):
        """Return the `ExceededBound`, or None if more bytes may be read."""
        match self._part:
            case ResponsePart.HEAD:
                bytes_max, chunks_max = HEAD_BYTES_MAX, 1
                seconds_max = HEAD_SECONDS_MAX
            case ResponsePart.EVENTS:
                bytes_max, chunks_max = EVENT_BYTES_MAX, EVENT_CHUNKS_MAX
                seconds_max = self._bounds.event_seconds
            case ResponsePart.BODY:
                bytes_max, chunks_max = BODY_BYTES_MAX, BODY_CHUNKS_MAX
                seconds_max = self._bounds.body_seconds
        part = self._part.value.removesuffix("s")
        seconds = 0.0 if self._first_byte_at is None else now - self._first_byte_at
        if self.received_bytes >= bytes_max:
            return self.describe(f"{part} bytes", now)
        if self._chunk_count >= chunks_max:
            return self.describe(f"{part} chunks", now)
        if seconds_max is not None and seconds > seconds_max:
            return self.describe(f"{part} time", now)
        if self._framing_bytes >= FRAMING_BYTES_MAX:
            return self.describe("framing bytes", now)
        return None

    def describe(self, name, now):
        """Return the `ExceededBound` with a name."""
        seconds = 0.0 if self._first_byte_at is None else now - self._first_byte_at
        return ExceededBound(name, self.received_bytes, seconds)


class SharedBytes:
    """Bytes that the unfinished responses of several calls hold together.

    Where they would exceed the total, the calls that hold more than an equal share of
    it get no more; so many endless responses do not affect those that hold little.

    >>> shared = SharedBytes(total=1000)
    >>> shared.hold("a", 700), shared.hold("b", 200), shared.hold("c", 200)
    (True, True, True)
    >>> shared.hold("a", 701), shared.hold("b", 300)
    (False, True)
    >>> shared.release("a")
    >>> shared.hold("b", 701)
    True
    """

    def __init__(self, total):
        self._total = total
        self._size_by_call = {}
        self._sum = 0

    def hold(self, call, size):
        """Change the bytes that a call holds; return False if these are too many."""
        held = self._size_by_call.get(call, 0)
        count = len(self._size_by_call) + (call not in self._size_by_call)
        is_over = self._sum - held + size > self._total
        if is_over and size > self._total / count:
            return False
        self._size_by_call[call] = size
        self._sum += size - held
        return True

    def release(self, call):
        """Record that a call holds nothing."""
        self._sum -= self._size_by_call.pop(call, 0)
