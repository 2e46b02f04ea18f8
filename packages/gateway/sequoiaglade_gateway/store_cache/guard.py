"""Further watches of a kind, which notice that the first one misses changes."""

import time

import structlog

from sequoiaglade_decisions.gateway import (
    GUARD_SECONDS,
    GuardStep,
    guard_step,
    standby_delay,
)
from sequoiaglade_decisions.outcomes import Failure, FailureCode
from sequoiaglade_node.threads import OwnedThread

from .watcher import PROBE_TIMEOUT_SECONDS, WATCH_TIMEOUT_SECONDS

# Interval of looks at the guarded watch, while it does not know a change or does not
# wait, and at whether the store answers again.
LOOK_SECONDS = 0.1
# Interval of looks for a call that the standby is due for. It is shorter than the delay
# of the standby.
STANDBY_LOOK_SECONDS = 0.5
# The same while peers tell of changes in place of the guarded watch.
RELAYED_LOOK_SECONDS = 1.0
# Pause after a change or a failed call. The guarded watch begins its next call earlier,
# so that a short silence of the store takes one of the two calls only.
PAUSE_SECONDS = 1.2


def guards_of(store, watcher, contact, metrics):
    """Return the threads that guard a `KindWatcher`, to be entered after it.

    `contact` is the `StoreContactKeeper` of the store.
    """
    return [
        WatchGuard(store, watcher, contact, metrics),
        StandbyWatch(store, watcher, contact, metrics),
    ]


class _Guard(OwnedThread):
    """Base class of threads that guard a `KindWatcher`; a context manager.

    They tell nobody of changes: a watch that has missed some is renewed, and asks again
    from its last revision. They ask nothing while the store is known to be silent.
    """

    def __init__(self, name, store, watcher, contact, metrics):
        super().__init__(f"{name} {watcher.kind}", join_seconds=0.2)
        self._store = store
        self._watcher = watcher
        self._contact = contact
        self._metrics = metrics
        self._log = structlog.get_logger()

    def _follow(self, revision, change):
        """Wait until the guarded watch is past `revision`; renew it if it is not."""
        told_at = time.monotonic()
        while not self._stopped.wait(LOOK_SECONDS):
            position = self._watcher.position
            if position is None:
                # All documents are listed.
                return
            match guard_step(revision, told_at, position, time.monotonic()):
                case GuardStep.KNOWN:
                    return
                case GuardStep.RENEW:
                    self._renew(revision, change)
                    return

    def _renew(self, revision, change):
        kind = self._watcher.kind
        self._metrics.count("watch missed changes", kind)
        self._log.warning(
            "watch missed changes", kind=kind, revision=revision, change=change
        )
        self._contact.renew_watches(f"a watch of {kind} missed changes")


class WatchGuard(_Guard):
    """Guards a watch by calls that end often.

    These may be outdated and have a fraction of the price of the guarded ones.
    """

    def __init__(self, store, watcher, contact, metrics):
        super().__init__("guard", store, watcher, contact, metrics)
        # The connections may have fallen silent in a pause. A first call that does not
        # wait for changes tells soon.
        self._is_paused = False

    def _run(self):
        while not self._stopped.is_set():
            if self._watcher.is_relayed:
                self._stopped.wait(RELAYED_LOOK_SECONDS)
                continue
            position = self._watcher.position
            is_waiting = position is not None and position.waiting_since is not None
            if not is_waiting or self._contact.is_store_silent():
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
                    self._pause()
                case Failure():
                    self._pause()
                case _ if result.changes:
                    self._follow(position.revision, result.changes[-1].name)
                    self._pause()

    def _pause(self):
        self._stopped.wait(PAUSE_SECONDS)
        self._is_paused = True


class StandbyWatch(_Guard):
    """Guards a watch by one call for each change, which is never outdated."""

    def __init__(self, store, watcher, contact, metrics):
        super().__init__("standby", store, watcher, contact, metrics)
        self._covered_since = None

    def _run(self):
        while not self._stopped.is_set():
            if self._watcher.is_relayed:
                self._stopped.wait(RELAYED_LOOK_SECONDS)
                continue
            position = self._watcher.position
            delay = standby_delay(position, self._covered_since, time.monotonic())
            if delay != 0.0:
                seconds = STANDBY_LOOK_SECONDS
                self._stopped.wait(seconds if delay is None else min(delay, seconds))
                continue
            if self._contact.is_store_silent():
                self._stopped.wait(LOOK_SECONDS)
                continue
            result = self._store.watch(
                self._watcher.kind, position.revision, WATCH_TIMEOUT_SECONDS
            )
            match result:
                case Failure(FailureCode.EXPIRED):
                    self._covered_since = position.waiting_since
                    self._follow(position.revision, "the history is lost")
                case Failure():
                    self._stopped.wait(PAUSE_SECONDS)
                case _:
                    self._covered_since = position.waiting_since
                    if result.changes:
                        self._follow(position.revision, result.changes[-1].name)
