"""The platform's store in memory, with writes that take effect late."""

import json
from collections import Counter
from typing import Any, NamedTuple

from sequoiaglade_gateway.batch.storage import RESULTS_KIND

from sequoiaglade_decisions.outcomes import Failure, FailureCode
from sequoiaglade_platform.documents import Document, Listing


class LateWrite(NamedTuple):
    """A write without an answer, which takes effect at `due` if it still can."""

    due: float
    kind: str
    name: str
    revision: int | None
    value: Any


class MemoryStore:
    """Documents with conditional writes; some writes take effect late."""

    def __init__(self):
        self.revision = 1
        self._document_by_key = {}
        self._late_writes = []

    def get(self, kind, name):
        """Return a `Document`, or a `Failure`."""
        found = self._document_by_key.get((kind, name))
        return found or Failure(FailureCode.NOT_FOUND, f"{kind}/{name} does not exist")

    def list(self, kind):
        """Return the `Listing` of a kind."""
        rows = sorted(self._document_by_key.items(), key=lambda row: row[0])
        return Listing([d for (k, _), d in rows if k == kind], self.revision)

    def write(self, kind, name, revision, value):
        """Write a document whose revision is `revision`, None for a new one."""
        known = self._document_by_key.get((kind, name))
        if (known and known.revision) != revision:
            return Failure(FailureCode.CONFLICT, f"{kind}/{name} was changed")
        self.revision += 1
        document = Document(name, self.revision, json.loads(json.dumps(value)))
        self._document_by_key[kind, name] = document
        return document

    def write_late(self, late_write):
        """Apply a write at a later time, if its condition still holds by then."""
        self._late_writes.append(late_write)

    def apply_due(self, now):
        """Apply the late writes that are due."""
        due = [w for w in self._late_writes if w.due <= now]
        self._late_writes = [w for w in self._late_writes if w.due > now]
        for late_write in sorted(due, key=lambda w: w.due):
            self.write(*late_write[1:])


class MemoryStoreAccess:
    """One gateway's access to the store, which may be cut off."""

    def __init__(self, store, clock):
        self._store = store
        self._clock = clock
        self.is_reachable = True
        self.call_count = 0
        # Whether reads that may be outdated show no documents.
        self.is_outdated = False
        self.outdated_reads = Counter()
        self.lists = Counter()
        # Delays until the next writes of result pages take effect, unanswered.
        self.late_seconds = []

    def get(self, kind, name, may_be_outdated=False):
        self.outdated_reads[kind] += may_be_outdated
        store = MemoryStore() if may_be_outdated and self.is_outdated else self._store
        return self._call(store.get, kind, name)

    def list(self, kind, may_be_outdated=False):
        self.lists[kind] += 1
        self.outdated_reads[kind] += may_be_outdated
        store = MemoryStore() if may_be_outdated and self.is_outdated else self._store
        return self._call(store.list, kind)

    def create(self, kind, name, value, seconds=None):
        return self._write(kind, name, None, value)

    def replace(self, kind, name, value, revision):
        return self._write(kind, name, revision, value)

    def _write(self, kind, name, revision, value):
        if kind == RESULTS_KIND and self.is_reachable and self.late_seconds:
            due = self._clock() + self.late_seconds.pop(0)
            self._store.write_late(LateWrite(due, kind, name, revision, value))
            self._store.apply_due(self._clock())
            return Failure(FailureCode.UNKNOWN, "timed out")
        return self._call(self._store.write, kind, name, revision, value)

    def _call(self, method, *arguments):
        self.call_count += 1
        if not self.is_reachable:
            return Failure(FailureCode.UNAVAILABLE, "the store is cut off")
        return method(*arguments)
