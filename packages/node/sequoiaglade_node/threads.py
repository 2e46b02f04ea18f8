"""Threads that are owned by an object and end with it."""

import threading

import structlog

from sequoiaglade_decisions.outcomes import InvariantError

JOIN_SECONDS = 5.0
RESTART_SECONDS = 1.0


class OwnedThread:
    """Base class of context managers with one thread.

    A subclass defines `_run`, which returns soon after the event `_stopped` is set, and
    `_interrupt` if something else has to be woken for that. An unexpected exception of
    `_run` is logged and `_run` is called again: without the thread, the node would
    silently serve outdated state.
    """

    def __init__(self, name, join_seconds=JOIN_SECONDS):
        self._stopped = threading.Event()
        self._join_seconds = join_seconds
        self._thread = threading.Thread(target=self._guard, name=name, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stopped.set()
        self._interrupt()
        self._thread.join(self._join_seconds)

    def _run(self):
        raise NotImplementedError

    def _interrupt(self):
        """Wake the thread so that it checks whether it is stopped."""

    def _guard(self):
        while not self._stopped.is_set():
            try:
                return self._run()
            except InvariantError:
                raise
            except Exception:
                log = structlog.get_logger()
                log.exception("thread failed, runs again", thread=self._thread.name)
            self._stopped.wait(RESTART_SECONDS)
