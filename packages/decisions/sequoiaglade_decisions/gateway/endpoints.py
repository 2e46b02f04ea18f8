"""Known endpoints, from the platform's list, which lags and has outages."""

from typing import NamedTuple

from .leaving import DRAIN_SECONDS, LeavingEndpoints
from .stream_versions import RecentVersions

# Entries that expired during an outage of the store are written again within about two
# seconds of its recovery, according to the platform's documentation.
RECOVERY_GRACE_SECONDS = 1.8
# Slots of an endpoint if neither the endpoint nor its service specifies them.
DEFAULT_SLOTS = 8


class Endpoint(NamedTuple):
    """An endpoint that serves requests of one service.

    `born` is its start time in Unix milliseconds, 0 if unknown. An endpoint that
    restarts may keep its id, but its `born` changes. `version` is that of its software,
    empty if unknown. `is_draining` is what the platform's list says of its shutdown,
    `is_leaving` what the endpoint itself announced to this node. `request_limit` is how
    many requests a second it takes from all nodes together, None without a limit.
    `cold_seconds` is how much longer it is cold, counted from when its entry was
    written, 0 if it is not; in a request's endpoint it is what this node knows now.
    `is_evacuated` is whether its failure domain is. `revision` is that of the entry's
    last change in the platform's store, 0 if unknown.
    """

    endpoint_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool = False
    born: int = 0
    version: str = ""
    is_leaving: bool = False
    request_limit: float | None = None
    cold_seconds: float = 0.0
    is_evacuated: bool = False
    revision: int = 0

    @property
    def accepts_requests(self):
        """Whether new requests may be sent to the endpoint."""
        return not (self.is_draining or self.is_leaving or self.is_evacuated)


