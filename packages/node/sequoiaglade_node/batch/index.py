"""Access to the index of open jobs on the platform."""

import random
import time

from sequoiaglade_decisions.jobs.index import (
    OpenJob,
    add_entry,
    decode_shard,
    remove_entry,
    shard_of,
)
from sequoiaglade_decisions.outcomes import Failure, FailureCode

INDEX_KIND = "open-jobs"
UPDATE_ATTEMPTS = 12
UPDATE_PAUSE_SECONDS = 0.05


class OpenJobIndex:
    """Index of the jobs that have not ended, updated by conditional writes."""

    def __init__(self, platform, sleep=time.sleep):
        self._platform = platform
        self._sleep = sleep

    def add(self, record):
        """Add an entry for a `JobRecord`; return None or a `Failure`."""
        entry = OpenJob(
            record.job_id,
            record.workspace,
            record.due_at,
            record.segment_count,
            time.time(),
        )
        return self._update(record.job_id, lambda data: add_entry(data, entry))

    def remove(self, job_id):
        """Remove the entry of a job; return None or a `Failure`."""
        return self._update(job_id, lambda data: remove_entry(data, job_id))

    def read(self, prefix):
        """Return the `OpenJob` entries of the shards with a prefix, or a `Failure`."""
        found = self._platform.list(INDEX_KIND, prefix)
        if isinstance(found, Failure):
            return found
        return [entry for stored in found for entry in decode_shard(stored.value)]

    def _update(self, job_id, change):
        name = shard_of(job_id)
        failure = None
        for attempt in range(UPDATE_ATTEMPTS):
            if attempt:
                self._sleep(random.uniform(0, UPDATE_PAUSE_SECONDS * attempt))
            failure = self._try_update(name, change)
            if failure is None or failure.code is FailureCode.UNAVAILABLE:
                return failure
        return failure

    def _try_update(self, name, change):
        stored = self._platform.get(INDEX_KIND, name)
        if isinstance(stored, Failure):
            if stored.code is not FailureCode.NOT_FOUND:
                return stored
            data = change(b"")
            if data is None:
                return None
            written = self._platform.create(INDEX_KIND, name, data)
        else:
            data = change(stored.value)
            if data is None:
                return None
            written = self._platform.update(INDEX_KIND, name, data, stored.version)
        return written if isinstance(written, Failure) else None
