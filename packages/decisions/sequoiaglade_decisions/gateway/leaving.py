"""Endpoints that announced in a response that they are shutting down.

Load pattern: endpoints are replaced one by one or all together, also while the list of
endpoints is late or cannot be read, and each of them still answers for a few seconds.
"""

from collections import OrderedDict
from typing import NamedTuple

# Fraction of the drain time in which requests are still sent to a leaving endpoint; the
# rest is for their responses.
SERVES_ON_FRACTION = 0.5
DRAIN_SECONDS = 2.0
# An endpoint that is not listed may be listed again after an outage of the store, and
# then still be the one that announced its shutdown. Outages last up to some minutes.
UNLISTED_RETENTION_SECONDS = 600.0
# At most this many endpoints that are not listed are kept, those removed last.
UNLISTED_MAX = 1000


class _Announcement(NamedTuple):
    born: int
    noted_at: float


class LeavingEndpoints:
    """Endpoints that announced their shutdown, by id and start time.

    An announcement is never withdrawn by an entry of the list, which may be older. It
    ends with the process that made it: an endpoint that starts again under the same id
    has a later start time, and another endpoint at the same address has another id.
    Listed endpoints are kept; those that are not, for `UNLISTED_RETENTION_SECONDS`.
    `drain_seconds` is how long endpoints serve new requests after the announcement.

    >>> leaving = LeavingEndpoints()
    >>> leaving.note("e-1", born=1000, is_listed=True, now=0.0)
    True
    >>> leaving.is_leaving("e-1", born=1000), leaving.is_leaving("e-1", born=2000)
    (True, False)
    >>> leaving.note_unlisted("e-1", now=5.0)
    >>> leaving.drop_expired(now=606.0)
    >>> leaving.is_leaving("e-1", born=1000)
    False
    """

    def __init__(self, unlisted_max=UNLISTED_MAX, drain_seconds=DRAIN_SECONDS):
        self._unlisted_max = unlisted_max
        self._serves_on_seconds = SERVES_ON_FRACTION * drain_seconds
        self._announcement_by_id = {}
        self._unlisted_at_by_id = OrderedDict()

    def __len__(self):
        return len(self._announcement_by_id)

    def note(self, endpoint_id, born, is_listed, now):
        """Record an announcement; return whether it was not known.

        `born` is the start time of the endpoint in Unix milliseconds, 0 if unknown.
        """
        if self.is_leaving(endpoint_id, born):
            return False
        self._announcement_by_id[endpoint_id] = _Announcement(born, now)
        if is_listed:
            self.note_listed(endpoint_id)
        else:
            self.note_unlisted(endpoint_id, now)
        return True

    def is_leaving(self, endpoint_id, born):
        """Return whether the endpoint that started at `born` is shutting down.

        Unknown start times are assumed to be those of the same process.
        """
        announcement = self._announcement_by_id.get(endpoint_id)
        if announcement is None:
            return False
        return not announcement.born or born <= announcement.born

    def serves_on(self, endpoint_id, now):
        """Return whether a request sent to a leaving endpoint is likely answered.

        >>> leaving = LeavingEndpoints()
        >>> leaving.note("e-1", born=1000, is_listed=True, now=0.0)
        True
        >>> leaving.serves_on("e-1", now=0.9), leaving.serves_on("e-1", now=1.0)
        (True, False)
        >>> leaving = LeavingEndpoints(drain_seconds=0.5)
        >>> leaving.note("e-1", born=1000, is_listed=True, now=0.0)
        True
        >>> leaving.serves_on("e-1", now=0.3)
        False
        """
        announcement = self._announcement_by_id.get(endpoint_id)
        return (
            announcement is not None
            and now - announcement.noted_at < self._serves_on_seconds
        )

    def note_listed(self, endpoint_id):
        """Record that the list contains an endpoint."""
        self._unlisted_at_by_id.pop(endpoint_id, None)

    def note_unlisted(self, endpoint_id, now):
        """Record that the list does not contain an endpoint, or no longer."""
        if endpoint_id not in self._announcement_by_id:
            return
        self._unlisted_at_by_id[endpoint_id] = now
        self._unlisted_at_by_id.move_to_end(endpoint_id)
        while len(self._unlisted_at_by_id) > self._unlisted_max:
            self._drop_first()

    def drop_expired(self, now):
        """Drop endpoints that have not been listed for the retention time."""
        while self._unlisted_at_by_id:
            unlisted_at = next(iter(self._unlisted_at_by_id.values()))
            if now - unlisted_at <= UNLISTED_RETENTION_SECONDS:
                return
            self._drop_first()

    def _drop_first(self):
        endpoint_id, _ = self._unlisted_at_by_id.popitem(last=False)
        del self._announcement_by_id[endpoint_id]
