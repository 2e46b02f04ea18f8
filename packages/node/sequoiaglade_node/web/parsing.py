"""Limits on arriving requests: header and body sizes, concurrent uploads."""

import threading
import time
from typing import NamedTuple

from waitress.parser import HTTPRequestParser, ParsingError, get_header_lines
from waitress.utilities import BadRequest, Error, RequestEntityTooLarge

from sequoiaglade_decisions.memory import head_bytes

from .chunks import CheckedChunks

# Bytes of the line before a chunk, with its extensions. The line is copied with each
# read, so that a long one takes the thread that reads all connections.
CHUNK_LINE_BYTES = 16_384
# A buffer that grows takes up to an eighth more than it has.
BUFFER_FACTOR = 1.125
# A body in a file has a buffer and a descriptor.
FILE_BYTES = 16_384
UPLOAD_PATHS = ("/v1/files",)
DISCARD_BYTES = 67_108_864


class RequestTimeout(Error):  # noqa: N818
    """The request took too long to arrive."""

    code = 408
    reason = "Request Timeout"


class TooManyUploads(Error):  # noqa: N818
    """The limit on concurrent uploads is reached."""

    code = 503
    reason = "Service Unavailable"


class ThreadsBusy(Error):  # noqa: N818
    """No thread was available for the request in time."""

    code = 503
    reason = "Service Unavailable"


class MemoryExhausted(Error):  # noqa: N818
    """The memory for clients is used up."""

    code = 503
    reason = "Service Unavailable"


class BodyBounds(NamedTuple):
    """The waitress adjustments that the parser reads, for one kind of path."""

    max_request_header_size: int
    max_request_body_size: int
    inbuf_overflow: int
    url_scheme: str


class UploadLimiter:
    """Limits the number of concurrent uploads."""

    def __init__(self, limit):
        self._free = threading.Semaphore(limit)

    def enter(self):
        """Start an upload if the limit allows it; return whether it does."""
        return self._free.acquire(blocking=False)

    def leave(self):
        """End an upload."""
        self._free.release()


class _NullBuffer:
    """Discards the rest of a refused body."""

    def append(self, data):
        return

    def close(self):
        return

    def __len__(self):
        return 0


