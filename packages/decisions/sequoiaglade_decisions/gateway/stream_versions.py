"""Which software version of a service began a stream, and where that is known.

What two versions write does not fit together, so a stream goes on only at the version
that began it. Load pattern: versions serve side by side while endpoints are replaced,
and a gateway that is killed leaves many streams that callers take up at other gateways
at the same moment.
"""

from collections import OrderedDict

from .hashing import stable_hash

# Callers take a stream up within their deadline, which is a few seconds.
STREAM_RETENTION_SECONDS = 60.0
# Streams of a version that left the list are over after this time, a few deadlines.
VERSION_RETENTION_SECONDS = 20.0
# At most this many streams are kept, the newest ones.
STREAMS_MAX = 20_000
# Number of nodes that keep a stream's version in a fleet too large to tell all nodes.
KEEPERS_LARGE_FLEET = 3


class StreamVersions:
    """Versions of the streams that this node or its peers began, by request id.

    >>> versions = StreamVersions()
    >>> versions.note("r-1", "v2", now=0.0)
    >>> versions.get("r-1", now=59.0), versions.get("r-1", now=61.0)
    ('v2', None)
    """

    def __init__(self, streams_max=STREAMS_MAX):
        self._streams_max = streams_max
        self._entry_by_id = OrderedDict()

    def __len__(self):
        return len(self._entry_by_id)

    def note(self, request_id, version, now):
        """Record the version of the endpoint that runs a request."""
        self._entry_by_id[request_id] = (version, now)
        self._entry_by_id.move_to_end(request_id)
        while len(self._entry_by_id) > self._streams_max:
            self._entry_by_id.popitem(last=False)
        while self._is_expired(next(iter(self._entry_by_id)), now):
            self._entry_by_id.popitem(last=False)

    def get(self, request_id, now):
        """Return the version of the stream that a request began, None if unknown."""
        if request_id not in self._entry_by_id or self._is_expired(request_id, now):
            return None
        return self._entry_by_id[request_id][0]

    def _is_expired(self, request_id, now):
        return now - self._entry_by_id[request_id][1] > STREAM_RETENTION_SECONDS


def only_version(versions, is_history_known):
    """Return the version of a stream that nobody knows, None if it may be several.

    `versions` are all those that the service had until lately, as far as known, and
    `is_history_known` is whether that reaches back beyond the begin of the stream.

    >>> only_version({"v1"}, True), only_version({"v1", "v2"}, True)
    ('v1', None)
    >>> only_version({"v1"}, False)
    """
    if not is_history_known or len(versions) != 1:
        return None
    return next(iter(versions))


class RecentVersions:
    """Versions that each service had until lately.

    Streams of a version that has just left the list may still be taken up.

    >>> recent = RecentVersions()
    >>> recent.note("s", "v1", now=0.0)
    >>> recent.get("s", now=19.0), recent.get("s", now=21.0)
    ({'v1'}, set())
    """

    def __init__(self):
        self._left_at_by_key = {}

    def note(self, service, version, now):
        """Record that an endpoint of the version has left the list."""
        self._left_at_by_key[service, version] = now
        self._left_at_by_key = {
            key: at
            for key, at in self._left_at_by_key.items()
            if now - at <= VERSION_RETENTION_SECONDS
        }

    def get(self, service, now):
        """Return the versions that have left lately, as a set."""
        return {
            version
            for (name, version), at in self._left_at_by_key.items()
            if name == service and now - at <= VERSION_RETENTION_SECONDS
        }


def stream_keepers(request_id, node_ids, is_fleet_large):
    """Return the nodes that are told of a stream's version, and are asked for it.

    These are all nodes of a small fleet, so that any of them may be lost, else a few
    chosen by hash, the same at all nodes that see the same fleet.

    >>> stream_keepers("r-1", ["a", "b"], False)
    ['a', 'b']
    >>> len(stream_keepers("r-1", [f"n-{n}" for n in range(60)], True))
    3
    """
    if not is_fleet_large:
        return list(node_ids)
    by_hash = sorted(node_ids, key=lambda node_id: stable_hash(request_id, node_id))
    return by_hash[:KEEPERS_LARGE_FLEET]
