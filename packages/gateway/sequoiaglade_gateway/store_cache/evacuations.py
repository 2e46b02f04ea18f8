"""The evacuated failure domains, from the store or from peers."""

import json
import threading

from ..evacuation_messages import EvacuationChanged, EvacuationsListed


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

    def _replace(self, domains):
        self._domains = set(domains)
        self._tell(EvacuationsListed(tuple(sorted(self._domains))))
        self.is_listed = True

    def _tell(self, message):
        news = self._coordinator.ask(message)
        for outcome, count in news._asdict().items():
            for _ in range(count):
                self._metrics.count("evacuation", outcome)
