"""Which endpoints have just started, from the platform's list.

Load pattern: endpoints start one by one under load, which the others carry meanwhile,
or the whole fleet starts at once and each of its slots is needed.
"""

from .endpoints import DEFAULT_SLOTS

# An endpoint counts as started for this time, and one in the first list if its entry
# states a start within it. Clocks of machines differ by less than a second.
RECENT_START_SECONDS = 10.0
# Endpoints that are remembered beyond those that are listed.
SPARE_ENDPOINTS = 100


class EndpointStarts:
    """The listed endpoints and the times of their starts.

    >>> from .endpoints import Endpoint
    >>> starts = EndpointStarts()
    >>> starts.note_list([Endpoint("a", "s", "", "d", 8)], now=0.0, unix_seconds=99.0)
    []
    >>> [e.endpoint_id for e in starts.note(Endpoint("b", "s", "", "d", 8), now=1.0)]
    ['b']
    """

    def __init__(self):
        self._has_list = False
        self._endpoint_by_id = {}
        self._listed_ids = set()
        self._started_at_by_id = {}

    def note_list(self, endpoints, now, unix_seconds):
        """Note the list, read at a time of the wall clock; return those that started.

        Endpoints in the first list that this node reads count as warmed up, unless
        their entry states that they have just started: it is this node that is new. If
        all of them counted as started, a restarted node or fleet would throttle sound
        endpoints until each has answered.
        """
        self._listed_ids = {endpoint.endpoint_id for endpoint in endpoints}
        if self._has_list:
            return [e for endpoint in endpoints for e in self.note(endpoint, now)]
        self._has_list = True
        self._endpoint_by_id = {e.endpoint_id: e for e in endpoints}
        ages = [(e, unix_seconds - e.born / 1000) for e in endpoints if e.born]
        started = [e for e, age in ages if age < RECENT_START_SECONDS]
        self._started_at_by_id = {e.endpoint_id: now for e in started}
        return started

    def note(self, endpoint, now):
        """Note an entry; return a list of the endpoint if it has started.

        That is with a new id or a later start.
        """
        known = self._endpoint_by_id.get(endpoint.endpoint_id)
        self._endpoint_by_id[endpoint.endpoint_id] = endpoint
        self._listed_ids.add(endpoint.endpoint_id)
        if known is not None and endpoint.born <= known.born:
            return []
        self._started_at_by_id[endpoint.endpoint_id] = now
        return [endpoint]

    def note_unlisted(self, endpoint_id):
        """Note that an endpoint is not listed any more."""
        self._listed_ids.discard(endpoint_id)

    def is_recent(self, endpoint_id, now):
        """Return whether an endpoint has just started."""
        started_at = self._started_at_by_id.get(endpoint_id, float("-inf"))
        return now - started_at < RECENT_START_SECONDS

    def is_common(self, service, now):
        """Return whether more than half of a service's endpoints have just started.

        The load has nowhere else to go then.
        """
        ids = self.ids_of(service)
        return 2 * sum(self.is_recent(i, now) for i in ids) > len(ids)

    def ids_of(self, service):
        """Return the ids of a service's listed endpoints as a list.

        Those that have left are remembered, but serve nothing.

        >>> from .endpoints import Endpoint
        >>> starts = EndpointStarts()
        >>> endpoints = [Endpoint(i, "s", "", "d", 8) for i in "abc"]
        >>> starts.note_list(endpoints, now=0.0, unix_seconds=99.0)
        []
        >>> starts.note_unlisted("b")
        >>> starts.ids_of("s")
        ['a', 'c']
        """
        return [
            i
            for i, e in self._endpoint_by_id.items()
            if e.service == service and i in self._listed_ids
        ]

    def service_of(self, endpoint_id):
        """Return the service of an endpoint, None if it was never listed."""
        endpoint = self._endpoint_by_id.get(endpoint_id)
        return endpoint and endpoint.service

    def slots_of(self, endpoint_id):
        """Return the number of requests that an endpoint runs at a time."""
        endpoint = self._endpoint_by_id.get(endpoint_id)
        return (endpoint and endpoint.slots) or DEFAULT_SLOTS

    def must_forget(self, count):
        """Return whether too many endpoints are known that are not listed any more.

        `count` is the number of those that are.
        """
        return len(self._endpoint_by_id) > count + SPARE_ENDPOINTS

    def forget(self, listed_ids):
        """Drop the endpoints that are not in `listed_ids`."""
        self._listed_ids &= listed_ids
        for values in (self._endpoint_by_id, self._started_at_by_id):
            for endpoint_id in set(values) - listed_ids:
                del values[endpoint_id]
