"""Follows one kind of documents: a list first, then a watch from its revision."""

import random

import structlog

from sequoiaglade_decisions.outcomes import Failure, FailureCode
from sequoiaglade_node.threads import OwnedThread

# How long one call of a watch waits, in seconds. Keep-alive probes find a connection
# that went silent, so that a longer wait costs no freshness, and fewer calls.
WATCH_SECONDS = 20.0
# How long the first call after a failure waits, in seconds: it is to show at once that
# the store is back, also where nothing has changed.
PROBE_SECONDS = 0.02
# Pause after a call that told of changes, in seconds: changes that come one after the
# other, as when a fleet starts, are read together. A fifth of the time in which a
# change is due everywhere.
GATHER_SECONDS = 0.4
# Pause after a failed call, in seconds; changes are due everywhere within two.
RETRY_SECONDS = 0.4


class KindWatcher(OwnedThread):
    """One thread that follows a kind; a context manager.

    `on_list` takes the list of `Document`, `on_change` a `DocumentChange`, and
    `on_reachable` whether the last call was answered.
    """

    def __init__(self, store, kind, on_list, on_change, on_reachable=None):
        super().__init__(f"watch {kind}", join_seconds=0.2)
        self._store = store
        self._kind = kind
        self._on_list = on_list
        self._on_change = on_change
        self._on_reachable = on_reachable or (lambda is_reachable: None)
        self._revision = None
        self._is_reachable = True
        self._log = structlog.get_logger()

    def _run(self):
        while not self._stopped.is_set():
            failure = self._list() if self._revision is None else self._watch()
            self._note(failure)
            if failure is None:
                continue
            if failure.code is FailureCode.EXPIRED:
                self._revision = None
                continue
            self._stopped.wait(RETRY_SECONDS * (0.75 + 0.5 * random.random()))

    def _list(self):
        listing = self._store.list(self._kind)
        if isinstance(listing, Failure):
            return listing
        self._note(None)
        self._on_list(listing.documents)
        self._revision = listing.revision
        return None

    def _watch(self):
        seconds = WATCH_SECONDS if self._is_reachable else PROBE_SECONDS
        seen = self._store.watch(self._kind, self._revision, seconds)
        if isinstance(seen, Failure):
            return seen
        self._note(None)
        for change in seen.changes:
            self._on_change(change)
        self._revision = max(seen.revision, self._revision)
        if seen.changes:
            self._stopped.wait(GATHER_SECONDS)
        return None

    def _note(self, failure):
        is_reachable = failure is None or failure.code is FailureCode.EXPIRED
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        self._on_reachable(is_reachable)
        self._log.info(
            "store regained" if is_reachable else "store lost",
            kind=self._kind,
            revision=self._revision,
            reason=failure and failure.reason,
        )
