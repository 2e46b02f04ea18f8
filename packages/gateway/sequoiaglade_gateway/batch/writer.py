"""Writes of finished results to the stored lists, from which callers read them."""

import threading

import structlog

from sequoiaglade_decisions.outcomes import Failure, FailureCode
from sequoiaglade_node.threads import OwnedThread

# Pause after a failed store operation, a fraction of the time that callers wait.
RETRY_SECONDS = 0.4
# Interval of checks for finished results without a wake-up.
IDLE_CHECK_SECONDS = 1.0
# Results that finish within this time are written together.
WRITE_COALESCING_SECONDS = 0.02


class ResultWriter(OwnedThread):
    """One thread that writes the pages of results; a context manager.

    Callers see a result only after its page is written, so that it never changes or
    disappears afterwards.
    """

    def __init__(self, registry, storage):
        super().__init__("result writer")
        self._registry = registry
        self._storage = storage
        self._log = structlog.get_logger()
        self._is_failing = False
        self._wakeup = threading.Event()

    def wake(self):
        """Write soon the results that are finished."""
        self._wakeup.set()

    def write_waiting(self):
        """Write all finished results; return whether none is left."""
        done = True
        for job in self._registry.jobs():
            done = self._write(job) and done
        return done

    def _interrupt(self):
        self._wakeup.set()

    def _run(self):
        while not self._stopped.is_set():
            self._wakeup.wait(RETRY_SECONDS if self._is_failing else IDLE_CHECK_SECONDS)
            self._stopped.wait(WRITE_COALESCING_SECONDS)
            self._wakeup.clear()
            self._is_failing = not self.write_waiting()

    def _write(self, job):
        with self._registry.lock:
            if self._registry.get(job.key) is not job:
                # Released to a peer, which then does not expect writes of this node.
                return True
            unlisted = job.batch.unlisted()
            write = job.pages.plan(unlisted, self._storage.page_bytes_max)
        if write.results is None:
            return self._mark_finished(job)
        job.validity.begin_write()
        began_at = self._registry.clock()
        page = self._storage.write_page(job.key, write)
        if isinstance(page, Failure):
            self._log.info(
                "results not listed",
                job=job.key,
                page=write.number,
                revision=write.revision,
                results=len(write.results),
                reason=page.reason,
            )
            if page.code is FailureCode.UNAVAILABLE:
                job.validity.end_write()
                return False
            # Another node may write this page, or an unanswered write of this one may
            # still take effect, also after the page was read.
            began_at = self._registry.clock()
            job.validity.note_uncertain(began_at)
            page = self._storage.read_page(job.key, write.number)
        if isinstance(page, Failure):
            return False
        with self._registry.lock:
            job.pages.put(write.number, *page)
            job.batch.note_listed(page.results)
            job.validity.note_confirmed(began_at)
            job.validity.end_write()
        self._log.info(
            "results listed",
            job=job.key,
            page=write.number,
            is_closed=page.is_closed,
            listed=job.pages.count,
        )
        return True

    def _mark_finished(self, job):
        with self._registry.lock:
            is_due = not job.batch.is_open and not job.is_marked_finished
        if is_due and not job.batch.is_ended:
            done = self._storage.finish_job(job.header)
            job.is_marked_finished = not isinstance(done, Failure) or (
                done.code is not FailureCode.UNAVAILABLE
            )
        if self._registry.release_closed(job):
            self._log.info("closed job released", job=job.key)
        return True
