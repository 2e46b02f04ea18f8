"""Watches the platform for cancelled jobs."""

import time

from sequoiaglade_decisions.outcomes import Failure

from ..threads import OwnedThread
from .jobs import CANCEL_KIND

WATCH_TIMEOUT_SECONDS = 1.0
CONFIRMATION_MAX_AGE_SECONDS = 2.5
IDLE_INTERVAL_SECONDS = 0.2


class CancelWatcher(OwnedThread):
    """Thread that watches the markers of cancelled jobs; a context manager.

    Items may start only if the platform has confirmed within the last
    `CONFIRMATION_MAX_AGE_SECONDS` that their job is not cancelled. The age is measured
    from before the request was sent. Polling pauses while `is_needed` returns False.
    """

    def __init__(self, platform, on_cancel, is_needed, clock=time.monotonic):
        super().__init__("cancels", join_seconds=4 * WATCH_TIMEOUT_SECONDS)
        self._platform = platform
        self._on_cancel = on_cancel
        self._is_needed = is_needed
        self._clock = clock
        self._known_version = None
        self._confirmed_at = float("-inf")

    @property
    def is_up_to_date(self):
        """Whether all cancels older than `CONFIRMATION_MAX_AGE_SECONDS` are known."""
        return self._clock() - self._confirmed_at <= CONFIRMATION_MAX_AGE_SECONDS

    def poll(self, timeout=WATCH_TIMEOUT_SECONDS):
        """Query the platform once and report newly cancelled jobs.

        Return whether the query succeeded.
        """
        started_at = self._clock()
        if self._known_version is None:
            found = self._platform.watch(CANCEL_KIND, 0, 0)
        else:
            found = self._platform.watch(CANCEL_KIND, self._known_version, timeout)
        if isinstance(found, Failure):
            return False
        changes, version = found
        for change in changes:
            self._on_cancel(change.name)
        self._known_version = max(version, self._known_version or 0)
        self._confirmed_at = started_at
        return True

    def _run(self):
        while not self._stopped.is_set():
            if not self._is_needed():
                self._stopped.wait(IDLE_INTERVAL_SECONDS)
            elif not self.poll():
                self._stopped.wait(IDLE_INTERVAL_SECONDS)
