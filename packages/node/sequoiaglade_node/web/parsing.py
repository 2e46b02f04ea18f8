"""Limits on arriving requests: header and body sizes, concurrent uploads."""

import threading
import time
from typing import NamedTuple

from waitress.parser import HTTPRequestParser, ParsingError
from waitress.utilities import Error, RequestEntityTooLarge

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

    def __init__(self, adj, arrived_at=None):
        super().__init__(adj)
        self.created_at = time.time()
        self.arrived_at = time.monotonic() if arrived_at is None else arrived_at
        self._is_discarding = False
        self._holds_place = False

    def parse_header(self, header_plus):
        """Refuse framing that parsers may interpret differently; select the limits."""
        super().parse_header(header_plus)
        has_length = "CONTENT_LENGTH" in self.headers
        if self.chunked and has_length:
            raise ParsingError("both Content-Length and Transfer-Encoding are given")
        if "TRANSFER_ENCODING" in self.headers:
            raise ParsingError("Transfer-Encoding is not part of HTTP/1.0")
        if not self.path.startswith(UPLOAD_PATHS):
            self.adj = self.call_bounds

    def received(self, data):
        """Process data; return how many bytes of it belong to this request."""
        is_new = self.body_rcv is None
        consumed = super().received(data)
        if is_new and self.body_rcv is not None and self.error is None:
            self._enter_gate()
        if isinstance(self.error, (RequestEntityTooLarge, TooManyUploads)):
            self._discard()
        return consumed

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
            body.getbuf().close()
            body.buf = _NullBuffer()
        size = max(self.content_length, self.body_bytes_received)
        is_over = bool(body.completed or body.error)
        self.completed = is_over or size > DISCARD_BYTES


def make_parser_class(limits, url_scheme="http"):
    """Return a `BoundedParser` class with the `limits` of a listener."""
    bounds = BodyBounds(
        limits.header_bytes, limits.body_bytes + 1, limits.body_buffer_bytes, url_scheme
    )
    gate = UploadLimiter(limits.uploads)
    members = {"call_bounds": bounds, "gate": gate}
    return type("ListenerParser", (BoundedParser,), members)
