"""Writes records of calls and retries while the platform is unavailable."""

import random
import time
from collections import deque

from sequoiaglade_decisions.idempotency import (
    SHARD_COUNT,
    decode_record,
    is_expired,
    shard_prefix,
)
from sequoiaglade_decisions.outcomes import Failure, FailureCode

from ..threads import OwnedThread
from .once import RECORD_KIND

RETRY_SECONDS = 1.0
PENDING_LIMIT = 512
EXPIRY_SECONDS = 10.0
_FINAL_CODES = (FailureCode.CONFLICT, FailureCode.NOT_FOUND)


class RecordWriter(OwnedThread):
    """A thread that retries writes; a context manager.

    At most `PENDING_LIMIT` writes are pending; a further one replaces the oldest. The
    key of a dropped write gets the response "outcome unknown" after the record's term
    has ended.
    """

    def __init__(self, platform):
        super().__init__("records", join_seconds=None)
        self._platform = platform
        self._pending = deque(maxlen=PENDING_LIMIT)

    def update(self, name, value, version):
        """Replace a record that has `version`."""
        self._write(lambda: self._platform.update(RECORD_KIND, name, value, version))

    def delete(self, name, version):
        """Delete a record that has `version`."""
        self._write(lambda: self._platform.delete(RECORD_KIND, name, version))

    def withdraw(self, name, claim_id):
        """Delete a record whose creation had an unknown outcome, if it exists."""
        self._pending.append(lambda: self._withdraw(name, claim_id))

    def retry(self):
        """Retry each pending write once."""
        for _ in range(len(self._pending)):
            self._write(self._pending.popleft())

    def _run(self):
        while not self._stopped.wait(RETRY_SECONDS):
            self.retry()

    def _write(self, write):
        outcome = write()
        if isinstance(outcome, Failure) and outcome.code not in _FINAL_CODES:
            self._pending.append(write)

    def _withdraw(self, name, claim_id):
        found = self._platform.get(RECORD_KIND, name)
        if isinstance(found, Failure):
            return found
        if decode_record(found.value).claim_id != claim_id:
            return None
        return self._platform.delete(RECORD_KIND, name, found.version)


class RecordExpiry:
    """Deletes records past their retention time, one shard of names at a time."""

    def __init__(self, platform, wall=time.time, random=random):
        self._platform = platform
        self._wall = wall
        self._random = random

    def expire_some(self):
        """Delete the expired records of one random shard."""
        self.expire(shard_prefix(self._random.randrange(SHARD_COUNT)))

    def expire(self, prefix):
        """Delete the expired records whose names start with `prefix`."""
        found = self._platform.list(RECORD_KIND, prefix)
        if isinstance(found, Failure):
            return
        now = self._wall()
        for stored in found:
            if is_expired(decode_record(stored.value), now):
                self._platform.delete(RECORD_KIND, stored.name, stored.version)
