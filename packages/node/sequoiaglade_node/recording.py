"""Recordings of the decision machines' events, for replays.

If the setting ``recording_folder`` is set, every event of a recorded machine is written
with its outcome to the file ``NODE-MACHINE.jsonl`` in that folder. A recording contains
no bodies and no keys, but it grows with each event, so it is meant for about an
hour of tracing and not for permanent use.
"""

import importlib
import os
import threading

from sequoiaglade_decisions.journal import Recorder

RECORDING_MAX_BYTES = 268_435_456
_PACKAGE = "sequoiaglade_decisions"


class Recordings:
    """Creates machines, recorded if a folder is set; a context manager."""

    def __init__(self, node_id, folder=None):
        self._node_id = node_id
        self._folder = folder
        self._files = []

    def __enter__(self):
        if self._folder is not None:
            os.makedirs(self._folder, exist_ok=True)
        return self

    def __exit__(self, *exc_info):
        for file in self._files:
            file.close()

    def machine(self, factory, *arguments):
        """Return a machine of the class `factory`, given as ``module:Class``."""
        if self._folder is None:
            module, _, name = factory.partition(":")
            kind = getattr(importlib.import_module(f"{_PACKAGE}.{module}"), name)
            return kind(*arguments)
        name = f"{self._node_id}-{factory.partition(':')[2].lower()}.jsonl"
        file = _BoundedFile(os.path.join(self._folder, name))
        self._files.append(file)
        return Recorder(factory, file.write_line, *arguments)


class _BoundedFile:
    """File of lines that ignores further lines at its maximum size."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._left = RECORDING_MAX_BYTES
        self._lock = threading.Lock()

    def write_line(self, line):
        with self._lock:
            self._left -= len(line) + 1
            if self._left >= 0:
                self._file.write(line + "\n")

    def close(self):
        with self._lock:
            self._left = 0
            self._file.close()
