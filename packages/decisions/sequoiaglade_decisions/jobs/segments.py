"""Segments: compressed groups of lines that fit into platform objects."""

import hashlib
import zlib

SEGMENT_MAX_ITEMS = 200
SEGMENT_MIN_ITEMS = 20
SMALL_FILE_SEGMENT_COUNT = 32
SEGMENT_MAX_BYTES = 800_000
PART_MAX_BYTES = 900_000


def pack_lines(lines):
    """Return the compressed bytes of a list of text lines.

    >>> unpack_lines(pack_lines(["a", "b"]))
    ['a', 'b']
    """
    return zlib.compress("\n".join(lines).encode(), 3)


def unpack_lines(data):
    """Return the list of lines that `pack_lines` compressed."""
    text = zlib.decompress(data).decode()
    return text.split("\n") if text else []


def segment_name(owner_id, index):
    """Return the name of a segment object of a file or a job.

    >>> segment_name("file-1", 12)
    'file-1.000012'
    """
    return f"{owner_id}.{index:06d}"


def items_per_segment(item_count):
    """Return the number of items per segment for a file of `item_count` items.

    Small files get small segments, so that several nodes can work on them.

    >>> items_per_segment(10), items_per_segment(1_000), items_per_segment(130_000)
    (20, 32, 200)
    """
    wanted = -(-item_count // SMALL_FILE_SEGMENT_COUNT)
    return min(SEGMENT_MAX_ITEMS, max(SEGMENT_MIN_ITEMS, wanted))


class Packer:
    """Groups lines into segments of bounded item count and uncompressed size.

    Even incompressible lines thus fit into one platform object.
    """

    def __init__(self, max_items=SEGMENT_MAX_ITEMS, max_bytes=SEGMENT_MAX_BYTES):
        self._max_items = max_items
        self._max_bytes = max_bytes
        self._pending = []
        self._pending_bytes = 0

    def add(self, line):
        """Add a line of text; return the lines of a segment that is full, or None."""
        size = len(line.encode()) + 1
        full = None
        if self._pending and self._pending_bytes + size > self._max_bytes:
            full = self.finish()
        self._pending.append(line)
        self._pending_bytes += size
        if len(self._pending) >= self._max_items:
            return full or self.finish()
        return full

    def finish(self):
        """Return the lines of the last, partial segment, or None if it is empty."""
        lines, self._pending = self._pending, []
        self._pending_bytes = 0
        return lines or None


def split_parts(owner_id, lines):
    """Split compressed `lines` into a list of (object name, bytes) below a megabyte.

    Names contain a digest of the content, so writing a part again has no effect.
    """
    if not lines:
        return []
    data = pack_lines(lines)
    parts = []
    for start in range(0, len(data), PART_MAX_BYTES):
        part = data[start : start + PART_MAX_BYTES]
        digest = hashlib.sha256(part).hexdigest()[:16]
        parts.append((f"{owner_id}.{digest}", part))
    return parts


def join_parts(parts):
    """Return the lines that `split_parts` split, given the bytes of all parts.

    >>> join_parts([data for _, data in split_parts("job.000000", ["a", "b"])])
    ['a', 'b']
    """
    return unpack_lines(b"".join(parts)) if parts else []
