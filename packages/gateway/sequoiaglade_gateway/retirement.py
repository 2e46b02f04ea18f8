"""The node of an instance with a disk.

What lasts lives in the platform's store, so that the disk holds nothing. The node
answers the operator who wants the instance emptied: it is empty at any time.
"""

import threading

import structlog

from sequoiaglade_decisions.outcomes import Failure, FailureCode

from .knowledge import KindWatcher

# Pause after the store failed, in seconds.
RETRY_SECONDS = 0.5


class RetirementNode:
    """Follows the requests to empty this instance; a context manager."""

    def __init__(self, settings, dialect, store):
        self._settings = settings
        self._dialect = dialect
        self._store = store
        self._log = structlog.get_logger()
        self._stopped = threading.Event()
        self._watcher = KindWatcher(
            store, dialect.kinds.retirements, self._listed, self._changed
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
        """Stop at once: nothing runs here."""

    def reload(self, settings):
        """Take note of changed settings; none of them matters here."""
        self._log.info("settings reloaded")

    def _listed(self, documents):
        for document in documents:
            self._complete(document.name)

    def _changed(self, change):
        if change.document is not None:
            self._complete(change.name)

    def _complete(self, name):
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
