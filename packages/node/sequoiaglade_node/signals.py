"""Signals that ask a process to stop or to reload.

Python runs signal handlers in the main thread only, and only once it executes bytecode.
A main thread that waits on a lock isn't woken by a signal that another thread receives.
The main thread therefore waits for a byte that the interpreter writes in whichever
thread receives the signal.
"""

import contextlib
import signal
import socket


class SignalWaiter:
    """Receives signals of the given numbers; a context manager for the main thread.

    Signals that arrive between its entry and a call of `wait` are kept. After its end
    the signals are ignored, so that a repeated one doesn't interrupt the exit of the
    process.

    >>> with SignalWaiter(signal.SIGHUP) as signals:
    ...     signal.raise_signal(signal.SIGHUP)
    ...     signals.wait()
    <Signals.SIGHUP: 1>
    """

    def __init__(self, *numbers):
        self._numbers = frozenset(numbers)
        self._stack = contextlib.ExitStack()
        self._reader = None

    def __enter__(self):
        with self._stack as stack:
            self._reader, writer = socket.socketpair()
            stack.enter_context(self._reader)
            stack.enter_context(writer)
            writer.setblocking(False)
            previous_fd = signal.set_wakeup_fd(
                writer.fileno(), warn_on_full_buffer=False
            )
            stack.callback(signal.set_wakeup_fd, previous_fd)
            for number in self._numbers:
                # Without a Python handler nothing is written to the descriptor.
                signal.signal(number, _ignore)
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    def wait(self):
        """Wait for the next signal and return its number."""
        while True:
            (number,) = self._reader.recv(1)
            if number in self._numbers:
                return signal.Signals(number)


def _ignore(number, frame):
    pass
