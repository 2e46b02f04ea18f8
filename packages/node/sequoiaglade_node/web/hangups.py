"""Detects callers that disconnect while their request waits for an endpoint."""

import contextlib
import itertools
import threading

from ..threads import OwnedThread

POLL_SECONDS = 0.05


class HangupWatcher(OwnedThread):
    """One thread that polls running requests, if any; a context manager."""

    def __init__(self):
        super().__init__("hangups", join_seconds=None)
        self._numbers = itertools.count()
        self._watched_by_number = {}
        self._wanted = threading.Event()

    def _interrupt(self):
        self._wanted.set()

    @contextlib.contextmanager
    def watching(self, disconnected, abort):
        """Call `abort` at each poll while `disconnected` returns true."""
        number = next(self._numbers)
        self._watched_by_number[number] = (disconnected, abort)
        self._wanted.set()
        try:
            yield
        finally:
            del self._watched_by_number[number]

    def _wait_for_poll(self):
        """Wait until the next poll is due; return whether to stop.

        A request that is added, or a stop, after the flag was cleared sets it again.
        """
        self._wanted.wait()
        if self._stopped.wait(POLL_SECONDS):
            return True
        self._wanted.clear()
        if self._watched_by_number or self._stopped.is_set():
            self._wanted.set()
        return False

    def _run(self):
        while not self._wait_for_poll():
            for disconnected, abort in list(self._watched_by_number.values()):
                if disconnected():
                    abort()
