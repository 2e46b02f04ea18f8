"""The batch jobs that this node holds."""

import threading
import time

from sequoiaglade_decisions.gateway import Batch, JobSummary, ResultPages, run_order

# How long a former or second holder's writes may still arrive, in seconds: the store
# may do an unanswered write up to six seconds later.
CONFIRM_SECONDS = 8.0
# Time that an item is taken to run until some have, in seconds: the least of the sites.
RUN_SECONDS_START = 1.0
# Weight of the newest run in the average.
RUN_WEIGHT = 0.1


class HeldJob:
    """A job that this node runs or ran, with its listed results."""

    def __init__(self, header, spec, route, pages=None):
        self.header = header
        self.batch = Batch(
            spec, spec.submitted_at + (route.due_seconds if route else 0)
        )
        self.pages = pages or ResultPages()
        self.route_name = route.name if route else ""
        self.is_marked_finished = header.is_finished
        # Whether the store's pages are known to be as here: no write is unanswered.
        self.is_settled = True
        self.confirm_until = 0.0
        self.batch.note_listed(self.pages.results)

    def confirm_reads(self):
        """Have reads ask the store for a while: another node may list results."""
        self.confirm_until = time.monotonic() + CONFIRM_SECONDS

    @property
    def key(self):
        """Name of the job in the store."""
        return self.batch.spec.key


class JobRegistry:
    """All held jobs; its lock guards them and what they hold."""

    def __init__(self, clock=time.monotonic):
        self.lock = threading.RLock()
        self._clock = clock
        self._job_by_key = {}
        self._run_seconds = RUN_SECONDS_START

    def add(self, job):
        """Hold a job, unless it is held already."""
        with self.lock:
            self._job_by_key.setdefault(job.key, job)

    def get(self, key):
        """Return the `HeldJob`, or None."""
        return self._job_by_key.get(key)

    def release(self, key):
        """Hold a job no longer; return it, or None."""
        with self.lock:
            return self._job_by_key.pop(key, None)

    def end(self, key):
        """Start no further item of a job; return whether it is held."""
        with self.lock:
            job = self._job_by_key.get(key)
            if job is not None:
                job.batch.is_ended = True
            return job is not None

    def jobs(self):
        """Return all held jobs, those that are due first in front."""
        with self.lock:
            return sorted(self._job_by_key.values(), key=lambda job: job.batch.due)

    def open_jobs(self):
        """Return the held jobs that have unlisted items, in the order to run them."""
        with self.lock:
            open_ones = [job for job in self._job_by_key.values() if job.batch.is_open]
        return sorted(open_ones, key=self.order())

    def order(self):
        """Return the key by which jobs are sorted now; see `run_order`."""
        now, seconds = time.time(), self._run_seconds
        return lambda job: run_order(job.batch.due, now, seconds)

    def note_run(self, seconds):
        """Take how long an item ran from its first event to its last."""
        self._run_seconds += RUN_WEIGHT * (seconds - self._run_seconds)

    def summaries(self):
        """Return a `JobNote` for each held job, to tell peers."""
        with self.lock:
            return tuple(
                JobSummary(
                    job.key,
                    job.batch.spec.workspace,
                    job.route_name,
                    job.batch.waiting_tokens,
                    job.batch.is_open,
                )
                for job in self._job_by_key.values()
            )

    def backlog(self):
        """Return the number of unfinished items over all held jobs."""
        with self.lock:
            return sum(job.batch.unfinished_count for job in self._job_by_key.values())

    def waiting_tokens(self, workspace, route_name):
        """Return the unfinished tokens of a workspace on a route."""
        with self.lock:
            return sum(
                job.batch.waiting_tokens
                for job in self._job_by_key.values()
                if (job.batch.spec.workspace, job.route_name) == (workspace, route_name)
            )

    def window(self, key, after, size_max):
        """Return the total and the results from `after`, or None if not held."""
        with self.lock:
            job = self._job_by_key.get(key)
            if job is None:
                return None
            total = len(job.batch.spec.items)
            return total, job.pages.window(after, size_max)

    def body(self, key, item_id):
        """Return an item's bytes, or None."""
        with self.lock:
            job = self._job_by_key.get(key)
            item = job and job.batch.item(item_id)
            return item.body if item else None
