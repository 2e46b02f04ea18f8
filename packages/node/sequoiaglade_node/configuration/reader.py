"""Threads that read newer revisions and confirm the revision in force."""

import time

import structlog

from sequoiaglade_decisions.configuration import CONFIRM_INTERVAL_SECONDS
from sequoiaglade_decisions.outcomes import Failure, InvariantError

from ..threads import OwnedThread
from .loading import load
from .store import ROOT_KIND

READ_TIMEOUT_SECONDS = 0.5
READ_SPACING_SECONDS = 0.3
WATCH_SECONDS = 20.0
WATCH_RETRY_SECONDS = 1.0


class ConfigurationReader(OwnedThread):
    """Reads the root when the follower requests it; a context manager.

    `follower` is the proxy of the deciding actor. `peers` are used as sources when the
    platform does not return a revision that is known to be accepted. Setting the event
    `wake` requests a read now.
    """

    def __init__(self, store, peers, holder, follower, wake):
        super().__init__("configuration-read", join_seconds=2 * READ_TIMEOUT_SECONDS)
        self._store = store
        self._peers = peers
        self._holder = holder
        self._follower = follower
        self._wake = wake

    def read(self):
        """Read the platform once, and the peers if the node is still behind."""
        asked_at = time.monotonic()
        try:
            self._read(asked_at)
        finally:
            self._follower.read_ended(asked_at).get()

    def _read(self, asked_at):
        found = self._store.root(timeout=READ_TIMEOUT_SECONDS)
        if isinstance(found, Failure):
            self._follower.platform_failed(asked_at).get()
            self._peers.wake()
        else:
            self._follower.platform_gave(found.root.number, asked_at).get()
            self._take(self._store, found.root, asked_at)
        if self._follower.is_behind().get():
            self._read_peers()

    def _interrupt(self):
        self._wake.set()

    def _read_peers(self):
        for source in self._peers.sources():
            root = source.root()
            if not isinstance(root, Failure):
                self._take(source, root, float("-inf"))
            if not self._follower.is_behind().get():
                return

    def _take(self, source, root, asked_at):
        held = self._holder.held
        if (
            root.number <= held.root.number
            or root.number < self._follower.floor().get()
        ):
            return
        loaded = load(source, root, held)
        if not isinstance(loaded, Failure):
            self._follower.apply(loaded, asked_at).get()

    def _read_guarded(self):
        """Read once; log unexpected errors, since the read is repeated."""
        try:
            self.read()
        except InvariantError:
            raise
        except Exception:
            structlog.get_logger().exception("reading the configuration failed")

    def _run(self):
        while not self._stopped.is_set():
            self._wake.clear()
            if self._follower.is_read_due().get():
                self._read_guarded()
                self._stopped.wait(READ_SPACING_SECONDS)
            self._wake.wait(self._pause())

    def _pause(self):
        if self._follower.is_read_due().get():
            return 0.0
        age = self._follower.confirmed_age().get()
        return min(max(CONFIRM_INTERVAL_SECONDS - age, 0.05), CONFIRM_INTERVAL_SECONDS)


class ConfigurationWatcher(OwnedThread):
    """Watches the root and wakes the reader on changes; a context manager."""

    def __init__(self, platform, wake):
        super().__init__("configuration-watch", join_seconds=0.0)
        self._platform = platform
        self._wake = wake

    def _run(self):
        since = 0
        while not self._stopped.is_set():
            found = self._platform.watch(ROOT_KIND, since, WATCH_SECONDS)
            if isinstance(found, Failure):
                self._stopped.wait(WATCH_RETRY_SECONDS)
                continue
            if found[0]:
                self._wake.set()
            since = found[1]
