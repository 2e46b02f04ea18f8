"""Threads that belong to one owner and end with it."""

import threading

import structlog

from sequoiaglade_decisions.outcomes import InvariantError

JOIN_SECONDS = 5.0
RESTART_SECONDS = 1.0


class OwnedThread:
    """Base of a class with one thread, which runs from entering to leaving.

    A subclass defines `_run`, which returns soon after the event `_stopped` is set, and
    `_interrupt` if something else has to be woken for that. Should `_run` raise what
    nobody expected, this is logged and it runs again: a node that went on without the
    thread would serve with old knowledge and not show it.
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
        """Wake the thread so that it sees that it is to stop."""

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
