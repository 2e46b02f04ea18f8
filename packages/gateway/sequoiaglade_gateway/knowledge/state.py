"""The configuration in force and the list of endpoints, from store or peers."""

import json
import threading

import structlog

from sequoiaglade_decisions.outcomes import Failure
from sequoiaglade_platform import Document

from ..messages import Configured, EndpointChanged, EndpointsListed, ListReachable


class StoreCache:
    """Takes documents of the store; a version never gives way to an older one."""

    def __init__(self, dialect, coordinator):
        self._dialect = dialect
        self._coordinator = coordinator
        self._lock = threading.Lock()
        self._log = structlog.get_logger()
        self._configuration_value = None
        self._endpoint_by_name = {}
        self._has_listed_endpoints = False
        self.configuration = None
        self.is_store_reachable = True

    @property
    def version(self):
        """Version of the configuration in force, 0 without one."""
        return self.configuration.version if self.configuration else 0

    @property
    def is_complete(self):
        """Whether the node knows enough to serve."""
        return self.configuration is not None and self._has_listed_endpoints

    def configurations_listed(self, documents):
        """Take the list of configuration documents."""
        for document in documents:
            self.take_configuration(document, "store")

    def configuration_changed(self, change):
        """Take a change of the configuration."""
        if change.document is not None:
            self.take_configuration(change.document, "store")

    def take_configuration(self, document, source):
        """Put a configuration in force if it is newer."""
        configuration = self._dialect.read_configuration(document)
        if isinstance(configuration, Failure):
            self._log.warning(
                "configuration not understood",
                name=document.name,
                reason=configuration.reason,
            )
            return
        if configuration is None:
            return
        with self._lock:
            if configuration.version <= self.version:
                return
            self._coordinator.ask(Configured(configuration))
            self._configuration_value = document.value
            self.configuration = configuration
        self._log.info(
            "configuration in force",
            version=configuration.version,
            routes=len(configuration.routes),
            source=source,
        )

    def endpoints_listed(self, documents):
        """Take the whole list of endpoints."""
        with self._lock:
            self._endpoint_by_name = {d.name: d.value for d in documents}
        found = [self._dialect.read_endpoint(document) for document in documents]
        endpoints = [e for e in found if not isinstance(e, Failure)]
        self._coordinator.ask(EndpointsListed(endpoints))
        self._has_listed_endpoints = True
        self._log.info("endpoints listed", count=len(endpoints))

    def endpoint_changed(self, change):
        """Take a change of an endpoint's entry."""
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

    def endpoints_reachable(self, is_reachable):
        """Take note whether the list of endpoints can be read."""
        self.is_store_reachable = is_reachable
        self._coordinator.tell(ListReachable(is_reachable))

    def share(self):
        """Return the pair of configuration and endpoints as bytes, for a peer."""
        with self._lock:
            configuration = self._configuration_value
            endpoints = dict(self._endpoint_by_name)
        if configuration is None:
            return b"", b""
        return json.dumps(configuration).encode(), json.dumps(endpoints).encode()

    def take_shared(self, configuration, endpoints, source):
        """Take what a peer shared; the list of endpoints only where none is known."""
        if not configuration:
            return
        document = Document("main", 0, json.loads(configuration))
        self.take_configuration(document, source)
        if not self._has_listed_endpoints and endpoints:
            rows = json.loads(endpoints)
            self.endpoints_listed([Document(n, 0, v) for n, v in rows.items()])


def _state(endpoint):
    return "draining" if endpoint.is_draining else "ready"
