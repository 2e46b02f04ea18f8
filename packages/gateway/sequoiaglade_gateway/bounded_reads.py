"""Reading of responses from endpoints within bounds of bytes and time."""

import io
import threading
import time

import structlog

from sequoiaglade_decisions.gateway import (
    OWN_BYTES,
    SHARED_BYTES_MAX,
    ResponseProgress,
    SharedBytes,
)
from sequoiaglade_endpoints.connections import WholeHeadResponse


class BoundExceededError(OSError):
    """Ends the reading of a response that exceeds a bound or was aborted."""


class ResponseMemory:
    """Thread-safe `SharedBytes` of all calls of a node."""

    def __init__(self, total=SHARED_BYTES_MAX):
        self._lock = threading.Lock()
        self._shared = SharedBytes(total)

    def hold(self, call, size):
        """Change the bytes that a call holds; return False if these are too many."""
        with self._lock:
            return self._shared.hold(call, size)

    def release(self, call):
        """Record that a call holds nothing."""
        with self._lock:
            self._shared.release(call)


class BoundedResponse:
    """The bounds of one response, checked before each read from its connection.

    `install` makes the connection's response use them; `release` is to be called at the
    end of the call. `check_close` is to be called where the end of the connection is
    that of the body, and raises an `OSError` if the body is cut.
    """

    def __init__(self, request, attempt, bounds, memory, check_close):
        self.check_close = check_close
        self._request = request
        self._attempt = attempt
        self._bounds = bounds
        self._progress = ResponseProgress(bounds)
        self._memory = memory
        self._has_shared_bytes = False

    def install(self, connection):
        """Check the bounds in all reads of the connection's response."""

        def response_class(sock, *args, **options):
            response = WholeHeadResponse(sock, *args, **options)
            reader = _BoundedReader(response.fp.detach(), self)
            response.fp = io.BufferedReader(reader)
            return response

        connection.response_class = response_class

    def begin(self, part):
        """Record that the head has ended and a `ResponsePart` begins."""
        self._progress.begin(part)
        self.release()

    def note_event(self):
        """Record a new event."""
        self._progress.note_event()
        self.release()

    def note_chunk(self):
        """Record that a chunk of the body has been received."""
        self._progress.note_chunk()

    def release(self):
        """Record that the call holds no bytes."""
        if self._has_shared_bytes:
            self._has_shared_bytes = False
            self._memory.release(self)

    def check(self):
        """Raise `BoundExceededError` if no more bytes may be read.

        The socket of an aborted attempt still returns the bytes that go on arriving.
        """
        now = time.monotonic()
        if self._bounds.is_over(now):
            self._attempt.abort()
        if self._attempt.is_aborted:
            raise BoundExceededError("the call was aborted")
        exceeded = self._progress.exceeded(now)
        if exceeded is None and not self._hold():
            exceeded = self._progress.describe("shared bytes", now)
        if exceeded is None:
            return
        self.log_abandoned(
            exceeded.name,
            received_bytes=exceeded.received_bytes,
            seconds=round(exceeded.seconds, 3),
        )
        raise BoundExceededError(
            f"the bound of {exceeded.name} was exceeded by "
            f"{exceeded.received_bytes} bytes in {exceeded.seconds:.1f} s"
        )

    def receive(self, size):
        """Record bytes as received from the connection."""
        self._progress.receive(size, time.monotonic())

    def log_abandoned(self, bound, **details):
        """Log the bound that ended the call."""
        structlog.get_logger().warning(
            "invalid response abandoned",
            request_id=self._request.request_id,
            address=self._request.address,
            bound=bound,
            **details,
        )

    def _hold(self):
        size = self._progress.received_bytes
        if size <= OWN_BYTES:
            return True
        self._has_shared_bytes = True
        return self._memory.hold(self, size)


class _BoundedReader(io.RawIOBase):
    def __init__(self, raw, bounded):
        super().__init__()
        self._raw = raw
        self._bounded = bounded

    def readable(self):
        return True

    def readinto(self, buffer):
        self._bounded.check()
        size = self._raw.readinto(buffer)
        if size:
            self._bounded.receive(size)
        return size

    def close(self):
        self._raw.close()
        super().close()
