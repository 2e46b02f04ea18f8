"""The node's journal: bounded in memory, and in rotated files if there is a disk.

Lines are buffered for up to a second before they are written, so that no request waits
for a disk. After a disk error the journal continues in memory only.
"""

import logging.handlers
import os
import threading
import time

from sequoiaglade_decisions.journal import CompressedLineBuffer, Decision

from .actors.timers import Timer

RING_BYTES = 2_097_152
FILE_BYTES = 8_388_608
FILE_COUNT = 4
FLUSH_SECONDS = 1.0
FOLDER = "journal"
FILE_NAME = "decisions.jsonl"


class Journal:
    """Records the decisions of `node_id`; a context manager that owns its files."""

    def __init__(self, node_id, data_folder=None, clock=time.time):
        self.node_id = node_id
        self._clock = clock
        self._ring = CompressedLineBuffer(RING_BYTES)
        self._lock = threading.Lock()
        self._unwritten = []
        self._path = _journal_path(data_folder)
        self._handler = _file_handler(self._path)
        self._timer = Timer(FLUSH_SECONDS, self.flush, "journal")

    def __enter__(self):
        self._timer.__enter__()
        return self

    def __exit__(self, *exc_info):
        self._timer.__exit__(*exc_info)
        self.flush()
        if self._handler is not None:
            self._handler.close()

    def record(self, concern, subject, rule, outcome, **inputs):
        """Record a `Decision` about `subject`."""
        decision = Decision(
            self._clock(), self.node_id, concern, subject, rule, outcome, inputs
        )
        line = decision.encode()
        with self._lock:
            self._ring.append(line)
            if self._handler is not None:
                self._unwritten.append(line)

    def about(self, subject):
        """Return the stored decisions about `subject`, oldest first."""
        self.flush()
        with self._lock:
            lines = self._ring.lines()
        decisions = {}
        marks = (subject, *(f'"subject":"{name}"' for name in _owners(subject)))
        for line in (*self._file_lines(), *lines):
            if any(mark in line for mark in marks):
                decisions[line] = Decision.decode(line)
        return [
            decision for decision in decisions.values() if decision.is_about(subject)
        ]

    def flush(self):
        """Write the buffered lines to the disk, if there is one."""
        with self._lock:
            lines, self._unwritten = self._unwritten, []
        for line in lines:
            self._write(line)

    def _write(self, line):
        if self._handler is None:
            return
        try:
            self._handler.emit(logging.makeLogRecord({"msg": line}))
        except OSError:
            self._handler = None

    def _file_lines(self):
        if self._path is None:
            return
        names = [f"{self._path}.{n}" for n in range(FILE_COUNT, 0, -1)]
        for name in (*names, self._path):
            try:
                with open(name, encoding="utf-8") as file:
                    yield from (line.rstrip("\n") for line in file if line[-1:] == "\n")
            except (OSError, UnicodeDecodeError):
                continue


class _RaisingHandler(logging.handlers.RotatingFileHandler):
    def handleError(self, record):  # noqa: N802
        raise


def _owners(subject):
    """Return the ids of the job and the segment that an item's id names."""
    parts = subject.split(".")
    return [".".join(parts[:count]) for count in range(1, len(parts))]


def _journal_path(data_folder):
    if data_folder is None:
        return None
    return os.path.join(data_folder, FOLDER, FILE_NAME)


def _file_handler(path):
    if path is None:
        return None
    try:
        os.makedirs(os.path.dirname(path), exist_ok=True)
        return _RaisingHandler(path, maxBytes=FILE_BYTES, backupCount=FILE_COUNT)
    except OSError:
        return None
