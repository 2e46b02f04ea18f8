"""Versioned in-memory object store with watches."""

import threading
from typing import NamedTuple


class Entry(NamedTuple):
    """Value of an object at a version; None for a deleted object."""

    version: int
    value: bytes | None


class Store:
    """Objects by kind and name. All kinds share one version counter."""

    def __init__(self):
        self._changed = threading.Condition()
        self._entries_by_kind = {}
        self._version = 0

    def get(self, kind, name):
        """Return the `Entry`, or None."""
        with self._changed:
            entry = self._entries_by_kind.get(kind, {}).get(name)
        return entry if entry is not None and entry.value is not None else None

    def list(self, kind, prefix):
        """Return pairs of name and `Entry`, sorted by name."""
        with self._changed:
            entries = dict(self._entries_by_kind.get(kind, {}))
        return sorted(
            (name, entry)
            for name, entry in entries.items()
            if name.startswith(prefix) and entry.value is not None
        )

    def put(self, kind, name, value, expected):
        """Write the value if the version is `expected` (0: absent).

        Return the new version, or None if the version is another.
        """
        with self._changed:
            entries = self._entries_by_kind.setdefault(kind, {})
            entry = entries.get(name)
            is_absent = entry is None or entry.value is None
            current = 0 if is_absent else entry.version
            if current != expected:
                return None
            self._version += 1
            entries[name] = Entry(self._version, value)
            self._changed.notify_all()
            return self._version

    def wait(self, kind, since, timeout):
        """Wait for changes after version `since`; return them and the last version."""
        with self._changed:
            self._changed.wait_for(lambda: self._changes(kind, since), timeout)
            return self._changes(kind, since), self._version

    def _changes(self, kind, since):
        entries = self._entries_by_kind.get(kind, {})
        return sorted(
            (entry.version, name, entry.value is None)
            for name, entry in entries.items()
            if entry.version > since
        )
