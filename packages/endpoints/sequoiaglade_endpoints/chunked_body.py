"""Framing of bodies in chunks (RFC 9112, section 7.1), checked while they are read."""

from enum import Enum, auto

from .message_grammar import FIELD_LINE, LINE_END, SIZE_LINE

# Bytes of a line that a reason quotes.
_QUOTED_BYTES_MAX = 32


class _Next(Enum):
    """What comes next in a body."""

    SIZE = auto()
    DATA = auto()
    DATA_END = auto()
    TRAILER = auto()
    NOTHING = auto()


class FramingError(OSError):
    """Ends the reading of a body whose framing is cut or invalid."""


class ChunkedBody:
    r"""The file of a response whose body is in chunks; its framing has to be whole.

    http.client and urllib3 read sizes with `int`, also those of a line that the end of
    the connection cuts, and take the end of the connection as that of the trailers.
    A `FramingError` is raised in place of what they would read.

    >>> import io
    >>> body = ChunkedBody(io.BytesIO(b"00000002\r\nab\r\n000"))
    >>> body.readline(100), body.read(2), body.read(2)
    (b'00000002\r\n', b'ab', b'\r\n')
    >>> body.readline(100)
    Traceback (most recent call last):
        ...
    sequoiaglade_endpoints.chunked_body.FramingError: the connection ended within the
    size of a chunk, b'000'
    """

    def __init__(self, file):
        self._file = file
        self._next = _Next.SIZE
        self._left = 0

    @property
    def closed(self):
        """Whether the file is closed."""
        return self._file.closed

    def readline(self, limit):
        """Read the line of a chunk's size, or one of the trailers."""
        line = self._file.readline(limit)
        if self._next is _Next.SIZE:
            self._take_size(line)
        elif self._next is _Next.TRAILER and len(line) < limit:
            self._take_trailer(line)
        return line

    def read(self, size):
        """Read `size` bytes of a chunk, or its line end."""
        data = self._file.read(size)
        self._take_data(data)
        return data

    def read1(self, size):
        """Read at most `size` bytes of a chunk."""
        data = self._file.read1(size)
        self._take_data(data)
        return data

    def readinto(self, buffer):
        """Read bytes of a chunk into a buffer; return their number."""
        count = self._file.readinto(buffer)
        self._take_data(bytes(buffer[:count]))
        return count

    def flush(self):
        """Flush the file."""
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()

    def _take_size(self, line):
        match = SIZE_LINE.fullmatch(line)
        if match is None:
            raise FramingError(_flaw(line, "the size of a chunk"))
        self._left = int(match[1], 16)
        self._next = _Next.DATA if self._left else _Next.TRAILER

    def _take_trailer(self, line):
        if line == LINE_END:
            self._next = _Next.NOTHING
        elif not FIELD_LINE.fullmatch(line):
            raise FramingError(_flaw(line, "a trailer"))

    def _take_data(self, data):
        if self._next is _Next.DATA:
            self._left -= len(data)
            if not self._left:
                self._next = _Next.DATA_END
        elif self._next is _Next.DATA_END:
            if data not in (LINE_END, b""):
                raise FramingError(f"a chunk is followed by {data!r}")
            self._next = _Next.SIZE


def _flaw(line, part):
    if not line:
        return f"the connection ended before {part}"
    quoted = repr(line[:_QUOTED_BYTES_MAX])
    if line.endswith(b"\n"):
        return f"{quoted} is not {part}"
    return f"the connection ended within {part}, {quoted}"
