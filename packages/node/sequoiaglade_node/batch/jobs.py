"""Job records, stored on the platform."""

import time
import uuid

from sequoiaglade_decisions.jobs import (
    JobRecord,
    JobState,
    job_id_for,
    job_name,
    window_seconds,
)
from sequoiaglade_decisions.outcomes import Failure, FailureCode, Refusal, RefusalCode

from .listing import JOB_KIND, JobListing
from .refusals import is_name_taken, platform_refusal, uncertain_write_refusal

CANCEL_KIND = "job-cancels"
ENTRY_GRACE_SECONDS = 120.0
UPDATE_ATTEMPTS = 8


class JobStore:
    """Creates, reads, cancels and ends jobs on the platform."""

    def __init__(self, platform, index):
        self._platform = platform
        self._index = index
        self._listing = JobListing(platform)

    def create(self, file, path, window, metadata, idempotency_key):
        """Create a job for a file; return its `JobRecord` or a `Refusal`.

        The entries in the listing and in the index of open jobs are written before the
        record. Workers remove an index entry without a job after `ENTRY_GRACE_SECONDS`,
        whereas a job without entries would neither run nor be listed.
        """
        requested = _new_record(file, path, window, metadata, idempotency_key)
        if idempotency_key:
            existing = self.get(requested.workspace, requested.job_id)
            if not isinstance(existing, Refusal):
                return self._existing_job(existing[0], requested)
            if existing.code is not RefusalCode.NOT_FOUND:
                return existing
        started_at = time.monotonic()
        page_number = self._listing.add(requested.workspace, requested.job_id)
        if isinstance(page_number, Failure):
            return platform_refusal(page_number)
        requested = requested._replace(page_number=page_number)
        failure = self._index.add(requested)
        if failure is not None:
            return platform_refusal(failure)
        name = job_name(requested.workspace, requested.job_id)
        stored = self._platform.create(JOB_KIND, name, requested.encode())
        if is_name_taken(stored):
            existing = self.get(requested.workspace, requested.job_id)
            return (
                existing
                if isinstance(existing, Refusal)
                else self._existing_job(existing[0], requested)
            )
        if isinstance(stored, Failure):
            return uncertain_write_refusal(stored)
        if time.monotonic() - started_at > ENTRY_GRACE_SECONDS / 4:
            return self._existing_job(requested, requested)
        return requested

    def get(self, workspace, job_id):
        """Return the pair of `JobRecord` and version, or a `Refusal`."""
        stored = self.read(workspace, job_id)
        match stored:
            case Failure(code=FailureCode.NOT_FOUND):
                reason = f"batch {job_id!r} does not exist"
                return Refusal(RefusalCode.NOT_FOUND, reason)
            case Failure():
                return platform_refusal(stored)
        return stored

    def read(self, workspace, job_id):
        """Return the pair of `JobRecord` and version, or a `Failure`."""
        stored = self._platform.get(JOB_KIND, job_name(workspace, job_id))
        if isinstance(stored, Failure):
            return stored
        return JobRecord.decode(stored.value), stored.version

    def list(self, workspace, limit, after_id=None):
        """Return the `JobList` of a workspace's newest jobs, or a `Refusal`.

        With `after_id`, only jobs older than that job are listed.
        """
        after = None
        if after_id is not None:
            found = self.get(workspace, after_id)
            if isinstance(found, Refusal):
                return found
            after = found[0]
        return self._listing.read(workspace, limit, after)

    def cancel(self, workspace, job_id):
        """Cancel a job; return its `JobRecord` or a `Refusal`.

        The cancellation is accepted once the record is in the cancelling state and the
        cancel marker, which every node watches, exists. Both writes are idempotent.
        """
        for _ in range(UPDATE_ATTEMPTS):
            found = self.get(workspace, job_id)
            if isinstance(found, Refusal):
                return found
            record, version = found
            if record.is_final:
                return record
            if record.state == JobState.CANCELLING.value:
                return self._write_cancel_marker(record)
            cancelling = record._replace(
                state=JobState.CANCELLING.value, cancelling_at=time.time()
            )
            stored = self.replace(cancelling, version)
            if isinstance(stored, Failure) and stored.code is FailureCode.UNAVAILABLE:
                return platform_refusal(stored)
        return Refusal(
            RefusalCode.PLATFORM_UNAVAILABLE,
            "the job record was changed concurrently too often",
            1.0,
        )

    def replace(self, record, version):
        """Replace the record of a job if its version is still `version`."""
        name = job_name(record.workspace, record.job_id)
        return self._platform.update(JOB_KIND, name, record.encode(), version)

    def end(self, record, version, totals):
        """Write the final record of a job and remove its index entry.

        A job in the cancelling state ends as cancelled, any other as completed. Return
        None or a `Failure`.
        """
        is_cancelled = record.state == JobState.CANCELLING.value
        state = JobState.CANCELLED if is_cancelled else JobState.COMPLETED
        final = record.with_totals(totals)
        final = final._replace(state=state.value, ended_at=time.time())
        stored = self.replace(final, version)
        return stored if isinstance(stored, Failure) else self.remove_open_entry(final)

    def remove_open_entry(self, record):
        """Remove the index entry and the cancel marker of a job that has ended."""
        failure = self._index.remove(record.job_id)
        if failure is None and record.cancelling_at is not None:
            marker = self._platform.get(CANCEL_KIND, record.job_id)
            if not isinstance(marker, Failure):
                self._platform.delete(CANCEL_KIND, record.job_id, marker.version)
        return failure

    def _existing_job(self, existing, requested):
        if not existing.is_same_request(requested):
            reason = "the idempotency key was already used for a different batch"
            return Refusal(RefusalCode.CONFLICT, reason)
        failure = None if existing.is_final else self._index.add(existing)
        return existing if failure is None else platform_refusal(failure)

    def _write_cancel_marker(self, record):
        stored = self._platform.create(CANCEL_KIND, record.job_id, b"")
        if isinstance(stored, Failure) and not is_name_taken(stored):
            return uncertain_write_refusal(stored)
        return record


def _new_record(file, path, window, metadata, idempotency_key):
    now = time.time()
    return JobRecord(
        job_id_for(file.workspace, idempotency_key or uuid.uuid4().hex),
        file.workspace,
        file.file_id,
        file.digest,
        path,
        JobState.IN_PROGRESS.value,
        file.item_count,
        file.segment_count,
        now,
        window,
        now + window_seconds(window),
        metadata=metadata,
    )
