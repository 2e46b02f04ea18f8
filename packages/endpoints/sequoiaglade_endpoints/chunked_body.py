"""Framing of bodies in chunks (RFC 9112, section 7.1), checked while they are read."""

import re
from enum import Enum, auto

# A size, with extensions after a semicolon, each of which begins with its name.
_SIZE_LINE = re.compile(
    rb"([0-9A-Fa-f]+)(?:[ \t]*;[ \t]*[!#$%&'*+.^_`|~0-9A-Za-z-][^\r\n]*)?\r\n"
)
_LINE_END = b"\r\n"
# Bytes of a line that a reason quotes.
_QUOTED_BYTES_MAX = 32


class _Next(Enum):
    """What comes next in a body."""

    SIZE = auto()
    DATA = auto()
    DATA_END = auto()
    TRAILER = auto()
    NOTHING = auto()


class ChunkedBody:
    r"""The file of a response whose body is in chunks; notes flaws of the framing.

    http.client and urllib3 read sizes with `int`, also those of a line that the end of
    the connection cuts, and take the end of the connection as that of the trailers.
    `note_flaw` is called with what is wrong with the framing.

    >>> import io
    >>> body = ChunkedBody(io.BytesIO(b"00000002\r\nab\r\n000"), print)
    >>> body.readline(100), body.read(2), body.read(2)
    (b'00000002\r\n', b'ab', b'\r\n')
    >>> body.readline(100)
    the connection ended within the line of a chunk's size, b'000'
    b'000'
    """

    def __init__(self, file, note_flaw):
        self._file = file
        self._note_flaw = note_flaw
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
        match = _SIZE_LINE.fullmatch(line)
        if match is None:
            self._note_flaw(_size_flaw(line))
            return
        self._left = int(match[1], 16)
        self._next = _Next.DATA if self._left else _Next.TRAILER

    def _take_trailer(self, line):
        if line == _LINE_END:
            self._next = _Next.NOTHING
        elif not line.endswith(_LINE_END):
            self._note_flaw("the connection ended within the last chunk")

    def _take_data(self, data):
        if self._next is _Next.DATA:
            self._left -= len(data)
            if not self._left:
                self._next = _Next.DATA_END
        elif self._next is _Next.DATA_END:
            if data not in (_LINE_END, b""):
                self._note_flaw(f"a chunk is followed by {data!r}")
            self._next = _Next.SIZE


def _size_flaw(line):
    quoted = repr(line[:_QUOTED_BYTES_MAX])
    if line.endswith(b"\n"):
        return f"{quoted} is no size of a chunk"
    return f"the connection ended within the line of a chunk's size, {quoted}"
