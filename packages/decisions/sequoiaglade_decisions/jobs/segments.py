"""Segments: compressed packs of lines that fit into platform objects."""

import hashlib
import zlib

SEGMENT_MAX_ITEMS = 200
SEGMENT_MIN_ITEMS = 20
SEGMENTS_OF_SMALL_FILE = 32
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
    """Return how many items a segment holds in a file with so many items.

    Small files get small segments, so that several nodes can work on them.

    >>> items_per_segment(10), items_per_segment(1_000), items_per_segment(130_000)
    (20, 32, 200)
    """
    wanted = -(-item_count // SEGMENTS_OF_SMALL_FILE)
    return min(SEGMENT_MAX_ITEMS, max(SEGMENT_MIN_ITEMS, wanted))


class Packer:
    """Groups lines into segments of bounded items and uncompressed bytes.

    Compression never makes a segment larger than the platform takes.
    """

    def __init__(self, max_items=SEGMENT_MAX_ITEMS, max_bytes=SEGMENT_MAX_BYTES):
        self._max_items = max_items
        self._max_bytes = max_bytes
        self._pending = []
        self._pending_bytes = 0

    def add(self, line):
        """Take a line as text; return the lines of a full segment, or None."""
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
        """Return the lines of the last segment, or None if there is none."""
        lines, self._pending = self._pending, []
        self._pending_bytes = 0
        return lines or None


def split_parts(owner_id, lines):
    """Return the results `lines` as list of (name, bytes), each under a megabyte.

    Names are made from the content, so that the same part written twice is one.
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
    """Return the lines of the bytes of all parts in their order.

    >>> join_parts([data for _, data in split_parts("job.000000", ["a", "b"])])
    ['a', 'b']
    """
    return unpack_lines(b"".join(parts)) if parts else []
