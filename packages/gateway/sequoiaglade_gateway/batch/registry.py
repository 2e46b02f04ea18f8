"""Registry of the batch jobs that this node holds.

The holder of a job runs its items and writes its results to the stored list.
"""

import threading
import time

from sequoiaglade_decisions.gateway import (
    Batch,
    JobSummary,
    PageValidity,
    ResultPages,
    StoredJob,
    TokenSource,
    WaitingTokens,
    run_order,
)

from ..clocks import boot_seconds

# Initial value of the average run time of an item: the minimum over the sites.
INITIAL_RUN_SECONDS = 1.0
# A closed job is kept for reads at least so long, a little longer than callers read it.
CLOSED_JOB_SECONDS = 180.0
# Weight of the latest run in the moving average of run times.
RUN_AVERAGE_WEIGHT = 0.1


class HeldJob:
    """A job whose items this node runs or ran, with its listed results.

    `accepted_at` is when this node stored the job as a new one, None for a job that it
    took over. `held_since` is when it was added to the registry.
    """

    def __init__(self, header, spec, route, pages=None, accepted_at=None):
        self.header = header
        self.batch = Batch(
            spec, spec.submitted_at + (route.due_seconds if route else 0)
        )
        self.pages = pages or ResultPages()
        self.accepted_at = accepted_at
        self.held_since = None
        self.closed_at = None
        self.has_bodies = True
        self.route_name = route.name if route else ""
        self.is_marked_finished = header.is_finished
        self.validity = PageValidity(accepted_at)
        self.batch.note_listed(self.pages.results)

    def follow(self, route):
        """Take the route over that the job has in the configuration in force.

        The due time stays that of the first route that the job had here.
        """
        if not self.route_name:
            self.batch.due = self.batch.spec.submitted_at + route.due_seconds
        self.route_name = route.name

    def drop_bodies(self):
        """Release the bodies of the items, if none starts any more."""
        if self.has_bodies and self.batch.drop_bodies():
            self.has_bodies = False
            self.header = self.header._replace(spec=self.batch.spec)

    def is_current(self, contact_since):
        """Return whether `pages` are those of the store; see `PageValidity`."""
        is_complete = self.pages.count >= len(self.batch.spec.items)
        return is_complete or self.validity.is_current(contact_since)

    @property
    def key(self):
        """Key of the job in the store."""
        return self.batch.spec.key


