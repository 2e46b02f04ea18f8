"""Threads of a listener, started on demand."""

import _thread
import threading
import time
from typing import Any, NamedTuple

from waitress.task import ThreadedTaskDispatcher


class _Waiting(NamedTuple):
    """A task and the deadline by which a thread has to start it."""

    task: Any
    deadline: float

    def service(self):
        self.task.service()

    def cancel(self):
        self.task.cancel()


class GrowingDispatcher(ThreadedTaskDispatcher):
    """Starts a thread for a task if none is idle, up to `max_threads`.

    An idle node therefore uses no memory for threads that were never needed. Threads
    are kept for later tasks. A task that no thread has started within `wait_seconds`
    is refused by a separate thread, which calls its method ``refuse`` instead of
    ``service``. `wait_until` returns the time of the monotonic clock from which a task
    is refused earlier, or None.
    """

    def __init__(self, max_threads, wait_seconds, wait_until=lambda task: None):
        super().__init__()
        self._max_threads = max_threads
        self._wait_seconds = wait_seconds
        self._wait_until = wait_until
        self._overdue = threading.Condition(self.lock)
        self._has_refuser = False
        self._is_stopped = False

    def add_task(self, task):
        """Queue `task`; start a thread if none is idle and the limit allows it."""
        deadline = time.monotonic() + self._wait_seconds
        wait_until = self._wait_until(task)
        if wait_until is not None:
            deadline = min(deadline, wait_until)
        with self.lock:
            self._grow(len(self.queue) + 1)
        super().add_task(_Waiting(task, deadline))
        # After the task is queued: the refusing thread sleeps while the queue is empty.
        with self.lock:
            if len(self.queue) > self._idle_count():
                self._watch_queue()

    def start_new_thread(self, target, thread_no):
        """Start a thread without waiting until it runs.

        ``Thread.start`` waits for that. The caller is the thread that reads from all
        connections, and holds the lock that each thread needs for its next task.
        """
        _thread.start_new_thread(target, (thread_no,))

    def shutdown(self, cancel_pending=True, timeout=5):
        """Stop starting threads and wait up to `timeout` seconds for all to end."""
        with self.lock:
            self._max_threads = 0
            self._is_stopped = True
            self._overdue.notify()
        return super().shutdown(cancel_pending, timeout)

    def _idle_count(self):
        return len(self.threads) - self.stop_count - self.active_count

    def _grow(self, task_count):
        running = len(self.threads) - self.stop_count
        if task_count <= self._idle_count() or running >= self._max_threads:
            return
        number = next(n for n in range(self._max_threads) if n not in self.threads)
        self.threads.add(number)
        self.active_count += 1
        self.start_new_thread(self.handler_thread, number)

    def _watch_queue(self):
        if self._has_refuser:
            self._overdue.notify()
            return
        self._has_refuser = True
        _thread.start_new_thread(self._refuse, ())

    def _refuse(self):
        while (waiting := self._next_overdue()) is not None:
            try:
                waiting.task.refuse()
            except Exception:
                self.logger.exception("Exception when refusing %r", waiting.task)

    def _next_overdue(self):
        """Wait for the next overdue task; return None once stopped."""
        with self.lock:
            while not self._is_stopped:
                if not self.queue:
                    self._overdue.wait()
                    continue
                first = min(self.queue, key=lambda waiting: waiting.deadline)
                left = first.deadline - time.monotonic()
                if left <= 0:
                    self.queue.remove(first)
                    return first
                self._overdue.wait(left)
        return None
