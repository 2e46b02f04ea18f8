"""Lists the jobs of a workspace, newest first, with a bounded number of reads."""

import random
import time
from typing import NamedTuple

from sequoiaglade_decisions.jobs import JobIdPage, JobRecord, job_name
from sequoiaglade_decisions.outcomes import Failure, FailureCode

from .refusals import is_name_taken, platform_refusal

JOB_KIND = "jobs"
PAGE_KIND = "job-pages"
PAGES_PER_LIST = 4
UPDATE_ATTEMPTS = 12
UPDATE_PAUSE_SECONDS = 0.05


class JobList(NamedTuple):
    """Jobs of a workspace, newest first, and whether there are older ones."""

    records: list[JobRecord]
    has_more: bool


class JobListing:
    """Pages of job ids by workspace, stored on the platform."""

    def __init__(self, platform, sleep=time.sleep):
        self._platform = platform
        self._sleep = sleep

    def add(self, workspace, job_id):
        """Add a job id before the job is created.

        Return the number of its page or a `Failure`. If the creation then fails, the id
        has no job, or a retry adds it to another page too; `read` skips such ids.
        """
        failure = None
        for attempt in range(UPDATE_ATTEMPTS):
            if attempt:
                self._sleep(random.uniform(0, UPDATE_PAUSE_SECONDS * attempt))
            added = self._try_add(workspace, job_id)
            if not isinstance(added, Failure):
                return added
            failure = added
            if failure.code is FailureCode.UNAVAILABLE:
                return failure
        return failure

    def read(self, workspace, limit, after=None):
        """Return the `JobList` of up to `limit` jobs, or a `Refusal`.

        With `after`, a `JobRecord`, only older jobs are listed. At most
        `PAGES_PER_LIST` pages and one record per id on them are read, so the list may
        be shorter than `limit` if many ids have no job.
        """
        page = self._newest_page(workspace)
        if after is not None and not isinstance(page, Failure):
            if page.number != after.page_number:
                page = self._full_page(workspace, after.page_number)
        records = []
        last_id = after and after.job_id
        for _ in range(PAGES_PER_LIST):
            if isinstance(page, Failure):
                return platform_refusal(page)
            ids = page.before(last_id)
            for job_id in ids:
                if len(records) == limit:
                    return JobList(records, True)
                record = self._record(workspace, job_id)
                if isinstance(record, Failure):
                    return platform_refusal(record)
                if record is not None and record.page_number == page.number:
                    records.append(record)
            if page.number == 0:
                return JobList(records, False)
            page = self._full_page(workspace, page.number - 1)
        return JobList(records, True)

    def _try_add(self, workspace, job_id):
        stored = self._platform.get(PAGE_KIND, workspace)
        if isinstance(stored, Failure):
            if stored.code is not FailureCode.NOT_FOUND:
                return stored
            page = JobIdPage().with_job(job_id)
            written = self._platform.create(PAGE_KIND, workspace, page.encode())
            return written if isinstance(written, Failure) else page.number
        page = JobIdPage.decode(stored.value)
        if job_id in page.job_ids:
            return page.number
        if page.is_full:
            name = _full_page_name(workspace, page.number)
            archived = self._platform.create(PAGE_KIND, name, stored.value)
            if isinstance(archived, Failure) and not is_name_taken(archived):
                return archived
        extended = page.with_job(job_id)
        written = self._platform.update(
            PAGE_KIND, workspace, extended.encode(), stored.version
        )
        return written if isinstance(written, Failure) else extended.number

    def _newest_page(self, workspace):
        stored = self._platform.get(PAGE_KIND, workspace)
        if isinstance(stored, Failure):
            is_missing = stored.code is FailureCode.NOT_FOUND
            return JobIdPage() if is_missing else stored
        return JobIdPage.decode(stored.value)

    def _full_page(self, workspace, number):
        stored = self._platform.get(PAGE_KIND, _full_page_name(workspace, number))
        return stored if isinstance(stored, Failure) else JobIdPage.decode(stored.value)

    def _record(self, workspace, job_id):
        stored = self._platform.get(JOB_KIND, job_name(workspace, job_id))
        if isinstance(stored, Failure):
            is_missing = stored.code is FailureCode.NOT_FOUND
            return None if is_missing else stored
        return JobRecord.decode(stored.value)


def _full_page_name(workspace, number):
    return f"{workspace}.{number}"
