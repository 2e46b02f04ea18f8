"""A connection to an endpoint whose bytes a peer sends and receives."""

import contextlib
import io
import queue
import threading
import time

import grpc

from sequoiaglade_decisions.gateway import Fault
from sequoiaglade_endpoints.connections import TrackedConnection
from sequoiaglade_protocol import fleet_pb2

# Pieces of a response that wait here to be read; the peer waits while there are more.
PIECES_MAX = 32
# A thread that waits notices within this time that the call was aborted.
ABORT_CHECK_SECONDS = 0.1


class ForwardError(OSError):
    """A forwarded request failed; `fault` is the `Fault` of the attempt."""

    def __init__(self, fault, reason):
        super().__init__(reason)
        self.fault = fault


_FAULT_BY_KIND = {
    fleet_pb2.ForwardEnd.BROKEN: Fault.BROKEN,
    fleet_pb2.ForwardEnd.NOT_SENT: Fault.NOT_SENT,
    fleet_pb2.ForwardEnd.NOT_FORWARDED: Fault.NO_PATH,
}


class ForwardedConnection(TrackedConnection):
    """An HTTP connection over a `ForwardedSocket`."""

    def __init__(self, host, port, open_call):
        super().__init__(host, port)
        self._open_call = open_call

    def _new_conn(self):
        return ForwardedSocket(self._open_call)


class ForwardedSocket:
    """The part of a socket's interface that an HTTP request of one connection needs.

    What is sent is kept until the first read, which passes it to `open_call`; that
    returns an iterator over `ForwardReply`, a call that `cancel` ends. As of a socket,
    the files are closed before `close` has an effect: http.client closes the connection
    once it has the head of a response that ends with it.
    """

    def __init__(self, open_call):
        self._open_call = open_call
        self._sent = bytearray()
        self._call = None
        self._pieces = queue.Queue(PIECES_MAX)
        self._rest = b""
        self._end = None
        self._seconds = None
        self._open_files = 0
        self._is_closing = False
        self._is_closed = threading.Event()

    def settimeout(self, seconds):
        """Limit each further wait for bytes; None waits without a limit."""
        self._seconds = seconds

    def send(self, data):
        """Keep bytes to be sent; return their number."""
        self._sent += data
        return len(data)

    def sendall(self, data):
        """Keep bytes to be sent."""
        self.send(data)

    def recv_into(self, buffer):
        """Receive bytes into `buffer`; return their number, 0 at a regular end."""
        if self._call is None:
            self._begin()
        if not self._rest and self._end is None:
            self._take()
        if self._rest:
            count = min(len(buffer), len(self._rest))
            buffer[:count] = self._rest[:count]
            self._rest = self._rest[count:]
            return count
        if self._end.kind == fleet_pb2.ForwardEnd.CLOSED:
            return 0
        fault = _FAULT_BY_KIND.get(self._end.kind, Fault.PATH_BROKEN)
        raise ForwardError(fault, self._end.reason)

    def makefile(self, *args, **options):
        """Return a file that keeps the call; reads are made by `recv_into`."""
        self._open_files += 1
        return _Keeper(self._release)

    def shutdown(self, how):
        """End the call; a thread that waits for bytes fails."""
        self._is_closed.set()
        if self._call is not None:
            self._call.cancel()

    def close(self):
        """End the call once all files are closed."""
        self._is_closing = True
        self._end_unused()

    def _release(self):
        self._open_files -= 1
        self._end_unused()

    def _end_unused(self):
        if self._is_closing and not self._open_files:
            self.shutdown(None)

    def _begin(self):
        if self._is_closed.is_set():
            raise ForwardError(Fault.NO_PATH, "the call was aborted")
        self._call = self._open_call(bytes(self._sent))
        threading.Thread(target=self._receive, name="forwarded", daemon=True).start()

    def _take(self):
        piece = self._next_piece()
        if isinstance(piece, bytes):
            self._rest = memoryview(piece)
        else:
            self._end = piece

    def _next_piece(self):
        is_limited = self._seconds is not None
        until = time.monotonic() + self._seconds if is_limited else None
        while not self._is_closed.is_set():
            seconds = ABORT_CHECK_SECONDS
            if is_limited:
                seconds = min(seconds, until - time.monotonic())
                if seconds <= 0:
                    raise TimeoutError("the peer sent nothing")
            with contextlib.suppress(queue.Empty):
                return self._pieces.get(timeout=seconds)
        return _PathEnd("the call was aborted")

    def _receive(self):
        end = _PathEnd("the peer sent no end")
        try:
            for reply in self._call:
                if reply.WhichOneof("part") == "end":
                    end = reply.end
                elif not self._put(bytes(reply.data)):
                    return
        except grpc.RpcError as error:
            end = _PathEnd(f"the peer failed: {error.code().name}")
        self._put(end)

    def _put(self, piece):
        """Pass a piece on; return whether the call goes on."""
        while not self._is_closed.is_set():
            with contextlib.suppress(queue.Full):
                self._pieces.put(piece, timeout=ABORT_CHECK_SECONDS)
                return True
        return False


class _Keeper(io.RawIOBase):
    """A file of a `ForwardedSocket`, which calls `release` when it is closed."""

    def __init__(self, release):
        super().__init__()
        self._release = release

    def close(self):
        if not self.closed:
            super().close()
            self._release()


class _PathEnd:
    """The end of a call whose peer did not tell how the connection ended."""

    kind = None

    def __init__(self, reason):
        self.reason = reason
