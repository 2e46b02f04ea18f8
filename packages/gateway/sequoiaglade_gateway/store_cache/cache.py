"""The active configuration and the list of endpoints, from the store or from peers."""

import json
import threading

import structlog

from sequoiaglade_decisions.gateway import find_configuration_warnings
from sequoiaglade_decisions.outcomes import Failure
from sequoiaglade_platform import Document

from ..messages import (
    ConfigurationChanged,
    EndpointChanged,
    EndpointListReachable,
    EndpointsListed,
)

# Warnings of a configuration that its log line names.
WARNINGS_MAX = 20


class StoreCache:
    """Local copy of the store's configuration and endpoint list.

    A configuration is never replaced by one with an older version. The parsed documents
    are passed on to the coordinator. `evacuations` is the `EvacuationCache`, None if
    failure domains can't be evacuated.
    """

    def __init__(self, dialect, coordinator, evacuations=None):
        self._dialect = dialect
        self._coordinator = coordinator
        self.evacuations = evacuations
        self._lock = threading.Lock()
        self._log = structlog.get_logger()
        self._configuration_value = None
        self._endpoint_by_name = {}
        # Held while a whole list is applied: a peer's must not follow the store's.
        self._listing_lock = threading.Lock()
        self._has_listed_endpoints = False
        self.configuration = None
        # When the last read of the newest configuration from the store began.
        self.confirmed_at = 0.0
        self.is_store_reachable = True

    @property
    def version(self):
        """Version of the active configuration, 0 without one."""
        return self.configuration.version if self.configuration else 0

    @property
    def is_complete(self):
        """Whether the node can serve.

        It has a configuration, an endpoint list, and knows the evacuations.
        """
        return (
            self.configuration is not None
            and self._has_listed_endpoints
            and not self.lacks_evacuations
        )

    @property
    def lacks_evacuations(self):
        """Whether failure domains can be evacuated and none were listed yet."""
        return self.evacuations is not None and not self.evacuations.is_listed

    def on_configurations_listed(self, documents):
        """Apply the list of configuration documents."""
        for document in documents:
            self.apply_configuration(document, "store")

    def on_configuration_changed(self, change):
        """Apply a `DocumentChange` of the configuration; a removal is ignored."""
        if change.document is not None:
            self.apply_configuration(change.document, "store")

    def apply_configuration(self, document, source):
        """Make a configuration document the active one if its version is newer.

        `source` is "store" or the id of the peer that sent it, for the log.
        """
        configuration = self._dialect.read_configuration(document)
        if isinstance(configuration, Failure):
            self._log.warning(
                "invalid configuration ignored",
                name=document.name,
                reason=configuration.reason,
            )
            return
        if configuration is None:
            return
        with self._lock:
            if configuration.version <= self.version:
                return
            self._coordinator.ask(ConfigurationChanged(configuration))
            self._configuration_value = document.value
            self.configuration = configuration
        self._log.info(
            "configuration in force",
            version=configuration.version,
            routes=len(configuration.routes),
            source=source,
        )
        self._log_warnings(configuration)

    def _log_warnings(self, configuration):
        """Log the entries of a version that have no effect, in one line."""
        found = find_configuration_warnings(configuration)
        if found:
            self._log.warning(
                "configuration has warnings",
                version=configuration.version,
                count=len(found),
                warnings=[f"{f.location}: {f.text}" for f in found[:WARNINGS_MAX]],
            )

    def on_endpoints_listed(self, documents):
        """Replace the list of endpoints by the one in `documents`, from the store."""
        with self._listing_lock:
            self._replace_endpoints(documents)

    def _replace_endpoints(self, documents):
        with self._lock:
            self._endpoint_by_name = {d.name: d.value for d in documents}
        found = [self._dialect.read_endpoint(document) for document in documents]
        endpoints = [e for e in found if not isinstance(e, Failure)]
        self._coordinator.ask(EndpointsListed(endpoints))
        self._has_listed_endpoints = True
        self._log.info("endpoints listed", count=len(endpoints))

    def on_endpoint_changed(self, change):
        """Apply a `DocumentChange` of an endpoint's entry.

        An entry that can't be parsed counts as removed.
        """
        endpoint = None
        with self._lock:
            if change.document is None:
                self._endpoint_by_name.pop(change.name, None)
            else:
                self._endpoint_by_name[change.name] = change.document.value
        if change.document is not None:
            endpoint = self._dialect.read_endpoint(change.document)
            if isinstance(endpoint, Failure):
                self._log.info(
                    "endpoint not usable", name=change.name, reason=endpoint.reason
                )
                endpoint = None
        self._coordinator.ask(EndpointChanged(change.name, endpoint))
        self._log.info(
            "endpoint changed",
            endpoint_id=change.name,
            state="gone" if endpoint is None else _state(endpoint),
        )

    def on_endpoints_reachable(self, is_reachable):
        """Note whether the list of endpoints can be read from the store."""
        self.is_store_reachable = is_reachable
        self._coordinator.tell(EndpointListReachable(is_reachable))

    def export_for_peer(self):
        """Return the configuration, the endpoints and the evacuations as JSON bytes.

        All are empty without a configuration, the last one if they are not known.
        """
        with self._lock:
            configuration = self._configuration_value
            endpoints = dict(self._endpoint_by_name)
        if configuration is None:
            return b"", b"", b""
        evacuations = self.evacuations.export_for_peer() if self.evacuations else b""
        return (
            json.dumps(configuration).encode(),
            json.dumps(endpoints).encode(),
            evacuations,
        )

    def import_from_peer(self, configuration, endpoints, source, evacuations=b""):
        """Apply the result of a peer's `export_for_peer`.

        The lists of endpoints and of evacuations are used only if this node has read
        none yet.
        """
        if not configuration:
            return
        # First, so that no endpoint is used before it is marked.
        if self.evacuations is not None:
            self.evacuations.import_from_peer(evacuations)
        document = Document("main", 0, json.loads(configuration))
        self.apply_configuration(document, source)
        with self._listing_lock:
            if not self._has_listed_endpoints and endpoints:
                rows = json.loads(endpoints)
                self._replace_endpoints([Document(n, 0, v) for n, v in rows.items()])


def _state(endpoint):
    return "draining" if endpoint.is_draining else "ready"
