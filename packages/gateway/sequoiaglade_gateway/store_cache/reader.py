"""Reads of the newest configuration, independent of the watch."""

import threading

import structlog

from sequoiaglade_decisions.outcomes import Failure
from sequoiaglade_node.threads import OwnedThread

from ..clocks import boot_seconds

# Pause after a read that failed.
RETRY_SECONDS = 0.4


class ConfigurationReader(OwnedThread):
    """One thread that reads the newest configuration on request; a context manager.

    A watch tells nothing while the store is away, or until this process, after a
    freeze, has read its response. `StoreCache.confirmed_at` is set after each read.
    """

    def __init__(self, store, kind, cache, clock=boot_seconds):
        super().__init__("configuration reader")
        self._store = store
        self._kind = kind
        self._cache = cache
        self._clock = clock
        self._requested = threading.Event()
        self._log = structlog.get_logger()

    def request(self):
        """Read the configuration soon."""
        self._requested.set()

    def _interrupt(self):
        self._requested.set()

    def _run(self):
        while self._requested.wait() and not self._stopped.is_set():
            self._requested.clear()
            if not self._read():
                self._stopped.wait(RETRY_SECONDS)

    def _read(self):
        began_at = self._clock()
        listing = self._store.list(self._kind)
        if isinstance(listing, Failure):
            self._log.info("configuration not confirmed", reason=listing.reason)
            return False
        self._cache.on_configurations_listed(listing.documents)
        self._cache.confirmed_at = began_at
        self._log.info("configuration confirmed", version=self._cache.version)
        return True
