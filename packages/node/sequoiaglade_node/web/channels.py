"""Connections: refusals in the published format, limits on slow and idle ones."""

import json
import socket
import struct
import time

import structlog
from waitress.channel import HTTPChannel
from waitress.task import ErrorTask, WSGITask

from sequoiaglade_decisions.memory import CLOSED_BYTES_MIN
from sequoiaglade_decisions.outcomes import Execution, Refusal, RefusalCode

from .parsing import HeldBack, MemoryExhausted, RequestTimeout, ThreadsBusy
from .refusals import refusal_body

IDLE_SECONDS = 60.0
CROWDED_IDLE_SECONDS = 5.0
CROWDED_FRACTION = 0.75
ARRIVAL_BYTES_PER_SECOND = 16_384
MAINTENANCE_SECONDS = 2
LINGER_BYTES = 1_048_576
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Environment key of the time at which a request arrived.
ARRIVED_AT = "sequoiaglade.arrived_at"
# Environment key of a function that reserves memory for reading the body; it returns
# whether it has, and is called before the body is read.
RESERVE_BODY = "sequoiaglade.reserve_body"
# Part of the time that a caller still waits for which its request may wait for a
# thread. The rest is left for another node.
THREAD_WAIT_FRACTION = 0.25
# Requests of a connection that are parsed before the first of them has run.
REQUESTS_AHEAD = 2
# Reservations change in steps of this size: most requests take one.
RESERVED_STEP_BYTES = 4096
# Linux reports progress of a client that reads steadily each time a third of the send
# buffer, up to 4 MB, is free.
UNREAD_PATIENCE_SECONDS = 10.0
# The parts of a head that handling it copies: the environment, names and values.
HEAD_COPIES = 3
# A body that is read is copied from its buffer, and once more for its fingerprint.
BODY_COPIES = 2
# Place of the milliseconds since data was last received in Linux's struct tcp_info.
TCP_INFO_BYTES = 104
LAST_DATA_RECEIVED_OFFSET = 52
_CODE_BY_STATUS = {
    400: RefusalCode.INVALID_REQUEST,
    408: RefusalCode.REQUEST_TIMEOUT,
    413: RefusalCode.TOO_LARGE,
    431: RefusalCode.HEADERS_TOO_LARGE,
    501: RefusalCode.NOT_IMPLEMENTED,
    503: RefusalCode.OVERLOADED,
}


class RequestTask(WSGITask):
    """Closes the connection after its response if the listener is closing.

    The environment tells when the request arrived. A response without a length or
    chunks, as callers with HTTP/1.0 get, ends with its connection: if it is broken off
    the connection is reset, since a close would tell that the response is whole.
    """

    is_finished = False

    def service(self):
        """Send the response."""
        try:
            super().service()
        finally:
            has_end = self.chunked_response or self.content_length is not None
            if self.wrote_header and not self.is_finished and not has_end:
                self.channel.must_reset = True

    def finish(self):
        """End the response, which is whole."""
        super().finish()
        self.is_finished = True

    def get_environment(self):
        """Return the WSGI environment."""
        environ = super().get_environment()
        environ[ARRIVED_AT] = self.request.arrived_at
        environ[RESERVE_BODY] = self.channel.reserve_body
        return environ

    def build_response_header(self):
        """Return the response head, with ``Connection: close`` if required."""
        if self.channel.server.closes_after_answers:
            self.set_close_on_finish()
        return super().build_response_header()


