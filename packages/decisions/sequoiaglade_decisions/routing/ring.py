"""Consistent hashing of request digests to endpoints."""

import bisect
import hashlib

POINTS_PER_ENDPOINT = 16


class HashRing:
    """Hash ring that maps a digest to the same few endpoints on every node.

    >>> ring = HashRing(["a", "b", "c"])
    >>> ring.successors("digest", 2) == ring.successors("digest", 2)
    True
    """

    def __init__(self, endpoint_ids):
        points = [
            (_position(f"{endpoint_id}/{number}"), endpoint_id)
            for endpoint_id in endpoint_ids
            for number in range(POINTS_PER_ENDPOINT)
        ]
        points.sort()
        self._positions = [position for position, _ in points]
        self._endpoint_ids = [endpoint_id for _, endpoint_id in points]

    def successors(self, digest, count):
        """Return up to `count` endpoints that follow the digest on the ring."""
        found = []
        size = len(self._positions)
        start = bisect.bisect(self._positions, _position(digest))
        for offset in range(min(size, 4 * count)):
            endpoint_id = self._endpoint_ids[(start + offset) % size]
            if endpoint_id not in found:
                found.append(endpoint_id)
            if len(found) == count:
                break
        return found


def _position(text):
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
