"""Bounded in-memory buffer of text lines, compressed in blocks."""

import zlib
from collections import deque

BLOCK_LINES = 256
COMPRESSION_LEVEL = 1


class CompressedLineBuffer:
    """Keeps the newest lines in at most `max_bytes` of compressed blocks.

    Every `BLOCK_LINES` lines are compressed into a block. The oldest blocks are dropped
    when the limit is exceeded. Lines not yet compressed do not count towards it.

    >>> buffer = CompressedLineBuffer(max_bytes=1000)
    >>> buffer.append("a"); buffer.append("b")
    >>> list(buffer.lines())
    ['a', 'b']
    """

    def __init__(self, max_bytes):
        self._max_bytes = max_bytes
        self._blocks = deque()
        self._uncompressed_lines = []
        self.byte_count = 0

    def append(self, line):
        """Add a line, which must not contain a line break."""
        self._uncompressed_lines.append(line)
        if len(self._uncompressed_lines) >= BLOCK_LINES:
            self._compress_block()

    def lines(self):
        """Yield the stored lines, oldest first, from a snapshot taken at the start."""
        blocks = list(self._blocks)
        open_lines = list(self._uncompressed_lines)
        for block in blocks:
            yield from zlib.decompress(block).decode().split("\n")
        yield from open_lines

    def _compress_block(self):
        text = "\n".join(self._uncompressed_lines)
        block = zlib.compress(text.encode(), COMPRESSION_LEVEL)
        self._blocks.append(block)
        self._uncompressed_lines = []
        self.byte_count += len(block)
        while self.byte_count > self._max_bytes:
            self.byte_count -= len(self._blocks.popleft())
