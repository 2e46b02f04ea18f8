"""Bounded memory of text lines, compressed block by block."""

import zlib
from collections import deque

BLOCK_LINES = 256
COMPRESSION_LEVEL = 1


class CompressedLineBuffer:
    """Keeps the newest lines in at most `max_bytes` of compressed blocks.

    Lines are compressed once `BLOCK_LINES` of them have come together; the oldest
    block goes when the bound is passed.

    >>> ring = CompressedLineBuffer(max_bytes=1000)
    >>> ring.append("a"); ring.append("b")
    >>> list(ring.lines())
    ['a', 'b']
    """

    def __init__(self, max_bytes):
        self._max_bytes = max_bytes
        self._blocks = deque()
        self._open_lines = []
        self.byte_count = 0

    def append(self, line):
        """Add a line, which holds no line end."""
        self._open_lines.append(line)
        if len(self._open_lines) >= BLOCK_LINES:
            self._seal()

    def lines(self):
        """Yield the lines kept, the oldest first, as they stood at the call."""
        blocks = list(self._blocks)
        open_lines = list(self._open_lines)
        for block in blocks:
            yield from zlib.decompress(block).decode().split("\n")
        yield from open_lines

    def _seal(self):
        text = "\n".join(self._open_lines)
        block = zlib.compress(text.encode(), COMPRESSION_LEVEL)
        self._blocks.append(block)
        self._open_lines = []
        self.byte_count += len(block)
        while self.byte_count > self._max_bytes:
            self.byte_count -= len(self._blocks.popleft())
