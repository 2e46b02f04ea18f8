"""The node of an instance with a disk.

Durable state is kept in the platform's store, not on the disk. The node confirms
each request of the operator to empty the instance: it is always empty.
"""

import threading

import structlog

from sequoiaglade_decisions.outcomes import Failure, FailureCode

from .store_cache import KindWatcher

# Pause after a failure of the store.
RETRY_SECONDS = 0.5


class RetirementNode:
    """Watches for requests to empty this instance; a context manager."""

    def __init__(self, settings, dialect, store):
        self._settings = settings
        self._dialect = dialect
        self._store = store
        self._log = structlog.get_logger()
        self._stopped = threading.Event()
        self._watcher = KindWatcher(
            store, dialect.kinds.retirements, self._on_listed, self._on_changed
        )

    def __enter__(self):
        self._watcher.__enter__()
        self._log.info("node started", failure_domain=self._settings.failure_domain)
        return self

    def __exit__(self, *exc_info):
        self._stopped.set()
        self._watcher.__exit__(*exc_info)
        self._log.info("node stopped")

    def drain(self):
        """Do nothing: there are no requests to finish."""

    def reload(self, settings):
        """Log the reload; no setting can change while this node runs."""
        self._log.info("settings reloaded")

    def _on_listed(self, documents):
        for document in documents:
            self._report_empty(document.name)

    def _on_changed(self, change):
        if change.document is not None:
            self._report_empty(change.name)

    def _report_empty(self, name):
        if name != self._settings.node_id:
            return
        status = self._dialect.retirement_status()
        kind = self._dialect.kinds.retirements
        while not self._stopped.is_set():
            done = self._store.put_status(kind, name, status)
            reason = done.reason if isinstance(done, Failure) else None
            self._log.info("instance is empty", told=reason is None, reason=reason)
            if reason is None or done.code is FailureCode.NOT_FOUND:
                return
            self._stopped.wait(RETRY_SECONDS)
