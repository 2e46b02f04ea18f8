"""Watches one kind of documents: a list first, then a watch from its revision."""

import random
import threading
import time

import structlog

from sequoiaglade_decisions.gateway import KindHistory, WatchPosition
from sequoiaglade_decisions.outcomes import Failure, FailureCode
from sequoiaglade_node.threads import OwnedThread
from sequoiaglade_platform import DocumentChange

# Timeout of one watch call. Keep-alive probes detect a dead connection, so that a long
# timeout delays no change and takes fewer calls. With `COALESCE_SECONDS` it is shorter
# than the history of 20 seconds that the store keeps: a watch from a revision before
# that has to list all documents anew.
WATCH_TIMEOUT_SECONDS = 18.0
# Watch calls that wait for their whole time end up to this much earlier, at a different
# time at each node, so that a short silence of the store meets few that begin.
TIMEOUT_SPREAD_SECONDS = 2.0
# Timeout of the first watch call after a failure or on a new connection, so that it is
# known soon whether the store answers even without a change.
PROBE_TIMEOUT_SECONDS = 0.02
# Pause after a call that returned changes: a sequence of changes, as at the start of a
# fleet, is read in few calls. It is a fifth of the 2 seconds in which a change has to
# reach all nodes.
COALESCE_SECONDS = 0.4
# Lists that follow each other without a pause while each watch from one expires: an
# outdated list, and one that is not outdated.
LISTS_WITHOUT_PAUSE = 2
# Mean pause after a failed call; a change has to reach all nodes within 2 seconds.
RETRY_SECONDS = 0.4
# While the store is known to be silent, probes ask in place of the watches, and the
# watches ask once an answer is seen. They do not rely on that for longer than this.
SILENT_RETRY_SECONDS = 3.0
# Interval of looks at whether the store answers again.
SILENT_LOOK_SECONDS = 0.05


