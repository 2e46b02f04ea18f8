"""Logs to standard output that never block and are bounded in volume."""

import collections
import json
import sys
import threading
import time

from sequoiaglade_node.logs import configure_logs

# Lines that wait to be written; beyond it the newest are dropped and counted.
QUEUE_LINES = 4096
# Lines a second that a node writes on average; a burst may take the queue's length.
LINES_PER_SECOND = 400.0


class BoundedStream:
    """A text stream that a thread writes to standard output; a context manager."""

    def __init__(self, target=None):
        self._target = target or sys.stdout
        self._lines = collections.deque()
        self._wanted = threading.Event()
        self._is_stopped = False
        self._dropped = 0
        self._allowance = float(QUEUE_LINES)
        self._allowed_at = time.monotonic()
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._is_stopped = True
        self._wanted.set()
        self._thread.join(1.0)

    def write(self, text):
        """Queue a line, or count it as dropped."""
        now = time.monotonic()
        gained = (now - self._allowed_at) * LINES_PER_SECOND
        self._allowance = min(QUEUE_LINES, self._allowance + gained)
        self._allowed_at = now
        if self._allowance < 1 or len(self._lines) >= QUEUE_LINES:
            self._dropped += 1
            return
        self._allowance -= 1
        self._lines.append(text)
        self._wanted.set()

    def flush(self):
        """Do nothing: the thread flushes."""

    def _run(self):
        while not self._is_stopped or self._lines:
            self._wanted.wait()
            self._wanted.clear()
            self._write_waiting()

    def _write_waiting(self):
        parts = []
        while self._lines:
            parts.append(self._lines.popleft())
        dropped, self._dropped = self._dropped, 0
        if dropped:
            line = {"event": "log lines dropped", "count": dropped, "level": "warning"}
            parts.append(json.dumps(line) + "\n")
        self._target.write("".join(parts))
        self._target.flush()


def start_logs(stack, level, node_id):
    """Write structlog's lines to a `BoundedStream` that ends with `stack`."""
    stream = stack.enter_context(BoundedStream())
    return configure_logs(level, node_id, stream)
