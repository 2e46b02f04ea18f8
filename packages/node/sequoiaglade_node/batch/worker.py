"""Claims segments of open jobs, runs their items, and commits the results."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import structlog

from sequoiaglade_decisions.configuration import Tier
from sequoiaglade_decisions.jobs import (
    Contender,
    Done,
    FairScheduler,
    Requeued,
    Share,
    WorkState,
)
from sequoiaglade_decisions.outcomes import Failure, FailureCode

from .attempts import ItemRunner
from .cancels import CancelWatcher
from .item_queue import ItemQueue
from .journal import BatchJournal
from .leases import LeaseWriter
from .meters import BatchMeters
from .segments import HeldSegment, new_claim
from .tracking import JobTracker

STEP_INTERVAL_SECONDS = 0.1
MAX_HELD_SEGMENTS = 32
COMMIT_THREADS = 4
COMMIT_RETRY_SECONDS = 0.5
RETRY_DELAY_SECONDS = 0.25
STOP_TIMEOUT_SECONDS = 5.0
STARVATION_SECONDS = 3.0
CLAIM_BACKOFF_MIN_SECONDS = 2.0
CLAIM_BACKOFF_MAX_SECONDS = 30.0


class BatchWorker:
    """Threads that process open jobs until stopped; a context manager."""

    def __init__(self, parts, files, jobs, index, work):
        settings = parts.settings
        self._node_id = settings.node_id
        self._worker_count = settings.limits.batch_workers
        self._lease_seconds = settings.limits.batch_lease_seconds
        self._holder = parts.holder
        self._files = files
        self._work = work
        self._tracker = JobTracker(jobs, index, work, settings)
        self._queue = ItemQueue(self._shares_of)
        meters = BatchMeters(parts.telemetry.counter)
        self._journal = BatchJournal(parts.journal, meters)
        self._leases = LeaseWriter(work, on_end=self._journal.segment_ended)
        self._cancels = CancelWatcher(
            parts.platform, self._cancel, lambda: bool(self._queue.segments())
        )
        self._runner = ItemRunner(
            parts.holder,
            parts.dispatch,
            parts.endpoints,
            self._queue,
            self._cancels,
            self._leases.mark_started,
            self._journal,
        )
        self._claim_scheduler = FairScheduler()
        self._cancelled_ids = set()
        self._lock = threading.Lock()
        self._claim_backoff_seconds = CLAIM_BACKOFF_MIN_SECONDS
        self._claims_paused_until = 0.0
        self._paused_rank = 0
        self._draining = threading.Event()
        self._stopped = threading.Event()
        self._pool = ThreadPoolExecutor(COMMIT_THREADS, "batch-commit")
        self._threads = []
        self._log = structlog.get_logger()

    def __enter__(self):
        if self._worker_count:
            self._cancels.__enter__()
            self._start(self._run_steps, "batch")
            self._start(self._run_renewals, "batch-leases")
            for number in range(self._worker_count):
                self._start(self._run_items, f"batch-item-{number}")
        return self

    def __exit__(self, *exc_info):
        self.drain()
        self._stopped.set()
        self._queue.abort_repeatable()
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        for thread in self._threads:
            thread.join(max(0.0, deadline - time.monotonic()))
        self._release_all(deadline)
        self._pool.shutdown(wait=False, cancel_futures=True)
        if self._threads:
            self._cancels.__exit__()

    def drain(self):
        """Start no further items; those in flight continue."""
        self._draining.set()
        self._queue.stop()

    def set_node_count(self, count):
        """Set the number of nodes, which determines the interval of index polls."""
        self._tracker.node_count = count

    def _start(self, function, name):
        thread = threading.Thread(target=function, name=name, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _run_steps(self):
        while not self._stopped.wait(self._step_pause()):
            try:
                self._step()
            except Exception:
                self._log.exception("batch step failed")

    def _step_pause(self):
        if self._tracker.tracked() or self._queue.segments():
            return STEP_INTERVAL_SECONDS
        return max(STEP_INTERVAL_SECONDS, self._tracker.seconds_to_poll())

    def _step(self):
        self._apply_cancels()
        if self._draining.is_set() or not self._holder.current.revision:
            return
        self._release_starved()
        claimed = self._may_claim and self._claim_segments()
        is_idle = not claimed and not self._queue.segments()
        self._tracker.poll(is_idle)
        for segment in self._queue.done_segments():
            if not segment.commit_started:
                segment.commit_started = True
                self._pool.submit(self._commit, segment)
        for tracked in self._tracker.tracked():
            self._tracker.end_finished(tracked)

    @property
    def _may_claim(self):
        return self._cancels.is_up_to_date or not self._queue.segments()

    def _release_starved(self):
        if not self._cancels.is_up_to_date:
            return
        starved = self._queue.release_starved(STARVATION_SECONDS)
        if starved:
            self._pause_claims({segment.job.workspace for segment in starved})

    def _pause_claims(self, workspaces):
        """Pause claims of jobs whose tier is not above that of the workspaces."""
        now = time.monotonic()
        ranks = [share.rank for share in self._shares_of(workspaces).values()]
        if now < self._claims_paused_until:
            ranks.append(self._paused_rank)
        self._paused_rank = min(ranks)
        self._claim_backoff_seconds = min(
            CLAIM_BACKOFF_MAX_SECONDS, self._claim_backoff_seconds * 2
        )
        self._claims_paused_until = now + self._claim_backoff_seconds
        self._log.info(
            "no slots for batch items",
            seconds=self._claim_backoff_seconds,
            workspaces=sorted(workspaces),
        )

    def _claim_segments(self):
        claimed = False
        exhausted = set()
        while len(self._queue.segments()) < MAX_HELD_SEGMENTS:
            contenders = self._contenders(exhausted)
            shares = self._shares_of({c.workspace for c in contenders})
            picked = self._claim_scheduler.pick(contenders, shares)
            if picked is None:
                return claimed
            if self._claim(self._tracker.get(picked.key)):
                claimed = True
                self._claim_scheduler.charge(picked, shares)
            else:
                exhausted.add(picked.key)
        return claimed

    def _contenders(self, exhausted):
        held_ids = {segment.job.job_id for segment in self._queue.segments()}
        is_full = self._queue.pending_count >= self._worker_count
        jobs = [tracked.record for tracked in self._tracker.tracked()]
        paused = self._paused_workspaces({job.workspace for job in jobs})
        return [
            Contender(job.job_id, job.workspace, job.due_at, left)
            for job, left in (
                (tracked.record, tracked.progress.unfinished_count)
                for tracked in self._tracker.tracked()
                if not tracked.is_cancelling
            )
            if left
            and job.job_id not in exhausted
            and job.workspace not in paused
            and not (is_full and job.job_id in held_ids)
        ]

    def _paused_workspaces(self, workspaces):
        if time.monotonic() >= self._claims_paused_until:
            return set()
        shares = self._shares_of(workspaces).items()
        return {name for name, share in shares if share.rank >= self._paused_rank}

    def _claim(self, tracked):
        progress = tracked.progress
        job = tracked.record
        if tracked.needs_refresh:
            self._tracker.refresh(tracked)
        candidate = progress.begin_claim(time.monotonic())
        if candidate is None:
            tracked.needs_refresh = True
            return False
        header = new_claim(self._node_id, candidate)
        started_at = time.monotonic()
        version = self._work.claim(job.job_id, candidate, header)
        if isinstance(version, Failure):
            is_conflict = version.code is FailureCode.CONFLICT
            self._journal.claim_failed(is_conflict)
            (progress.claim_lost if is_conflict else progress.claim_undecided)(
                candidate.index
            )
            tracked.request_refresh()
            return False
        segment = HeldSegment(
            job,
            candidate.index,
            header.claim_id,
            version,
            header,
            progress.unfinished_count,
        )
        segment.renewed_at = started_at
        self._journal.claimed(segment, candidate)
        self._load(segment)
        return True

    def _load(self, segment):
        lines = self._files.segment(segment.job.input_file_id, segment.index)
        earlier_results = self._work.read_partial_results(segment.header)
        if isinstance(lines, Failure) or isinstance(earlier_results, Failure):
            segment.is_lost = True
            self._release_unread(segment)
            return
        segment.load(lines, earlier_results)
        self._queue.add(segment)
        if segment.job.job_id in self._cancelled_ids:
            self._queue.cancel(segment.job.job_id)

    def _release_unread(self, segment):
        header = segment.header._replace(state=WorkState.RELEASED.value)
        self._work.update(segment.job.job_id, segment.index, header, segment.version)
        tracked = self._tracker.get(segment.job.job_id)
        if tracked is not None:
            tracked.progress.claim_lost(segment.index)

    def _commit(self, segment):
        is_partial = segment.is_releasing and not segment.is_complete
        state = WorkState.RELEASED if is_partial else WorkState.COMMITTED
        while not self._leases.finalize(segment, state):
            if self._stopped.wait(COMMIT_RETRY_SECONDS):
                return
        self._end_claim(segment)

    def _end_claim(self, segment):
        self._queue.remove(segment)
        tracked = self._tracker.get(segment.job.job_id)
        if tracked is None:
            return
        if segment.is_lost:
            tracked.progress.claim_lost(segment.index)
            return
        tracked.progress.claim_ended(
            segment.index, segment.version, segment.header, time.monotonic()
        )
        if not tracked.progress.has_unclaimed and not tracked.progress.is_finished:
            tracked.request_refresh()

    def _run_renewals(self):
        while not self._stopped.wait(self._lease_seconds / 12):
            for segment in self._queue.segments():
                age = time.monotonic() - segment.renewed_at
                if age > self._lease_seconds / 3:
                    self._leases.renew(segment)
            self._queue.abort_lost()

    def _run_items(self):
        while not self._stopped.is_set():
            dequeued = self._queue.next_item()
            if dequeued is None:
                self._stopped.wait(0.02 if self._draining.is_set() else 0.0)
                continue
            try:
                self._run_item(*dequeued)
            except Exception:
                self._log.exception("item failed")
                self._queue.requeue(*dequeued, RETRY_DELAY_SECONDS)

    def _run_item(self, segment, pending):
        if not self._cancels.is_up_to_date:
            self._queue.requeue(segment, pending, RETRY_DELAY_SECONDS)
            return
        tries = pending.tries
        decision, usage = self._runner.run(segment, pending)
        match decision:
            case Done(result=result):
                self._claim_backoff_seconds = CLAIM_BACKOFF_MIN_SECONDS
                segment.record_result(pending, result, usage)
                self._journal.item_done(segment, pending, result)
                self._queue.remove_in_flight(segment, pending)
            case Requeued():
                pending.tries = decision.tries
                is_failed = decision.tries > tries
                delay = RETRY_DELAY_SECONDS * 2**tries if is_failed else 0.05
                self._queue.requeue(segment, pending, delay)
            case _:
                self._queue.remove_in_flight(segment, pending)

    def _cancel(self, job_id):
        with self._lock:
            self._cancelled_ids.add(job_id)
        self._journal.segments_cancelled(self._queue.uncancelled_segments(job_id))
        self._queue.cancel(job_id)

    def _apply_cancels(self):
        with self._lock:
            cancelled, self._cancelled_ids = self._cancelled_ids, set()
        for job_id in cancelled:
            self._tracker.cancel(job_id)
            self._queue.cancel(job_id)

    def _release_all(self, deadline):
        for segment in self._queue.segments():
            segment.commit_started = True
            state = WorkState.COMMITTED if segment.is_done else WorkState.RELEASED
            if time.monotonic() < deadline + STOP_TIMEOUT_SECONDS:
                self._leases.finalize(segment, state)

    def _shares_of(self, names):
        workspaces = self._holder.current.document.workspaces
        return {name: _share(workspaces.get(name)) for name in names}


def _share(workspace):
    if workspace is None:
        return Share(1, 1.0)
    return Share(int(workspace.tier is Tier.TRIAL), workspace.weight)
