"""HTTP connections whose current attempt another thread can abort."""

import http.client
import io
import re
import socket
import threading
from typing import NamedTuple

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection

from .chunked_body import ChunkedBody
from .message_grammar import FIELD_LINE, LINE_END, STATUS_LINE

# Statuses that end a request; those below are interim, and those above undefined.
STATUS_MIN = 200
STATUS_MAX = 599
_LENGTH = re.compile(r"[ \t]*[0-9]+[ \t]*")

# Bytes of a line that a reason quotes.
_QUOTED_BYTES_MAX = 32

_current = threading.local()


class Attempt:
    """One exchange with an endpoint, with the socket that it uses.

    `abort` may be called from any thread and more than once; it unblocks the thread
    that waits for the endpoint. After `detach` it has no effect on the socket, which
    another attempt may already use.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._sock = None
        self.is_aborted = False

    def __enter__(self):
        _current.attempt = self
        return self

    def __exit__(self, *exc_info):
        _current.attempt = None

    def may_send(self):
        """Return whether the request may be sent now that the connection is open."""
        return True

    def attach(self, sock):
        """Set the socket that the attempt uses."""
        with self._lock:
            self._sock = sock
            if self.is_aborted:
                _shut_down(sock)

    def detach(self):
        """Release the socket; `abort` no longer affects it."""
        with self._lock:
            self._sock = None

    def abort(self):
        """Abort the attempt by shutting down its socket."""
        with self._lock:
            self.is_aborted = True
            if self._sock is not None:
                _shut_down(self._sock)

    def set_timeout(self, seconds):
        """Limit each further wait for the endpoint."""
        with self._lock:
            if self._sock is not None:
                self._sock.settimeout(seconds)


class IncompleteHeadError(OSError):
    """Ends the reading of a response whose head is incomplete."""


class InvalidFramingHeaderError(http.client.HTTPException):
    """The head names a length or a transfer coding that can't be read."""


class InvalidHeadLineError(http.client.HTTPException):
    """A line of the head is neither a status line nor a field."""


class RepeatedFieldError(http.client.HTTPException):
    """The head has a field more than once of which callers read one."""


class _HeadReader:
    """Reads the lines of a head, and raises an error if it is cut or can't be read.

    http.client takes the end of the connection as that of the head, and so a line that
    it can't read: the fields behind it, such as the length, are lost. It splits a line
    at a carriage return, and reads statuses with `int`. It recognizes a connection that
    ends before the first byte itself.
    """

    def __init__(self, file):
        self._file = file
        self._has_begun = False
        self._line = STATUS_LINE

    def readline(self, limit):
        line = self._file.readline(limit)
        is_cut = len(line) < limit and not line.endswith(b"\n")
        if is_cut and (line or self._has_begun):
            raise IncompleteHeadError("the connection ended within the head")
        self._has_begun = True
        if line.endswith(b"\n"):
            self._check(line)
        return line

    def _check(self, line):
        if line == LINE_END and self._line is FIELD_LINE:
            # Another status line follows the head of an interim response.
            self._line = STATUS_LINE
            return
        if not self._line.fullmatch(line):
            raise InvalidHeadLineError(repr(line[:_QUOTED_BYTES_MAX]))
        self._line = FIELD_LINE

    def close(self):
        self._file.close()


class WholeHeadResponse(http.client.HTTPResponse):
    """A response that is read only if its head is whole, with the status of a result.

    http.client accepts statuses from 100 to 999, and skips no interim ones but 100. It
    reads a body whose length or transfer coding it can't read up to the end of the
    connection, and takes the first of several types of the content, while callers may
    take the last. A body in chunks is read as a `ChunkedBody`.
    """

    def begin(self):
        file = self.fp
        self.fp = _HeadReader(file)
        try:
            super().begin()
        finally:
            if self.fp is not None:
                self.fp = file
        if not STATUS_MIN <= self.status <= STATUS_MAX:
            raise http.client.BadStatusLine(f"status {self.status}")
        types = self.headers.get_all("Content-Type", ())
        if len(types) > 1:
            raise RepeatedFieldError(f"Content-Type {types!r}")
        if _is_chunked(self.headers):
            self.fp = ChunkedBody(self.fp)


def parse_head(data):
    r"""Return the response whose head begins some bytes, to read its status and fields.

    An `http.client.HTTPException` or an `OSError` is raised if it is cut or invalid.

    >>> parse_head(b"HTTP/1.1 204 Done\r\nX-A: 1\r\n\r\n").headers["X-A"]
    '1'
    >>> parse_head(b"HTTP/1.1 204 Done\r\nX A: 1\r\n\r\n")
    Traceback (most recent call last):
        ...
    sequoiaglade_endpoints.connections.InvalidHeadLineError: b'X A: 1\r\n'
    """
    response = WholeHeadResponse(_ReceivedBytes(data))
    response.begin()
    return response


class _ReceivedBytes(NamedTuple):
    """The part of a socket's interface from which `http.client` reads a response."""

    data: bytes

    def makefile(self, mode):
        return io.BytesIO(self.data)


def _is_chunked(headers):
    """Return whether a body is in chunks; raise an error if its framing is unreadable.

    >>> headers = http.client.HTTPMessage()
    >>> _is_chunked(headers)
    False
    >>> headers["Content-Length"] = "4_2"
    >>> _is_chunked(headers)
    Traceback (most recent call last):
        ...
    sequoiaglade_endpoints.connections.InvalidFramingHeaderError: Content-Length ['4_2']
    """
    codings = headers.get_all("Transfer-Encoding", ())
    if codings:
        if [coding.strip().lower() for coding in codings] != ["chunked"]:
            raise InvalidFramingHeaderError(f"Transfer-Encoding {codings!r}")
        return True
    lengths = headers.get_all("Content-Length", ())
    if len(set(lengths)) > 1 or not all(map(_LENGTH.fullmatch, lengths)):
        raise InvalidFramingHeaderError(f"Content-Length {lengths!r}")
    return False


class _TrackedMixin:
    response_class = WholeHeadResponse
    _attempt = None

    def detach_attempt(self):
        """Detach the last attempt on this connection from its socket."""
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.detach()

    def connect(self):
        super().connect()
        self._attach()

    def request(self, *args, **options):
        if self.sock is not None:
            self._attach()
        super().request(*args, **options)

    def _attach(self):
        self._attempt = getattr(_current, "attempt", None)
        if self._attempt is not None:
            self._attempt.attach(self.sock)


class TrackedConnection(_TrackedMixin, HTTPConnection):
    """HTTP connection that attaches its socket to the thread's current `Attempt`."""


class TrackedSecureConnection(_TrackedMixin, HTTPSConnection):
    """Like `TrackedConnection`, over TLS."""


class _DetachingPoolMixin:
    def _put_conn(self, conn):
        # A connection returns to the pool once the body was read. The next attempt may
        # use it before the reader of that body has closed its response.
        if conn is not None:
            conn.detach_attempt()
        super()._put_conn(conn)


class TrackedPool(_DetachingPoolMixin, urllib3.HTTPConnectionPool):
    """Connection pool of `TrackedConnection`."""

    ConnectionCls = TrackedConnection


class TrackedSecurePool(_DetachingPoolMixin, urllib3.HTTPSConnectionPool):
    """Connection pool of `TrackedSecureConnection`."""

    ConnectionCls = TrackedSecureConnection


POOL_CLASS_BY_SCHEME = {"http": TrackedPool, "https": TrackedSecurePool}


def _shut_down(sock):
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