class JobRegistry:
    """All held jobs; `lock` guards the registry and the state of its jobs.

    `clock` also advances while the machine is suspended.
    """

    def __init__(self, clock=boot_seconds):
        self.lock = threading.RLock()
        self.clock = clock
        self._job_by_key = {}
        self._ended_keys = set()
        self._waiting = WaitingTokens()
        self._run_seconds = INITIAL_RUN_SECONDS

    def add(self, job):
        """Add a job, unless it is held already.

        Its end may have become known while the job was read or written.
        """
        with self.lock:
            if job.key in self._ended_keys:
                job.batch.is_ended = True
            job.held_since = self.clock()
            self._job_by_key.setdefault(job.key, job)

    def get(self, key):
        """Return the `HeldJob`, or None."""
        return self._job_by_key.get(key)

    def release(self, key):
        """Remove a job; return it, or None."""
        with self.lock:
            return self._job_by_key.pop(key, None)

    def release_closed(self, job):
        """Release what is not needed of a job that is listed in full, or ended.

        The store has the bodies, and after a while all reads are answered from there.
        Return whether the job is not held any more.
        """
        with self.lock:
            if job.batch.is_open:
                return False
            job.drop_bodies()
            now = self.clock()
            if job.closed_at is None:
                job.closed_at = now
            is_stored = job.is_marked_finished or job.batch.is_ended
            if not is_stored or now - job.closed_at < CLOSED_JOB_SECONDS:
                return False
            return self._job_by_key.pop(job.key, None) is not None

    def end(self, key):
        """Mark a job as ended, so that no item starts.

        Return whether it is held and its end was not known yet.
        """
        with self.lock:
            self._ended_keys.add(key)
            self._waiting.note_done(key, self.clock())
            job = self._job_by_key.get(key)
            if job is None or job.batch.is_ended:
                return False
            job.batch.is_ended = True
            return True

    def is_ended(self, key):
        """Return whether the end of a job is known, also of one that is not held."""
        with self.lock:
            return key in self._ended_keys

    def ended_keys(self):
        """Return the keys of all jobs whose end is known."""
        with self.lock:
            return frozenset(self._ended_keys)

    def jobs(self):
        """Return all held jobs, sorted by due time."""
        with self.lock:
            return sorted(self._job_by_key.values(), key=lambda job: job.batch.due)

    def open_jobs(self):
        """Return the held jobs with unlisted items, in the order of execution."""
        with self.lock:
            jobs_to_run = [
                job for job in self._job_by_key.values() if job.batch.is_open
            ]
        return sorted(jobs_to_run, key=self.sort_key())

    def sort_key(self):
        """Return the current key function that sorts jobs; see `run_order`."""
        now, seconds = time.time(), self._run_seconds
        return lambda job: run_order(job.batch.due, now, seconds)

    def record_run(self, seconds):
        """Add the run time of an item that ran from its first event to the average."""
        self._run_seconds += RUN_AVERAGE_WEIGHT * (seconds - self._run_seconds)

    def summaries(self):
        """Return a `JobSummary` for each held job, to be gossiped to peers."""
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
        """Return the number of unfinished items of all held jobs."""
        with self.lock:
            return sum(job.batch.unfinished_count for job in self._job_by_key.values())

    def note_peer_jobs(self, summaries):
        """Record the waiting tokens of a peer's jobs, as `JobSummary`."""
        with self.lock:
            self._note_jobs(summaries, TokenSource.PEER)

    def note_headers(self, headers, configuration, began_at):
        """Record the headers of all stored jobs, from a read that began at a time."""
        jobs = []
        with self.lock:
            for header in headers:
                spec = header.spec
                route = configuration.match(spec.host, spec.path)
                name = route.name if route else ""
                tokens = sum(item.tokens for item in spec.items)
                is_done = header.is_finished or spec.key in self._ended_keys
                jobs.append(StoredJob(spec.key, spec.workspace, name, tokens, is_done))
            self._waiting.note_stored(jobs, began_at, self.clock())

    def take_tokens(self, summary, limit, share):
        """Return the `Admission` of a job whose tokens count until they are given back.

        The job is a `JobSummary`. `share` is the fraction of what is available that
        this node may use.
        """
        with self.lock:
            self._note_jobs(self.summaries(), TokenSource.OWN)
            return self._waiting.take(
                summary.job_key,
                (summary.workspace, summary.route),
                summary.waiting_tokens,
                limit,
                share,
                self.clock(),
            )

    def give_tokens_back(self, key):
        """Stop counting the tokens of a job that is not stored."""
        with self.lock:
            if key not in self._job_by_key:
                self._waiting.give_back(key)

    def _note_jobs(self, summaries, source):
        now = self.clock()
        for job in summaries:
            scope = (job.workspace, job.route)
            self._waiting.note_job(job.job_key, scope, job.waiting_tokens, source, now)

    def window(self, key, after, bytes_max):
        """Return the number of items and the results from `after`; None if not held."""
        with self.lock:
            job = self._job_by_key.get(key)
            if job is None:
                return None
            total = len(job.batch.spec.items)
            return total, job.pages.window(after, bytes_max)

    def body(self, key, item_id):
        """Return the body of an item as bytes, None if it is not held here."""
        with self.lock:
            job = self._job_by_key.get(key)
            if job is None or not job.has_bodies:
                return None
            item = job.batch.item(item_id)
            return item.body if item else None
