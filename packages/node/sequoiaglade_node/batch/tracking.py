"""Open jobs known to this node."""

import time
from collections import OrderedDict

from sequoiaglade_decisions.jobs import (
    JobProgress,
    JobState,
    node_shard_prefix,
    shard_of,
)
from sequoiaglade_decisions.jobs.index import SHARD_BITS, poll_seconds
from sequoiaglade_decisions.outcomes import Failure, FailureCode

from .jobs import ENTRY_GRACE_SECONDS

REFRESH_MIN_SECONDS = 0.5
REFRESH_MAX_SECONDS = 8.0
CLOSE_DELAY_SECONDS = 3.0
MAX_KNOWN_CANCELS = 10_000


class TrackedJob:
    """An open job and this node's view of its segments."""

    def __init__(self, record, version, progress):
        self.record = record
        self.version = version
        self.progress = progress
        self.refreshed_at = 0.0
        self.next_refresh_at = 0.0
        self.refresh_seconds = REFRESH_MIN_SECONDS
        self.cancelled_at = None
        self.needs_refresh = True

    def request_refresh(self):
        """Schedule an early refresh of the headers and reset the refresh interval."""
        self.needs_refresh = True
        self.refresh_seconds = REFRESH_MIN_SECONDS
        self.next_refresh_at = min(
            self.next_refresh_at, self.refreshed_at + REFRESH_MIN_SECONDS / 2
        )

    @property
    def is_cancelling(self):
        """Whether no further segment may be claimed."""
        return self.cancelled_at is not None


class JobTracker:
    """Finds open jobs, refreshes their progress, and ends those that are finished.

    While the node is idle, it reads a larger part of the index at each poll: the prefix
    of its shards gets one bit shorter each time (`_widen_bits`).
    """

    def __init__(self, jobs, index, work, settings, clock=time.monotonic):
        self._jobs = jobs
        self._index = index
        self._work = work
        self._node_id = settings.node_id
        self._lease_seconds = settings.limits.batch_lease_seconds
        self._clock = clock
        self._tracked_by_id = {}
        self._missing_since = {}
        self._cancelled = OrderedDict()
        self._next_poll_at = 0.0
        self._widen_bits = 0
        self.node_count = 1

    def tracked(self):
        """Return a list of the `TrackedJob` values."""
        return list(self._tracked_by_id.values())

    def get(self, job_id):
        """Return the `TrackedJob`, or None."""
        return self._tracked_by_id.get(job_id)

    def seconds_to_poll(self):
        """Return the seconds until the next poll of the index; 0 if it is due."""
        return max(0.0, self._next_poll_at - self._clock())

    def poll(self, is_idle):
        """Read this node's part of the index if a poll is due."""
        now = self._clock()
        if now < self._next_poll_at:
            return
        self._next_poll_at = now + poll_seconds(self.node_count)
        self._widen_bits = min(SHARD_BITS, self._widen_bits + 1) if is_idle else 0
        prefix = node_shard_prefix(self._node_id, self.node_count)
        prefix = prefix[: max(0, len(prefix) - self._widen_bits)]
        entries = self._index.read(prefix)
        if isinstance(entries, Failure):
            return
        for entry in entries:
            if entry.job_id not in self._tracked_by_id:
                self._track(entry, now)
        self._forget_ended(prefix, {entry.job_id for entry in entries})

    def refresh(self, tracked):
        """Read the headers of a job if a refresh is due."""
        now = self._clock()
        if now < tracked.next_refresh_at:
            return
        tracked.refreshed_at = now
        tracked.refresh_seconds = min(REFRESH_MAX_SECONDS, tracked.refresh_seconds * 2)
        pause = min(tracked.refresh_seconds, self._lease_seconds / 4)
        tracked.next_refresh_at = now + pause
        headers = self._work.headers(tracked.record.job_id)
        if not isinstance(headers, Failure):
            tracked.needs_refresh = False
            tracked.progress.observe(headers, self._clock())

    def cancel(self, job_id):
        """Note that a job was cancelled."""
        self._cancelled[job_id] = None
        while len(self._cancelled) > MAX_KNOWN_CANCELS:
            self._cancelled.popitem(last=False)
        tracked = self._tracked_by_id.get(job_id)
        if tracked is not None and not tracked.is_cancelling:
            tracked.cancelled_at = self._clock()
            tracked.request_refresh()

    def end_finished(self, tracked):
        """End the job if all its segments are final, or closed after a cancel."""
        if tracked.is_cancelling:
            self._close_expired(tracked)
            waited = self._clock() - tracked.cancelled_at
            if waited < CLOSE_DELAY_SECONDS or tracked.progress.has_holders:
                return
        elif not tracked.progress.is_finished:
            return
        job = tracked.record
        found = self._jobs.read(job.workspace, job.job_id)
        if isinstance(found, Failure):
            return
        record, version = found
        if record.is_final:
            if self._jobs.remove_open_entry(record) is None:
                del self._tracked_by_id[job.job_id]
            return
        if record.state == JobState.CANCELLING.value and not tracked.is_cancelling:
            self.cancel(job.job_id)
        if self._jobs.end(record, version, tracked.progress.totals) is None:
            self._tracked_by_id.pop(job.job_id, None)

    def _track(self, entry, now):
        found = self._jobs.read(entry.workspace, entry.job_id)
        if isinstance(found, Failure):
            if found.code is FailureCode.NOT_FOUND:
                self._remove_dangling(entry.job_id, now)
            return
        record, version = found
        if record.is_final:
            self._jobs.remove_open_entry(record)
            return
        progress = JobProgress(
            record.job_id, record.segment_count, self._node_id, self._lease_seconds
        )
        self._missing_since.pop(entry.job_id, None)
        self._tracked_by_id[entry.job_id] = TrackedJob(record, version, progress)
        is_cancelling = record.state == JobState.CANCELLING.value
        if is_cancelling or entry.job_id in self._cancelled:
            self.cancel(entry.job_id)

    def _remove_dangling(self, job_id, now):
        since = self._missing_since.setdefault(job_id, now)
        if now - since > ENTRY_GRACE_SECONDS and self._index.remove(job_id) is None:
            del self._missing_since[job_id]

    def _forget_ended(self, prefix, listed_ids):
        for job_id in list(self._tracked_by_id):
            if shard_of(job_id).startswith(prefix) and job_id not in listed_ids:
                del self._tracked_by_id[job_id]

    def _close_expired(self, tracked):
        self.refresh(tracked)
        for candidate in tracked.progress.closable_segments(self._clock()):
            self._work.close(tracked.record.job_id, candidate)
            tracked.next_refresh_at = 0.0
