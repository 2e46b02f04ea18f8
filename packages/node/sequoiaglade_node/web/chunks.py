"""Reading of requests in chunks (RFC 9112, section 7.1)."""

import re

from waitress.receiver import ChunkedReceiver
from waitress.rfc7230 import CHUNK_EXT_RE, ONLY_HEXDIG_RE, TOKEN
from waitress.utilities import BadRequest

_LINE_END = b"\r\n"
_TRAILER = re.compile(TOKEN.encode() + rb":[^\r\n]*")


class CheckedChunks(ChunkedReceiver):
    r"""Receives a body in chunks, and ends with an error where the grammar is broken.

    waitress reads a line with a line feed before its end as a size, skips empty lines
    before a size, and takes any lines for trailers. A parser before this one may end
    the body elsewhere.

    >>> from waitress.buffers import OverflowableBuffer
    >>> body = CheckedChunks(OverflowableBuffer(100))
    >>> body.received(b"2\r\nab\r\n00\r\n\r\nGET"), body.completed, len(body)
    (13, True, 2)
    >>> body = CheckedChunks(OverflowableBuffer(100))
    >>> body.received(b"0\n\r\n\r\n"), body.completed, body.error.body
    (6, False, 'Invalid chunk size')
    """

    def received(self, data):
        """Process data; return how many bytes of it belong to the body."""
        left = data
        while left and not self.completed:
            if self.chunk_remainder:
                left = self._take_data(left)
            else:
                left = self._take_line(left)
            if self.error is not None:
                # What follows is no request.
                return len(data)
        return len(data) - len(left)

    def _take_data(self, data):
        part = data[: self.chunk_remainder]
        self.buf.append(part)
        self.chunk_remainder -= len(part)
        self.validate_chunk_end = not self.chunk_remainder
        return data[len(part) :]

    def _take_line(self, data):
        line, end, rest = (self.control_line + data).partition(_LINE_END)
        if self.validate_chunk_end:
            self._check_chunk_end(line, end)
        elif end and self.all_chunks_received:
            self._take_trailer(line)
        elif end:
            self._take_size(line)
        self.control_line = b"" if end else line
        return rest

    def _check_chunk_end(self, line, end):
        if line not in (b"", b"" if end else b"\r"):
            self.error = BadRequest("Chunk not properly terminated")
        elif end:
            self.validate_chunk_end = False

    def _take_size(self, line):
        size, separator, extensions = line.partition(b";")
        if not CHUNK_EXT_RE.fullmatch(separator + extensions):
            self.error = BadRequest("Invalid chunk extension")
        elif not ONLY_HEXDIG_RE.fullmatch(size):
            self.error = BadRequest("Invalid chunk size")
        else:
            self.chunk_remainder = int(size, 16)
            self.all_chunks_received = not self.chunk_remainder

    def _take_trailer(self, line):
        if not line:
            self.completed = True
        elif _TRAILER.fullmatch(line):
            self.trailer += line + _LINE_END
        else:
            self.error = BadRequest("Invalid trailer")