class EndpointDirectory:
    """The endpoints that may receive requests.

    During an outage of the store, entries expire because endpoints cannot renew them.
    Dropping all of them together would leave the fleet without capacity, so a removal
    observed within `RECOVERY_GRACE_SECONDS` of the store's recovery takes effect only
    at the end of that time, and not at all if the entry exists again by then.

    An endpoint that announced its shutdown gets no new requests, whatever the list says
    of it. Neither does one of an evacuated failure domain.

    >>> directory = EndpointDirectory()
    >>> directory.replace([Endpoint("e-1", "s", "10.0.0.1:80", "a", 8)], now=0.0)
    >>> directory.note_outage()
    >>> directory.note_recovery(now=5.0)
    >>> directory.replace([], now=5.1)
    >>> [len(directory.usable("s", now)) for now in (6.0, 7.0)]
    [1, 0]
    """

    def __init__(self, drain_seconds=DRAIN_SECONDS):
        self._endpoint_by_id = {}
        self._drop_at_by_id = {}
        self._is_list_down = False
        self._recovered_at = None
        self._leaving = LeavingEndpoints(drain_seconds=drain_seconds)
        self._recent_versions = RecentVersions()
        self._evacuated_domains = frozenset()

    @property
    def is_list_readable(self):
        """Whether the list can be read now."""
        return not self._is_list_down

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
            self.put(endpoint, now)

    def put(self, endpoint, now):
        """Add or update an entry."""
        known = self._endpoint_by_id.get(endpoint.endpoint_id)
        if known is not None and known.version != endpoint.version:
            self._recent_versions.note(known.service, known.version, now)
        self._store(endpoint)
        self._drop_at_by_id.pop(endpoint.endpoint_id, None)
        self._leaving.note_listed(endpoint.endpoint_id)

    def note_leaving(self, endpoint_id, born, now):
        """Record that an endpoint announced its shutdown; return whether that is new.

        `born` is the start time of the endpoint that was asked, 0 if unknown.
        """
        self._drop_removed(now)
        endpoint = self._endpoint_by_id.get(endpoint_id)
        if endpoint is None:
            return self._leaving.note(endpoint_id, born, is_listed=False, now=now)
        is_new = self._leaving.note(endpoint_id, born or endpoint.born, True, now)
        self._store(endpoint)
        return is_new

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

    def evacuate(self, domains):
        """Mark the endpoints in these failure domains as evacuated, and no others.

        This also holds for endpoints that are added later.

        >>> directory = EndpointDirectory()
        >>> directory.evacuate({"a"})
        >>> directory.put(Endpoint("e-1", "s", "10.0.0.1:80", "a", 8), now=0.0)
        >>> len(directory.usable("s", now=0.0)), len(directory.listed_ready("s", 0.0))
        (0, 1)
        """
        self._evacuated_domains = frozenset(domains)
        for endpoint in list(self._endpoint_by_id.values()):
            self._store(endpoint)

    def evacuated(self, service, now):
        """Return the evacuated endpoints of `service` that could serve otherwise."""
        return [e for e in self.listed_ready(service, now) if e.is_evacuated]

    def get(self, endpoint_id, now):
        """Return the `Endpoint`, or None if there is none."""
        self._drop_removed(now)
        return self._endpoint_by_id.get(endpoint_id)

    def usable(self, service, now, version=None):
        """Return the endpoints of `service` that accept new requests, as a list.

        With a `version`, only those with this software version.
        """
        return [
            endpoint
            for endpoint in self.listed_ready(service, now)
            if endpoint.accepts_requests and version in (None, endpoint.version)
        ]

    def serving_on(self, service, now, version=None):
        """Return the endpoints of `service` that announced their shutdown just now.

        They can still answer requests that no other endpoint can take.
        """
        return [
            endpoint
            for endpoint in self.listed_ready(service, now)
            if endpoint.is_leaving
            and not endpoint.is_evacuated
            and self._leaving.serves_on(endpoint.endpoint_id, now)
            and version in (None, endpoint.version)
        ]

    def listed_ready(self, service, now):
        """Return the endpoints of `service` that are not draining by the list.

        Unlike `usable`, this is the same at all nodes that read the same list, also
        while evacuations begin or end.
        """
        self._drop_removed(now)
        return [
            endpoint
            for endpoint in self._endpoint_by_id.values()
            if endpoint.service == service and not endpoint.is_draining
        ]

    def leaving_ids(self, service, now):
        """Return the ids of listed endpoints of `service` that announced a shutdown."""
        endpoints = self.listed_ready(service, now)
        return frozenset(e.endpoint_id for e in endpoints if e.is_leaving)

    def recent_versions(self, service, now):
        """Return the software versions that `service` has or had until lately.

        >>> directory = EndpointDirectory()
        >>> directory.put(Endpoint("e-1", "s", "a:1", "a", 8, version="v1"), now=0.0)
        >>> directory.put(Endpoint("e-2", "s", "a:2", "a", 8, version="v2"), now=0.0)
        >>> directory.remove("e-2", now=60.0)
        >>> sorted(directory.recent_versions("s", now=61.0))
        ['v1', 'v2']
        >>> directory.recent_versions("s", now=81.0)
        {'v1'}
        """
        self._drop_removed(now)
        endpoints = self._endpoint_by_id.values()
        listed = {e.version for e in endpoints if e.service == service}
        return listed | self._recent_versions.get(service, now)

    def recall_versions(self, service, versions, now):
        """Add versions that a service had before this node knew its endpoints."""
        for version in versions:
            self._recent_versions.note(service, version, now)

    def services(self):
        """Return the names of the services that have endpoints, sorted."""
        return sorted({e.service for e in self._endpoint_by_id.values()})

    def endpoints(self):
        """Return all known endpoints as a list."""
        return list(self._endpoint_by_id.values())

    def _store(self, endpoint):
        endpoint_id = endpoint.endpoint_id
        self._endpoint_by_id[endpoint_id] = endpoint._replace(
            is_leaving=self._leaving.is_leaving(endpoint_id, endpoint.born),
            is_evacuated=endpoint.failure_domain in self._evacuated_domains,
        )

    def _drop_removed(self, now):
        expired = [i for i, at in self._drop_at_by_id.items() if at <= now]
        for endpoint_id in expired:
            left_at = self._drop_at_by_id.pop(endpoint_id)
            endpoint = self._endpoint_by_id.pop(endpoint_id)
            self._recent_versions.note(endpoint.service, endpoint.version, left_at)
            self._leaving.note_unlisted(endpoint_id, now)
        self._leaving.drop_expired(now)
