"""Steps for the queue of tasks that wait for a listener's threads."""

import _thread
import threading
import time
from unittest.mock import patch

from behave import given, then, when
from waitress.task import ThreadedTaskDispatcher

from sequoiaglade_node.web.threads import GrowingDispatcher

# The refusing thread has looked at the queue well within this time.
ADD_SECONDS = 0.3
LONG_SECONDS = 60.0
THREADS = 16


class Task:
    """A task that blocks its thread until `ended` is set; it notes being refused."""

    def __init__(self, ended, wait_until=None):
        self._ended = ended
        self.wait_until = wait_until
        self.is_refused = threading.Event()
        self.has_begun = threading.Event()

    def service(self):
        """Run the task."""
        self.has_begun.set()
        self._ended.wait()

    def refuse(self):
        """Note that the task is refused."""
        self.is_refused.set()

    def cancel(self):
        """Ignore that the task was cancelled."""


def _occupy_thread(context, wait_seconds):
    context.ended = threading.Event()
    context.threads = GrowingDispatcher(1, wait_seconds, lambda task: task.wait_until)
    context.stack.callback(context.threads.shutdown)
    context.stack.callback(context.ended.set)
    context.threads.add_task(Task(context.ended))


@given("a listener whose only thread is busy, and tasks may wait {seconds:g} s")
def occupy_thread(context, seconds):
    _occupy_thread(context, seconds)


@when("a task is added, and the refusing thread looks at the queue just before")
def add_slowly(context):
    add = ThreadedTaskDispatcher.add_task

    def add_later(self, task):
        time.sleep(ADD_SECONDS)
        add(self, task)

    context.task = Task(context.ended)
    with patch.object(ThreadedTaskDispatcher, "add_task", add_later):
        context.threads.add_task(context.task)


@when("a task that may wait long is added, then one that may wait {seconds:g} s")
def add_two(context, seconds):
    context.threads.add_task(Task(context.ended, time.monotonic() + LONG_SECONDS))
    time.sleep(ADD_SECONDS)
    context.task = Task(context.ended, time.monotonic() + seconds)
    context.threads.add_task(context.task)


@given("a listener whose threads begin {seconds:g} s after their start")
def start_late(context, seconds):
    start = _thread.start_new_thread

    def start_thread(function, arguments):
        def run():
            time.sleep(seconds)
            function(*arguments)

        return start(run, ())

    for module, name in (
        (_thread, "start_new_thread"),
        (threading, "_start_new_thread"),
    ):
        context.stack.enter_context(patch.object(module, name, start_thread))
    context.ended = threading.Event()
    context.threads = GrowingDispatcher(THREADS, LONG_SECONDS)
    context.stack.callback(context.threads.shutdown)
    context.stack.callback(context.ended.set)


@when("{count:d} tasks are added")
def add_many(context, count):
    context.tasks = [Task(context.ended) for _ in range(count)]
    began_at = time.monotonic()
    for task in context.tasks:
        context.threads.add_task(task)
    context.add_seconds = time.monotonic() - began_at


@then("they were added within {seconds:g} s, and all run within {run_seconds:g} s")
def check_added(context, seconds, run_seconds):
    until = time.monotonic() + run_seconds
    for task in context.tasks:
        assert task.has_begun.wait(until - time.monotonic()), "a task does not run"
    assert context.add_seconds < seconds, context.add_seconds


@then("the task is refused within {seconds:g} s")
def check_refused(context, seconds):
    assert context.task.is_refused.wait(seconds), list(context.threads.queue)
