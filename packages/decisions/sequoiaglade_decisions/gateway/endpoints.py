"""Known endpoints, from the platform's list, which lags and has outages."""

from typing import NamedTuple

# Entries that expired during an outage of the store are written again within about two
# seconds of its recovery, according to the platform's documentation.
RECOVERY_GRACE_SECONDS = 1.8


class Endpoint(NamedTuple):
    """An endpoint that serves requests of one service.

    `born` is its start time in Unix milliseconds, 0 if unknown. An endpoint that
    restarts may keep its id, but its `born` changes. `version` is that of its software,
    empty if unknown.
    """

    endpoint_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool = False
    born: int = 0
    version: str = ""


class EndpointDirectory:
    """The endpoints that may receive requests.

    During an outage of the store, entries expire because endpoints cannot renew them.
    Dropping all of them together would leave the fleet without capacity, so a removal
    observed within `RECOVERY_GRACE_SECONDS` of the store's recovery takes effect only
    at the end of that time, and not at all if the entry exists again by then.

    >>> directory = EndpointDirectory()
    >>> directory.replace([Endpoint("e-1", "s", "10.0.0.1:80", "a", 8)], now=0.0)
    >>> directory.note_outage()
    >>> directory.note_recovery(now=5.0)
    >>> directory.replace([], now=5.1)
    >>> [len(directory.usable("s", now)) for now in (6.0, 7.0)]
    [1, 0]
    """

    def __init__(self):
        self._endpoint_by_id = {}
        self._drop_at_by_id = {}
        self._is_list_down = False
        self._recovered_at = None

    def note_outage(self):
        """Record that the list cannot be read."""
        self._is_list_down = True

    def note_recovery(self, now):
        """Record that the list can be read again."""
        if self._is_list_down:
            self._is_list_down = False
            self._recovered_at = now

    def replace(self, endpoints, now):
        """Replace all entries by `endpoints`, a sequence of `Endpoint`."""
        listed = {endpoint.endpoint_id for endpoint in endpoints}
        for endpoint_id in set(self._endpoint_by_id) - listed:
            self.remove(endpoint_id, now)
        for endpoint in endpoints:
            self.put(endpoint)

    def put(self, endpoint):
        """Add or update an entry."""
        self._endpoint_by_id[endpoint.endpoint_id] = endpoint
        self._drop_at_by_id.pop(endpoint.endpoint_id, None)

    def remove(self, endpoint_id, now):
        """Remove an entry, after the grace period if the store has just recovered."""
        if endpoint_id not in self._endpoint_by_id:
            return
        drop_at = now
        if self._recovered_at is not None:
            drop_at = max(now, self._recovered_at + RECOVERY_GRACE_SECONDS)
        drop_at = min(drop_at, self._drop_at_by_id.get(endpoint_id, drop_at))
        self._drop_at_by_id[endpoint_id] = drop_at
        self._drop_removed(now)

    def get(self, endpoint_id, now):
        """Return the `Endpoint`, or None if there is none."""
        self._drop_removed(now)
        return self._endpoint_by_id.get(endpoint_id)

    def usable(self, service, now, version=None):
        """Return the endpoints of `service` that accept new requests, as a list.

        With a `version`, only those with this software version.
        """
        self._drop_removed(now)
        return [
            endpoint
            for endpoint in self._endpoint_by_id.values()
            if endpoint.service == service
            and not endpoint.is_draining
            and version in (None, endpoint.version)
        ]

    def versions(self, service, now):
        """Return the software versions of all endpoints of `service`, as a set."""
        self._drop_removed(now)
        endpoints = self._endpoint_by_id.values()
        return {e.version for e in endpoints if e.service == service}

    def services(self):
        """Return the names of the services that have endpoints, sorted."""
        return sorted({e.service for e in self._endpoint_by_id.values()})

    def endpoints(self):
        """Return all known endpoints as a list."""
        return list(self._endpoint_by_id.values())

    def _drop_removed(self, now):
        expired = [i for i, at in self._drop_at_by_id.items() if at <= now]
        for endpoint_id in expired:
            del self._drop_at_by_id[endpoint_id]
            self._endpoint_by_id.pop(endpoint_id, None)
