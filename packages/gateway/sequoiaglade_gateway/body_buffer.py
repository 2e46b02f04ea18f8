"""A buffer for response bodies of unknown size."""

import mmap

BLOCK_BYTES = 65_536


class BodyBuffer:
    """Bytes that are appended until all are read at once; a context manager.

    Bytes beyond the first block are kept in anonymous maps, whose memory the system
    gets back when they are closed; the allocator keeps part of what each thread frees.

    >>> with BodyBuffer(block_bytes=4) as buffer:
    ...     for data in (b"abc", b"defghij", b"k"):
    ...         buffer.append(data)
    ...     buffer.read()
    b'abcdefghijk'
    """

    def __init__(self, block_bytes=BLOCK_BYTES):
        self._block_bytes = block_bytes
        self._first = bytearray()
        self._maps = []
        self._map_used = block_bytes

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for block in self._maps:
            block.close()
        self._maps.clear()

    def append(self, data):
        """Append the bytes of `data`."""
        room = self._block_bytes - len(self._first)
        self._first += data[:room]
        position = room
        while position < len(data):
            position += self._append_to_map(data[position:])

    def read(self):
        """Return all bytes."""
        if not self._maps:
            return bytes(self._first)
        *full, last = self._maps
        return b"".join([self._first, *full, last[: self._map_used]])

    def _append_to_map(self, data):
        if self._map_used == self._block_bytes:
            self._maps.append(mmap.mmap(-1, self._block_bytes))
            self._map_used = 0
        end = min(self._map_used + len(data), self._block_bytes)
        count = end - self._map_used
        self._maps[-1][self._map_used : end] = data[:count]
        self._map_used = end
        return count
