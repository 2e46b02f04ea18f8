"""Job ids of a workspace in order of creation, stored in numbered pages.

Ids are appended to the newest page, which is one object; once full, it is stored under
its number and a new page is started. Listing jobs thus reads only the pages it shows.
"""

import json
from typing import NamedTuple

PAGE_MAX_JOBS = 100


class JobIdPage(NamedTuple):
    """A page with its number, starting from 0, and its job ids, oldest first."""

    number: int = 0
    job_ids: tuple[str, ...] = ()

    @property
    def is_full(self):
        """Whether the next job goes to a new page."""
        return len(self.job_ids) >= PAGE_MAX_JOBS

    def with_job(self, job_id):
        """Return the page with the job appended, or a new page if this one is full.

        >>> JobIdPage(0, ("batch_1",)).with_job("batch_2")
        JobIdPage(number=0, job_ids=('batch_1', 'batch_2'))
        >>> JobIdPage(0, ("batch_1",) * PAGE_MAX_JOBS).with_job("batch_2")
        JobIdPage(number=1, job_ids=('batch_2',))
        """
        if self.is_full:
            return JobIdPage(self.number + 1, (job_id,))
        return self._replace(job_ids=(*self.job_ids, job_id))

    def before(self, job_id):
        """Return the ids older than the job, newest first.

        All ids of the page are returned if the job is not on it.

        >>> JobIdPage(0, ("batch_1", "batch_2", "batch_3")).before("batch_3")
        ('batch_2', 'batch_1')
        """
        newest_first = self.job_ids[::-1]
        if job_id not in newest_first:
            return newest_first
        return newest_first[newest_first.index(job_id) + 1 :]

    def encode(self):
        """Return the JSON bytes of the page."""
        return json.dumps(self, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data):
        """Return the page encoded as `data`."""
        number, job_ids = json.loads(data)
        return cls(number, tuple(job_ids))
