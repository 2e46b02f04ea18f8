"""The evacuated failure domains, from the store or from peers."""

import json
import threading
import time

from ..evacuation_messages import (
    EvacuatedEndpoints,
    EvacuationChanged,
    EvacuationsListed,
    FindEvacuated,
)

# Log lines of refusals name the evacuated endpoints as of this long ago at most. In a
# load peak a node refuses hundreds of requests a second.
FOUND_SECONDS = 0.5


class EvacuationCache:
    """Passes the entries of evacuations on to the coordinator, and to peers that start.

    Only the names of the entries count: a domain is evacuated whatever its entry
    contains.
    """

    def __init__(self, coordinator, metrics):
        self._coordinator = coordinator
        self._metrics = metrics
        # Held while changes are applied: a peer's list must not follow the store's.
        self._lock = threading.Lock()
        self._domains = set()
        self.is_listed = False
        # By service, when they were found and the `EvacuatedEndpoints`.
        self._found_by_service = {}
        self._find_lock = threading.Lock()

    def on_listed(self, documents):
        """Replace all entries by `documents`, from the store or a relaying peer."""
        with self._lock:
            self._replace(document.name for document in documents)

    def on_changed(self, change):
        """Apply a `DocumentChange` of an entry."""
        with self._lock:
            is_evacuated = change.document is not None
            if is_evacuated:
                self._domains.add(change.name)
            else:
                self._domains.discard(change.name)
            self._tell(EvacuationChanged(change.name, is_evacuated))

    def export_for_peer(self):
        """Return the entries as JSON bytes, empty before the first list."""
        with self._lock:
            return json.dumps(sorted(self._domains)).encode() if self.is_listed else b""

    def import_from_peer(self, exported):
        """Apply the result of a peer's `export_for_peer`, before the first list only.

        An older peer exports nothing.
        """
        with self._lock:
            if exported and not self.is_listed:
                self._replace(json.loads(exported))

    def find(self, service, clock=time.monotonic):
        """Return the `EvacuatedEndpoints` of a service, for log lines.

        The coordinator is asked only while something is evacuated, and then at most
        every `FOUND_SECONDS`.
        """
        if not self._domains:
            return EvacuatedEndpoints(frozenset(), ())
        with self._find_lock:
            found_at, found = self._found_by_service.get(service, (None, None))
            if found is None or clock() - found_at >= FOUND_SECONDS:
                found = self._coordinator.ask(FindEvacuated(service))
                self._found_by_service[service] = clock(), found
            return found

    def _replace(self, domains):
        self._domains = set(domains)
        self._tell(EvacuationsListed(tuple(sorted(self._domains))))
        self.is_listed = True

    def _tell(self, message):
        news = self._coordinator.ask(message)
        with self._find_lock:
            self._found_by_service.clear()
        for outcome, count in news._asdict().items():
            for _ in range(count):
                self._metrics.count("evacuation", outcome)
