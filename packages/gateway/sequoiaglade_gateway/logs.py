"""Logging to standard output that never blocks and is bounded in volume."""

import collections
import json
import sys
import threading
import time

from sequoiaglade_node.logs import configure_logs

# Lines that wait to be written; further lines are dropped and counted.
MAX_QUEUED_LINES = 4096
# Mean rate at which lines are accepted; a burst may have MAX_QUEUED_LINES lines.
MAX_LINES_PER_SECOND = 400.0


class BoundedStream:
    """A text stream whose thread writes to standard output; a context manager.

    A token bucket limits the rate of lines.
    """

    def __init__(self, target=None):
        self._target = target or sys.stdout
        self._lines = collections.deque()
        self._has_lines = threading.Event()
        self._is_stopped = False
        self._dropped_count = 0
        self._tokens = float(MAX_QUEUED_LINES)
        self._refilled_at = time.monotonic()
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._is_stopped = True
        self._has_lines.set()
        self._thread.join(1.0)

    def write(self, text):
        """Queue a line, or count it as dropped."""
        now = time.monotonic()
        gained = (now - self._refilled_at) * MAX_LINES_PER_SECOND
        self._tokens = min(MAX_QUEUED_LINES, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1 or len(self._lines) >= MAX_QUEUED_LINES:
            self._dropped_count += 1
            return
        self._tokens -= 1
        self._lines.append(text)
        self._has_lines.set()

    def flush(self):
        """Do nothing: the thread flushes the target."""

    def _run(self):
        while not self._is_stopped or self._lines:
            self._has_lines.wait()
            self._has_lines.clear()
            self._write_queued()

    def _write_queued(self):
        parts = []
        while self._lines:
            parts.append(self._lines.popleft())
        dropped, self._dropped_count = self._dropped_count, 0
        if dropped:
            line = {"event": "log lines dropped", "count": dropped, "level": "warning"}
            parts.append(json.dumps(line) + "\n")
        self._target.write("".join(parts))
        self._target.flush()


def start_logs(stack, level, node_id):
    """Write structlog's lines to a `BoundedStream` that closes with `stack`."""
    stream = stack.enter_context(BoundedStream())
    return configure_logs(level, node_id, stream)
