"""A thread that calls a function periodically."""

from ..threads import OwnedThread


class Timer(OwnedThread):
    """Calls `function` every `seconds`; a context manager that stops on leaving."""

    def __init__(self, seconds, function, name):
        super().__init__(name)
        self._seconds = seconds
        self._function = function

    def _run(self):
        while not self._stopped.wait(self._seconds):
            self._function()