class BoundedParser(HTTPRequestParser):
    """Parser with separate limits for uploads and for all other bodies.

    The rest of a body over its limit is read and discarded up to `DISCARD_BYTES`, so
    that the caller can read the refusal. `make_parser_class` sets `call_bounds` and
    `gate`. `arrived_at` is the time of the monotonic clock at which the first bytes
    reached this machine.
    """

    call_bounds = None
    gate = None
    # Returns whether the connection may hold `held_bytes` of the request given.
    reserve = staticmethod(lambda request: True)

    def __init__(self, adj, arrived_at=None):
        super().__init__(adj)
        self.created_at = time.time()
        self.arrived_at = time.monotonic() if arrived_at is None else arrived_at
        self._is_discarding = False
        self._holds_place = False
        self.head_cost = 0
        self.held_bytes = 0
        # What handling the request takes while it runs.
        self.run_bytes = 0

    def parse_header(self, header_plus):
        """Refuse framing that parsers may interpret differently; select the limits."""
        try:
            super().parse_header(header_plus)
        except ValueError as error:
            # int() reads at most 4300 digits; urllib raises it for some addresses.
            raise ParsingError("the length or the address is invalid") from error
        has_length = "CONTENT_LENGTH" in self.headers
        if self.chunked and has_length:
            raise ParsingError("both Content-Length and Transfer-Encoding are given")
        if "TRANSFER_ENCODING" in self.headers:
            raise ParsingError("Transfer-Encoding is not part of HTTP/1.0")
        if b"transfer-encoding" in header_plus.lower():
            _check_coding(header_plus)
        if self.chunked:
            self.body_rcv = CheckedChunks(self.body_rcv.getbuf())
        if not self.path.startswith(UPLOAD_PATHS):
            self.adj = self.call_bounds

    def received(self, data):
        """Process data; return how many bytes of it belong to this request."""
        is_new = self.body_rcv is None
        if is_new:
            if not self._may_parse(data):
                return len(data)
        elif not self._is_discarding and not self._may_append(data):
            self.error = MemoryExhausted("the memory for clients is used up")
            self._discard()
        consumed = super().received(data)
        if is_new and self.completed:
            # waitress would ask for a body and add the next head to this one.
            self.expect_continue = False
        if is_new and self.body_rcv is not None and self.error is None:
            self._enter_gate()
        if isinstance(self.body_rcv, CheckedChunks):
            self._check_chunk_line()
        if isinstance(
            self.error, (RequestEntityTooLarge, TooManyUploads, MemoryExhausted)
        ):
            self._discard()
        return consumed

    def _may_parse(self, data):
        end = data.find(b"\r\n\r\n")
        self.head_cost += head_bytes(data if end < 0 else data[:end])
        self.held_bytes = self.head_cost
        if self.reserve(self):
            return True
        self.header_plus = b""
        self.held_bytes = 0
        self.parse_header(b"GET / HTTP/1.0\r\n")
        self.error = MemoryExhausted("the memory for clients is used up")
        self.completed = True
        return False

    def _may_append(self, data):
        size = len(self.body_rcv) + len(data)
        if isinstance(self.body_rcv, CheckedChunks):
            size += len(self.body_rcv.control_line) + len(self.body_rcv.trailer)
        is_in_file = size > self.adj.inbuf_overflow
        held = FILE_BYTES if is_in_file else int(BUFFER_FACTOR * size)
        self.held_bytes = self.head_cost + held
        return self.reserve(self)

    def _check_chunk_line(self):
        body = self.body_rcv
        is_long = len(body.control_line) > CHUNK_LINE_BYTES
        if is_long or len(body.trailer) > self.adj.max_request_header_size:
            body.control_line = body.trailer = b""
            self.error = BadRequest("a chunk's line or the trailers are too long")
            self.completed = True

    def headers_by_name(self):
        """Return the headers by their lower-case names."""
        return {n.replace("_", "-").lower(): v for n, v in self.headers.items()}

    def close(self):
        """Release the body's buffer and end its upload."""
        super().close()
        if self._holds_place:
            self._holds_place = False
            self.gate.leave()

    def _enter_gate(self):
        if not self.path.startswith(UPLOAD_PATHS):
            return
        self._holds_place = self.gate.enter()
        if not self._holds_place:
            self.error = TooManyUploads("too many uploads at once")

    def _discard(self):
        body = self.body_rcv
        if self.expect_continue or body is None:
            self.expect_continue = False
            self.completed = True
            return
        if not self._is_discarding:
            self._is_discarding = True
            self.held_bytes = self.head_cost
            body.getbuf().close()
            body.buf = _NullBuffer()
            self.reserve(self)
        size = max(self.content_length, self.body_bytes_received)
        is_over = bool(body.completed or body.error)
        self.completed = is_over or size > DISCARD_BYTES


def _check_coding(header_plus):
    r"""Raise an error unless a head's only transfer coding is chunks, named once.

    waitress takes an empty list of codings for none, and reads what follows as the next
    request; it reads chunks within chunks as if they were named once.

    >>> _check_coding(b"POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n")
    >>> _check_coding(b"POST / HTTP/1.1\r\nTransfer-Encoding: ,\r\n\r\n")
    Traceback (most recent call last):
        ...
    waitress.parser.ParsingError: Transfer-Encoding is not chunked
    """
    fields = (line.partition(b":") for line in get_header_lines(header_plus))
    values = [
        value.strip(b" \t").lower()
        for name, _, value in fields
        if name.lower() == b"transfer-encoding"
    ]
    if values not in ([], [b"chunked"]):
        raise ParsingError("Transfer-Encoding is not chunked")


def make_parser_class(limits, url_scheme="http"):
    """Return a `BoundedParser` class with the `limits` of a listener."""
    bounds = BodyBounds(
        limits.header_bytes, limits.body_bytes + 1, limits.body_buffer_bytes, url_scheme
    )
    gate = UploadLimiter(limits.uploads)
    members = {"call_bounds": bounds, "gate": gate}
    return type("ListenerParser", (BoundedParser,), members)


class HeldBack(HTTPRequestParser):
    """Bytes of pipelined requests that are parsed once those before have run.

    It stands in for the parser of the next request.
    """

    def __init__(self, adj):
        super().__init__(adj)
        self.data = b""
        self.run_bytes = 0

    @property
    def held_bytes(self):
        """Number of the bytes."""
        return len(self.data)

    def received(self, data):
        """Keep data; return its length."""
        self.data += data
        return len(data)

    def close(self):
        """Drop the data."""
        self.data = b""
