"""Which endpoints exist, as the platform's list tells with a lag and with outages."""

from typing import NamedTuple

# Entries that lapsed in an outage of the store are written again within about two
# seconds of its return; the platform's pages give the figure.
RETURN_SECONDS = 1.8


class Endpoint(NamedTuple):
    """An endpoint; `born` is the Unix millisecond of its start, 0 if it is not told.

    An endpoint that starts again may keep its id; it then has another `born`.
    """

    endpoint_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool = False
    born: int = 0


class EndpointDirectory:
    """The endpoints that may get work.

    Answers the load pattern of a store outage: entries lapse while endpoints cannot
    renew them, and dropping them all at once would leave the fleet without capacity.
    A removal that is seen within `RETURN_SECONDS` of the store's return takes effect
    at the end of that time, unless the entry is back by then.

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
        self._removed_at_by_id = {}
        self._is_out = False
        self._returned_at = None

    def note_outage(self):
        """Take note that the list can't be read."""
        self._is_out = True

    def note_recovery(self, now):
        """Take note that the list can be read again."""
        if self._is_out:
            self._is_out = False
            self._returned_at = now

    def replace(self, endpoints, now):
        """Take the whole list, a sequence of `Endpoint`."""
        listed = {endpoint.endpoint_id for endpoint in endpoints}
        for endpoint_id in set(self._endpoint_by_id) - listed:
            self.remove(endpoint_id, now)
        for endpoint in endpoints:
            self.put(endpoint)

    def put(self, endpoint):
        """Take a new or changed entry."""
        self._endpoint_by_id[endpoint.endpoint_id] = endpoint
        self._removed_at_by_id.pop(endpoint.endpoint_id, None)

    def remove(self, endpoint_id, now):
        """Take note that an entry is gone."""
        if endpoint_id not in self._endpoint_by_id:
            return
        due = now
        if self._returned_at is not None:
            due = max(now, self._returned_at + RETURN_SECONDS)
        due = min(due, self._removed_at_by_id.get(endpoint_id, due))
        self._removed_at_by_id[endpoint_id] = due
        self._drop_due(now)

    def get(self, endpoint_id, now):
        """Return the `Endpoint`, or None if it is gone."""
        self._drop_due(now)
        return self._endpoint_by_id.get(endpoint_id)

    def usable(self, service, now):
        """Return the list of endpoints of `service` that may get new work."""
        self._drop_due(now)
        return [
            endpoint
            for endpoint in self._endpoint_by_id.values()
            if endpoint.service == service and not endpoint.is_draining
        ]

    def services(self):
        """Return the names of the services that have endpoints, sorted."""
        return sorted({e.service for e in self._endpoint_by_id.values()})

    def endpoints(self):
        """Return all known endpoints as a list."""
        return list(self._endpoint_by_id.values())

    def _drop_due(self, now):
        due = [i for i, at in self._removed_at_by_id.items() if at <= now]
        for endpoint_id in due:
            del self._removed_at_by_id[endpoint_id]
            self._endpoint_by_id.pop(endpoint_id, None)