class RefusalTask(ErrorTask):
    """Responds to a request that could not be read."""

    def execute(self):
        """Send the refusal and close the connection."""
        error = self.request.error
        code = _CODE_BY_STATUS.get(error.code)
        # After a quotation mark the reason contains header lines, possibly with a key.
        reason = f"{error.reason}: {str(error.body).partition(chr(34))[0]}".strip()
        retry_after = 1.0 if code is RefusalCode.OVERLOADED else None
        if code is None:
            refusal = Refusal(RefusalCode.INTERNAL, reason, None, Execution.UNKNOWN)
        else:
            refusal = Refusal(code, reason, retry_after)
        body = json.dumps(refusal_body(refusal, None)).encode()
        self.status = f"{error.code} {error.reason}"
        self.response_headers.append(("Content-Type", "application/json"))
        if retry_after is not None:
            self.response_headers.append(("Retry-After", "1"))
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class Channel(HTTPChannel):
    """A caller's connection; `arrival_seconds` limits the arrival of a request's head.

    A body may take longer if it arrives at `ARRIVAL_BYTES_PER_SECOND` or faster.
    `read_deadline` returns from a request's headers how many seconds its caller waits,
    or None.
    """

    task_class = RequestTask
    error_task_class = RefusalTask
    arrival_seconds = 30.0
    request_class = None
    must_reset = False
    body_idle_seconds = 75.0
    unread_seconds = 75.0
    memory = None
    _reserved = 0
    _is_evicted = False
    _is_resuming = False
    read_deadline = staticmethod(lambda headers: None)

    def parser_class(self, adj):
        """Return the parser of a new request whose first bytes were just read."""
        if len(self.requests) >= REQUESTS_AHEAD:
            return HeldBack(adj)
        arrived_at = time.monotonic() - _unread_seconds(self.socket)
        request = self.request_class(adj, arrived_at)
        if self.memory is not None:
            # No closure over the request: the cycle would keep it until a collection.
            request.reserve = self._reserve
        return request

    def readable(self):
        """Return whether more may be read: not while requests are held back."""
        if isinstance(self.request, HeldBack) or self._is_resuming:
            return False
        return super().readable()

    def service(self):
        """Run the next request if its memory can be reserved; then account for it."""
        request = self.requests[0]
        if self.memory is None or request.error is not None:
            super().service()
        else:
            request.run_bytes = HEAD_COPIES * request.head_cost
            if not self._reserve(None, is_closable=False) or self._is_evicted:
                request.run_bytes = 0
                request.error = MemoryExhausted("the memory for clients is used up")
                self._report("refused")
            super().service()
        self._resume()
        self._account()

    def reserve_body(self):
        """Reserve memory for reading the body of the request that runs.

        Return whether it is reserved; if not, the request must be refused.
        """
        request = self.requests[0] if self.requests else None
        if self.memory is None or request is None or request.body_rcv is None:
            return True
        size = BODY_COPIES * len(request.body_rcv)
        request.run_bytes += size
        if self._reserve(None, is_closable=False):
            return True
        request.run_bytes -= size
        self._report("refused")
        return False

    def write_soon(self, data):
        """Queue a part of a response, with its memory."""
        if not self.total_outbufs_len:
            # A request may run for longer than a client may leave a response unread.
            self.last_activity = time.time()
        if self.memory is not None:
            self._reserve(None, is_forced=True, more_bytes=len(data))
        return super().write_soon(data)

    def handle_write(self):
        """Send what waits, and account for what remains."""
        super().handle_write()
        if self._reserved and self.socket is not None:
            self._account()

    def evict(self):
        """Close the connection from any thread, as others need its memory."""
        self._is_evicted = True
        self._reserved = 0
        self.must_reset = True
        self.will_close = True
        self.server.pull_trigger()

    def _held_bytes(self):
        requests = [*self.requests]
        arriving = self.request
        if arriving is not None and arriving not in requests:
            requests.append(arriving)
        held = sum(request.held_bytes + request.run_bytes for request in requests)
        return held + self.total_outbufs_len

    def _reserve(self, request, is_closable=True, is_forced=False, more_bytes=0):
        """Return whether what the connection holds, with `request`, is reserved."""
        held = self._held_bytes() + more_bytes
        if request is not None and request is not self.request:
            held += request.held_bytes
        size = -(-held // RESERVED_STEP_BYTES) * RESERVED_STEP_BYTES
        is_unread = self.total_outbufs_len >= RESERVED_STEP_BYTES
        # What is complete is answered, at most with a refusal.
        is_closable = (is_closable and not self.requests) or is_unread
        if self._is_evicted:
            return False
        if size == self._reserved and size < CLOSED_BYTES_MIN:
            # Holders of so little are not closed: the lock is taken for changes only.
            return True
        patience = UNREAD_PATIENCE_SECONDS if is_unread else 0.0
        if not self.memory.reserve(self, size, is_closable, is_forced, patience):
            if request is not None:
                self._report("refused")
            return False
        self._reserved = size
        if self._is_evicted or not self.connected:
            # The connection was closed meanwhile, and has released what it had.
            self.memory.release(self)
        return True

    def _account(self):
        """Reserve what the connection still holds, at most what it had."""
        if self.memory is None:
            return
        if self._held_bytes() and self.connected and not self._is_evicted:
            self._reserve(None, is_forced=True)
        elif not self.requests:
            self._reserved = 0
            self.memory.release(self)

    def _resume(self):
        """Parse what was held back once no request is left."""
        with self.requests_lock:
            held_back = self.request
            if not isinstance(held_back, HeldBack) or self.requests:
                return
            self._is_resuming = True
            self.request = None
        try:
            self.received(held_back.data)
        finally:
            self._is_resuming = False
        self.server.pull_trigger()

    def _report(self, outcome, reason="the memory for clients is used up"):
        if self.memory is not None:
            self.memory.report(outcome, reason, held_bytes=self._held_bytes())

    @property
    def wait_until(self):
        """The time until which the next request may wait from now on for a thread.

        It is None if its caller states no deadline.
        """
        request = self.requests[0]
        seconds = self.read_deadline(request.headers_by_name())
        if seconds is None:
            return None
        now = time.monotonic()
        seconds_left = max(0.0, request.arrived_at + seconds - now)
        return now + THREAD_WAIT_FRACTION * seconds_left

    @property
    def is_busy(self):
        """Whether a request is arriving or its response is not completely sent."""
        has_request = self.requests or self.request or self._is_resuming
        return bool(has_request or self.total_outbufs_len)

    def handle_close(self):
        """Close so that a caller that is still sending can read the response.

        The connection of a response whose early end would not show is reset.
        """
        if self.request is not None:
            self.request.close()
            self.request = None
        if self.socket is not None and self.must_reset:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        elif self.socket is not None and (self.close_when_flushed or self.will_close):
            self._linger()
        super().handle_close()
        if self.memory is not None and not self.requests:
            self._reserved = 0
            self.memory.release(self)

    def expire(self, now):
        """Refuse a request that arrives too slowly, or close an idle connection."""
        request = self.request
        idle = now - self.last_activity
        if self.total_outbufs_len and idle > self.unread_seconds:
            self._report("closed", "the response is not read")
            self.must_reset = True
            self.will_close = True
            return
        if isinstance(request, HeldBack):
            return
        if request is None:
            if not self.requests and now - self.last_activity > IDLE_SECONDS:
                self.will_close = True
            return
        seconds = request.body_bytes_received / ARRIVAL_BYTES_PER_SECOND
        seconds += self.arrival_seconds
        is_idle = request.headers_finished and idle > self.body_idle_seconds
        is_slow = now - request.created_at >= seconds
        if not (is_idle or is_slow) or self.requests:
            return
        with self.requests_lock:
            request.error = RequestTimeout("the request took too long to arrive")
            request.completed = True
            self.request = None
            self.requests.append(request)
        self.server.add_task(self)

    def refuse(self):
        """Refuse the next request because all threads are busy, without running it."""
        request = self.requests[0]
        request.error = request.error or ThreadsBusy("all threads of the node are busy")
        structlog.get_logger().warning(
            "request refused",
            path=request.path,
            reason=str(request.error.body),
            waited_ms=round((time.monotonic() - request.arrived_at) * 1000),
        )
        self.service()

    def _linger(self):
        left = LINGER_BYTES
        try:
            self.socket.shutdown(socket.SHUT_WR)
            while left > 0:
                data = self.socket.recv(65_536)
                if not data:
                    return
                left -= len(data)
        except OSError:
            return


def _unread_seconds(sock):
    """Return how long data that was just read had waited in the kernel's buffer.

    A process that gets no processor time reads late. It is 0 where the kernel does not
    tell it.
    """
    try:
        data = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (milliseconds,) = struct.unpack_from("I", data, LAST_DATA_RECEIVED_OFFSET)
    except (AttributeError, OSError, struct.error):
        return 0.0
    return milliseconds / 1000


def maintain(server, now):
    """Expire connections; close idle ones early when the limit is nearly reached."""
    channels = list(server.active_channels.values())
    for channel in channels:
        try:
            channel.expire(now)
        except (OSError, RuntimeError, ValueError) as error:
            # An error of one connection must not end the loop that serves all.
            structlog.get_logger().error("connection not expired", reason=repr(error))
    excess = len(channels) - int(CROWDED_FRACTION * server.adj.connection_limit)
    if excess <= 0:
        return
    idle = [c for c in channels if not c.requests]
    idle.sort(key=lambda channel: channel.last_activity)
    for channel in idle[:excess]:
        if now - channel.last_activity > CROWDED_IDLE_SECONDS:
            channel.will_close = True
