"""Lists finished results in the store, from where they are read."""

import threading

import structlog

from sequoiaglade_decisions.outcomes import Failure, FailureCode
from sequoiaglade_node.threads import OwnedThread

# Pause after the store failed, in seconds: a fraction of what callers wait.
RETRY_SECONDS = 0.4
# Longest pause between looks for results, in seconds.
IDLE_SECONDS = 1.0
# Results that finish within this time are written together, in seconds.
GATHER_SECONDS = 0.02


class ResultWriter(OwnedThread):
    """One thread that writes the pages of results; a context manager.

    A result is shown to callers only once its page is written, so that it never
    changes or vanishes afterwards.
    """

    def __init__(self, board, storage):
        super().__init__("result writer")
        self._board = board
        self._storage = storage
        self._log = structlog.get_logger()
        self._is_failing = False
        self._wanted = threading.Event()

    def wake(self):
        """List soon what is finished."""
        self._wanted.set()

    def write_waiting(self):
        """List all results that are finished; return whether none is left."""
        done = True
        for job in self._board.jobs():
            done = self._write(job) and done
        return done

    def _interrupt(self):
        self._wanted.set()

    def _run(self):
        while not self._stopped.is_set():
            self._wanted.wait(RETRY_SECONDS if self._is_failing else IDLE_SECONDS)
            # Results that finish together go into one write.
            self._stopped.wait(GATHER_SECONDS)
            self._wanted.clear()
            self._is_failing = not self.write_waiting()

    def _write(self, job):
        with self._board.lock:
            number, revision, content = job.pages.plan(job.batch.unlisted())
        if content is None:
            return self._mark_finished(job)
        job.is_settled = False
        page = self._storage.write_page(job.key, number, revision, content)
        if isinstance(page, Failure):
            self._log.info(
                "results not listed",
                job=job.key,
                page=number,
                revision=revision,
                reason=page.reason,
            )
            # Another node or an unanswered write of this one may have changed it.
            if page.code in (FailureCode.CONFLICT, FailureCode.UNKNOWN):
                page = self._storage.read_page(job.key, number)
        if isinstance(page, Failure):
            return False
        with self._board.lock:
            job.pages.put(number, page.results, page.revision)
            job.batch.note_listed(page.results)
            job.is_settled = True
        self._log.info(
            "results listed", job=job.key, page=number, listed=job.pages.count
        )
        return True

    def _mark_finished(self, job):
        with self._board.lock:
            is_due = not job.batch.is_open and not job.is_marked_finished
        if is_due and not job.batch.is_ended:
            done = self._storage.finish_job(job.header)
            job.is_marked_finished = not isinstance(done, Failure) or (
                done.code is not FailureCode.UNAVAILABLE
            )
        return True
