"""A second watch of a kind, which notices that the first one misses changes."""

import time

import structlog

from sequoiaglade_decisions.gateway import GUARD_SECONDS, GuardStep, guard_step
from sequoiaglade_decisions.outcomes import Failure, FailureCode
from sequoiaglade_node.threads import OwnedThread

from .contact import renew_watches
from .watcher import PROBE_TIMEOUT_SECONDS

# Interval of looks at the guarded watch, while it does not know a change or does not
# wait.
LOOK_SECONDS = 0.1
# Pause after a change or a failed call. The guarded watch begins its next call earlier,
# so that a short silence of the store takes one of the two calls only.
PAUSE_SECONDS = 1.2


class WatchGuard(OwnedThread):
    """One thread that guards a `KindWatcher`; a context manager.

    Its calls may be outdated and have a fraction of the price of the guarded ones. It
    tells nobody of changes: a watch that has missed some is renewed, and asks again
    from its last revision.
    """

    def __init__(self, store, watcher, metrics):
        super().__init__(f"guard {watcher.kind}", join_seconds=0.2)
        self._store = store
        self._watcher = watcher
        self._metrics = metrics
        # The connections may have fallen silent in a pause. A first call that does not
        # wait for changes tells soon.
        self._is_paused = False
        self._log = structlog.get_logger()

    def _run(self):
        while not self._stopped.is_set():
            position = self._watcher.position
            if position is None or position.waiting_since is None:
                self._stopped.wait(LOOK_SECONDS)
                continue
            seconds = PROBE_TIMEOUT_SECONDS if self._is_paused else GUARD_SECONDS
            self._is_paused = False
            result = self._store.watch(
                self._watcher.kind, position.revision, seconds, True
            )
            match result:
                case Failure(FailureCode.INTERRUPTED):
                    continue
                # The guarded watch lists all documents if it is answered the same.
                case Failure(FailureCode.EXPIRED):
                    self._follow(position.revision, "the history is lost")
                case Failure():
                    self._pause()
                case _ if result.changes:
                    self._follow(position.revision, result.changes[-1].name)

    def _follow(self, revision, change):
        """Wait until the guarded watch is past `revision`; renew it if it is not."""
        told_at = time.monotonic()
        while not self._stopped.wait(LOOK_SECONDS):
            position = self._watcher.position
            if position is None:
                # All documents are listed.
                break
            match guard_step(revision, told_at, position, time.monotonic()):
                case GuardStep.KNOWN:
                    break
                case GuardStep.RENEW:
                    self._renew(revision, change)
                    break
        self._pause()

    def _pause(self):
        self._stopped.wait(PAUSE_SECONDS)
        self._is_paused = True

    def _renew(self, revision, change):
        kind = self._watcher.kind
        self._metrics.count("watch missed changes", kind)
        self._log.warning(
            "watch missed changes", kind=kind, revision=revision, change=change
        )
        renew_watches(self._store, self._metrics, f"a watch of {kind} missed changes")