class KindWatcher(OwnedThread):
    """One thread that watches a kind of documents; a context manager.

    `on_list` is called with the list of `Document`, `on_change` with each
    `DocumentChange`, and `on_reachable` with whether the store answers when that
    changes. With `may_be_outdated` this may be told seconds late; `read_now` never is.
    If the history of an outdated list is gone, the next list is not outdated.
    `is_store_silent` tells whether unanswered calls show that the store is silent.

    With `keeps_history` peers may be told of changes (`update_after`), and the other
    way round: after `rely_on_peers` it makes no calls and `apply_update` tells of what
    peers know, until `follow_store`. `coalesce_seconds` is the pause after a call that
    returned changes.
    """

    def __init__(
        self,
        store,
        kind,
        on_list,
        on_change,
        on_reachable=None,
        may_be_outdated=False,
        is_store_silent=lambda: False,
        keeps_history=False,
        coalesce_seconds=COALESCE_SECONDS,
    ):
        super().__init__(f"watch {kind}", join_seconds=0.2)
        self._store = store
        self.kind = kind
        self._on_list = on_list
        self._on_change = on_change
        self._on_reachable = on_reachable or (lambda is_reachable: None)
        self._may_be_outdated = may_be_outdated
        self._is_store_silent = is_store_silent
        self._coalesce_seconds = coalesce_seconds
        self._revision = None
        self._history = KindHistory() if keeps_history else None
        self._lock = threading.Lock()
        self._is_relayed = False
        self._is_wanted = threading.Event()
        # Watches that expired one after another.
        self._expired_count = 0
        self._is_reachable = True
        self._is_interrupted = False
        self._waiting_since = None
        self._is_quiet = False
        self._log = structlog.get_logger()

    @property
    def revision(self):
        """Up to which revision changes are known, None before the first list."""
        return self._revision

    @property
    def is_reachable(self):
        """Whether documents were listed and the last call to the store was answered."""
        return self._revision is not None and self._is_reachable

    @property
    def is_relayed(self):
        """Whether peers tell of changes in place of the store."""
        return self._is_relayed

    def rely_on_peers(self):
        """Make no calls until `follow_store`, and end the watch that waits."""
        self._is_wanted.clear()
        self._is_relayed = True
        self._store.end_watches(self.kind)

    def follow_store(self, has_outage=False):
        """Watch the store, from the revision that is known.

        `has_outage` is whether it answers none of those that followed it.
        """
        if has_outage:
            reason = "it does not answer the nodes that follow it"
            self._update_reachability(Failure(FailureCode.UNAVAILABLE, reason))
        self._is_relayed = False
        self._is_wanted.set()

    def update_after(self, revision):
        """Return the `KindUpdate` for a peer; None unless the store answers."""
        if not self._is_reachable or self._is_store_silent():
            return None
        with self._lock:
            return self._history.update_after(revision)

    def apply_update(self, update):
        """Tell of a peer's `KindUpdate`, unless the revision is known."""
        with self._lock:
            if self._revision is not None and update.revision <= self._revision:
                return
            if update.is_list:
                documents = [document for _, document in update.changes]
                self._apply_list(documents, update.revision)
            else:
                changes = [DocumentChange(*change) for change in update.changes]
                self._apply_changes(changes, update.revision)

    @property
    def position(self):
        """The `WatchPosition`, None before the first list."""
        revision = self._revision
        if revision is None:
            return None
        return WatchPosition(revision, self._waiting_since, self._is_quiet)

    def read_now(self):
        """Read the changes since the last response; return None or a `Failure`.

        A watch tells nothing while it waits, and its response may be lost. This may be
        called from any thread; the watch may tell the same changes later.
        """
        revision = self._revision
        if revision is None:
            return self._read_list()
        result = self._store.watch(self.kind, revision, PROBE_TIMEOUT_SECONDS)
        if isinstance(result, Failure):
            return self._read_list() if result.code is FailureCode.EXPIRED else result
        for change in result.changes:
            self._on_change(change)
        if result.changes:
            self._log.info(
                "changes read beside the watch",
                kind=self.kind,
                revision=revision,
                count=len(result.changes),
            )
        return None

    def _read_list(self):
        listing = self._store.list(self.kind)
        if isinstance(listing, Failure):
            return listing
        self._on_list(listing.documents)
        return None

    def _interrupt(self):
        self._is_wanted.set()

    def _run(self):
        while not self._stopped.is_set():
            if self._is_relayed:
                self._is_wanted.wait()
                continue
            failure = self._list() if self._revision is None else self._watch()
            self._is_interrupted = (
                failure is not None and failure.code is FailureCode.INTERRUPTED
            )
            if self._is_interrupted:
                continue
            self._update_reachability(failure)
            if failure is None:
                continue
            if failure.code is FailureCode.EXPIRED:
                self._revision = None
                self._expired_count += 1
                if self._expired_count <= LISTS_WITHOUT_PAUSE:
                    continue
            self._pause()

    def _pause(self):
        """Pause after a failed call."""
        self._stopped.wait(RETRY_SECONDS * (0.75 + 0.5 * random.random()))
        end = time.monotonic() + SILENT_RETRY_SECONDS
        while self._is_store_silent() and time.monotonic() < end:
            if self._stopped.wait(SILENT_LOOK_SECONDS):
                return

    def _list(self):
        # Outdated reads may lag behind the history that is gone, for seconds.
        may_be_outdated = self._may_be_outdated and self._expired_count < 2
        listing = self._store.list(self.kind, may_be_outdated)
        if isinstance(listing, Failure):
            return listing
        self._update_reachability(None)
        with self._lock:
            if not self._is_known(listing.revision):
                self._apply_list(listing.documents, listing.revision)
        return None

    def _is_known(self, revision):
        """Return whether a peer has told of a later revision meanwhile.

        Only in kinds with a history, whose answers are never outdated by themselves.
        """
        known = self._revision
        return self._history is not None and known is not None and revision < known

    def _apply_list(self, documents, revision):
        self._on_list(documents)
        if self._history is not None:
            self._history.note_list({d.name: d for d in documents}, revision)
        self._revision = revision

    def _apply_changes(self, changes, revision):
        for change in changes:
            self._on_change(change)
        self._revision = max(revision, self._revision)
        if self._history is not None:
            self._history.note_changes(map(tuple, changes), self._revision)

    def _watch(self):
        is_sound = self._is_reachable and not self._is_interrupted
        seconds = PROBE_TIMEOUT_SECONDS
        if is_sound:
            seconds = WATCH_TIMEOUT_SECONDS - TIMEOUT_SPREAD_SECONDS * random.random()
        self._waiting_since = time.monotonic() if is_sound else None
        try:
            result = self._store.watch(
                self.kind, self._revision, seconds, self._may_be_outdated
            )
        finally:
            self._waiting_since = None
            self._is_quiet = False
        if isinstance(result, Failure):
            return result
        self._is_quiet = is_sound and not result.changes
        self._expired_count = 0
        self._update_reachability(None)
        with self._lock:
            if not self._is_known(result.revision):
                self._apply_changes(result.changes, result.revision)
        if result.changes:
            self._stopped.wait(self._coalesce_seconds)
        return None

    def _update_reachability(self, failure):
        is_reachable = failure is None or failure.code is FailureCode.EXPIRED
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        self._on_reachable(is_reachable)
        self._log.info(
            "store reachable again" if is_reachable else "store unreachable",
            kind=self.kind,
            revision=self._revision,
            reason=failure and failure.reason,
        )
