"""Execution of items of held jobs at endpoints, beside online requests."""

import random
import threading
import time
from typing import Any, NamedTuple

import structlog

from sequoiaglade_decisions.gateway import (
    EventSplitter,
    Fault,
    ItemOutcome,
    ResponseBounds,
    is_misplaced,
    is_repetition,
    missing_part,
    page_bytes_max,
)
from sequoiaglade_endpoints import Attempt
from sequoiaglade_node.threads import OwnedThread

from ..endpoint_calls import CallFault, CompleteResponse, open_call
from ..endpoint_requests import EndpointRequest
from ..evacuation_messages import FindEvacuated
from ..interface import IncomingCall
from ..messages import (
    ABANDONED,
    BROKEN,
    DONE,
    NOT_SENT,
    REFUSED,
    STOPPED,
    BatchShare,
    InFlightRequest,
    PartsAnswered,
    PlaceRequest,
    RequestEnded,
)
from ..online.refusals import NO_REGION
from ..patient_socket import FixedPatience
from ..regions import JobHomes
from ..version_messages import UsableVersions
from .item_attempt import ItemAttempt

TICK_SECONDS = 0.1
# An item's stream counts as stalled after this time without an event.
STALL_SECONDS = 2.0
# Bounds of the bytes of an event and of a response that is no event stream. A sound
# endpoint may fall silent for about a second meanwhile.
RESPONSE_BOUNDS = ResponseBounds(event_seconds=4.0, body_seconds=4.0)
# Running items above the node's share that are not stopped. Shares lag slightly behind
# the load, and an item that is stopped for a short peak has its prompt processed again.
OVERRUN_ITEMS_MAX = 1
# Items that were refused a slot are offered again after a random delay, within a range
# of this fraction of the delay, so that nodes do not ask a scheduler simultaneously.
RETRY_JITTER = 0.5
# Maximum number of items that a node runs, whatever its share: each takes a thread.
RUNNING_ITEMS_MAX = 64


class _ItemRun(NamedTuple):
    job: Any
    progress: Any
    endpoint: Any
    attempt: Attempt
    service: str
    regions: frozenset[str]
    permit_until: float | None = None


class _WaitingJob(NamedTuple):
    """A job with its route and its `allowed_regions`."""

    job: Any
    route: Any
    regions: frozenset[str]


class _Start(NamedTuple):
    """A try to start an item; `refused_regions` are those without a place for it."""

    refused_regions: frozenset[str] | None = None


class ItemRunner(OwnedThread):
    """One thread that runs as many items as the node's share; a context manager."""

    def __init__(self, parts, registry):
        super().__init__("item runner")
        self._parts = parts
        self._registry = registry
        self._run_by_attempt = {}
        self._lock = threading.Lock()
        # By the service and the regions of the items.
        self._retry_at_by_group = {}
        self._homes = JobHomes(parts)
        self._log = structlog.get_logger()
        self.is_leaving = False

    def __exit__(self, *exc_info):
        super().__exit__(*exc_info)
        self.stop_all()

    @property
    def running_count(self):
        """Number of running items."""
        return len(self._run_by_attempt)

    def preempt(self, endpoint_id):
        """Stop the least urgent item at an endpoint; return whether one ran there."""
        with self._lock:
            runs = [
                run
                for run in self._run_by_attempt.values()
                if _is_running_at(run, endpoint_id)
            ]
            if not runs:
                return False
            least_urgent = max(runs, key=self._sort_key())
        self._stop(least_urgent, "preempted by online requests")
        return True

    def stop_job(self, key):
        """Stop all items of a job that has ended or is held by a peer."""
        for run in self._current_runs():
            if run.job.key == key:
                self._stop(run, "the job has ended or is held by a peer")

    def stop_all(self):
        """Stop all items."""
        for run in self._current_runs():
            self._stop(run, "the node stops")

    def _current_runs(self):
        with self._lock:
            return list(self._run_by_attempt.values())

    def _stop(self, run, reason):
        self._log.info(
            "item stopped",
            item_id=run.progress.item.item_id,
            job=run.job.key,
            endpoint_id=run.endpoint.endpoint_id,
            reason=reason,
        )
        run.attempt.abort()

    def _run(self):
        while not self._stopped.wait(TICK_SECONDS):
            cache = self._parts.store_cache
            # Read first, so that it does not confirm an older configuration.
            confirmed_at = cache.confirmed_at
            if cache.configuration is not None and not cache.lacks_evacuations:
                self._tick(cache.configuration, confirmed_at)

    def _tick(self, configuration, confirmed_at):
        jobs_by_service = {}
        for job in self._registry.open_jobs():
            spec = job.batch.spec
            route = configuration.match(spec.host, spec.path)
            self._give_up_overdue(job, route, confirmed_at)
            if route is not None:
                with self._registry.lock:
                    job.follow(route)
                regions = configuration.regions_of(spec.host, spec.path, spec.workspace)
                if regions is None:
                    self._homes.log_waiting(spec.key, None, NO_REGION)
                    continue
                service = route.service_for(spec.job_id)
                row = _WaitingJob(job, route, regions)
                jobs_by_service.setdefault(service, []).append(row)
        self._drop_retries(jobs_by_service)
        for service, rows in jobs_by_service.items():
            self._adjust_to_share(service, rows, configuration)

    def _drop_retries(self, jobs_by_service):
        """Forget when to try groups again that have no job any more."""
        if self._retry_at_by_group:
            groups = {
                (service, row.regions)
                for service, rows in jobs_by_service.items()
                for row in rows
            }
            for group in self._retry_at_by_group.keys() - groups:
                del self._retry_at_by_group[group]

    def _give_up_overdue(self, job, route, confirmed_at):
        with self._registry.lock:
            now = self._registry.clock()
            # The time of day may have been set, here or where the job was accepted.
            age = min(time.time() - job.batch.spec.submitted_at, now - job.held_since)
            is_overdue = route is not None and 0 < route.retention < age
            is_doubtful = job.batch.give_up_overdue(
                is_overdue, route is not None, confirmed_at, now
            )
        if is_doubtful:
            self._parts.configuration_reader.request()

    def _adjust_to_share(self, service, rows, configuration):
        backlog = sum(row.job.batch.unfinished_count for row in rows)
        share = self._parts.coordinator.ask(BatchShare(service, backlog))
        runs, evacuated_count = self._runs_of(service)
        share = min(share, RUNNING_ITEMS_MAX - evacuated_count)
        if len(runs) > share + OVERRUN_ITEMS_MAX:
            runs.sort(key=self._sort_key())
            for run in runs[share + OVERRUN_ITEMS_MAX :]:
                self._stop(
                    run, f"{len(runs)} items are running, above the share of {share}"
                )
            return
        count = len(runs)
        now = time.monotonic()
        rows = [
            row
            for row in rows
            if now >= self._retry_at_by_group.get((service, row.regions), 0.0)
        ]
        if not rows:
            return
        versions = self._parts.coordinator.ask(UsableVersions(service))
        while count < share and not self.is_leaving:
            # Placements take time; the next pass follows a newer configuration.
            if self._parts.store_cache.configuration is not configuration:
                return
            start = self._start_one(service, rows, versions)
            if start is None:
                return
            if start.refused_regions is None:
                count += 1
                continue
            # Jobs with other homes may find a place.
            rows = [row for row in rows if row.regions != start.refused_regions]

    def _runs_of(self, service):
        """Return the runs of a service, and how many more are at evacuated endpoints.

        These may finish: to stop them frees no slot for others.
        """
        runs = [run for run in self._current_runs() if run.service == service]
        if not (runs and self._parts.settings.evacuations):
            return runs, 0
        evacuated_ids = self._parts.coordinator.ask(FindEvacuated(service or "")).ids
        counted = [r for r in runs if r.endpoint.endpoint_id not in evacuated_ids]
        return counted, len(runs) - len(counted)

    def _start_one(self, service, rows, versions):
        """Start the most urgent item; return a `_Start`, or None if none waits."""
        now = time.monotonic()
        with self._registry.lock:
            progress = None
            for job, route, regions in rows:
                progress = job.batch.start_next(now, versions)
                if progress is not None:
                    break
        if progress is None:
            return None
        item = progress.item
        version = progress.version if len(versions) > 1 else None
        try:
            placed = self._place(service, job, item, version, regions)
        except Exception:
            self._finish(job, item.item_id, ItemOutcome.STOPPED, route)
            raise
        if not isinstance(placed, InFlightRequest):
            if version is not None:
                with self._registry.lock:
                    job.batch.postpone(item.item_id, now)
                return _Start()
            if placed is not None:
                factor = 1 + RETRY_JITTER * (random.random() - 0.5)
                retry_at = now + placed.retry_after * factor
                self._retry_at_by_group[service, regions] = retry_at
            self._finish(job, item.item_id, ItemOutcome.STOPPED, route)
            return _Start(regions)
        endpoint_id = placed.endpoint.endpoint_id
        attempt = ItemAttempt(self._parts, job, item.item_id, service, placed.endpoint)
        run = _ItemRun(
            job,
            progress,
            placed.endpoint,
            attempt,
            service,
            regions,
            placed.permit_until,
        )
        with self._lock:
            self._run_by_attempt[run.attempt] = run
        self._log.info(
            "item placed",
            item_id=item.item_id,
            job=job.key,
            endpoint_id=endpoint_id,
            endpoint_version=placed.endpoint.version,
            request_limit=placed.endpoint.request_limit,
            cold_seconds=round(placed.endpoint.cold_seconds, 3),
            in_flight=placed.in_flight,
            after_event=progress.last_event_id,
        )
        thread = threading.Thread(
            target=self._run_item, args=(run, route), name="item", daemon=True
        )
        try:
            thread.start()
        except RuntimeError as error:
            self._end_run(run, route, ItemOutcome.STOPPED, STOPPED, str(error))
            return None
        return _Start()

    def _place(self, service, job, item, version, regions):
        request = PlaceRequest(
            service,
            item.item_id,
            is_batch=True,
            is_late=self._registry.sort_key()(job)[0],
            version=version,
            regions=regions,
        )
        return self._parts.placer.place(request)

    def _run_item(self, run, route):
        item_outcome, outcome, reason = (
            ItemOutcome.BROKEN,
            BROKEN,
            "the run raised an exception",
        )
        started_at, is_whole = time.monotonic(), run.progress.last_event_id == 0
        try:
            item_outcome, outcome, reason = self._call(run)
            if item_outcome is ItemOutcome.DONE and is_whole:
                self._registry.record_run(time.monotonic() - started_at)
        finally:
            self._end_run(run, route, item_outcome, outcome, reason, started_at)

    def _end_run(self, run, route, item_outcome, outcome, reason, sent_at=None):
        item_id = run.progress.item.item_id
        endpoint_id = run.endpoint.endpoint_id
        self._parts.coordinator.tell(
            RequestEnded(endpoint_id, True, outcome, sent_at=sent_at)
        )
        if item_outcome is ItemOutcome.DONE:
            # Crashes under items blame no part, but their results clear parts.
            headers = run.progress.item.headers
            parts = self._parts.dialect.read_prompt_parts(headers)
            if parts:
                message = PartsAnswered(run.service or "", parts)
                self._parts.coordinator.tell(message)
        with self._lock:
            del self._run_by_attempt[run.attempt]
        self._finish(run.job, item_id, item_outcome, route)
        self._log.info(
            "item run ended",
            item_id=item_id,
            job=run.job.key,
            endpoint_id=endpoint_id,
            end=item_outcome.value,
            reason=reason,
        )

    def _sort_key(self):
        job_sort_key = self._registry.sort_key()
        return lambda run: job_sort_key(run.job)

    def _finish(self, job, item_id, item_outcome, route):
        with self._registry.lock:
            job.batch.finish(item_id, item_outcome, route.attempts, time.monotonic())
        if item_outcome is not ItemOutcome.STOPPED:
            self._parts.writer.wake()

    def _call(self, run):
        """Run an item; return its `ItemOutcome`, the request's outcome and a reason."""
        answer = open_call(
            self._endpoint_request(run),
            self._parts,
            run.attempt,
            FixedPatience(STALL_SECONDS),
            1.0,
            RESPONSE_BOUNDS,
        )
        if run.attempt.is_aborted:
            if not isinstance(answer, CallFault | CompleteResponse):
                answer.close()
            return ItemOutcome.STOPPED, STOPPED, "stopped"
        match answer:
            case CallFault(Fault.NO_PATH | Fault.PATH_BROKEN, reason):
                return ItemOutcome.STOPPED, STOPPED, reason
            case CallFault(Fault.NOT_SENT, reason):
                return ItemOutcome.STOPPED, NOT_SENT, reason
            case CallFault(Fault.NOT_RUN, reason):
                return ItemOutcome.STOPPED, REFUSED, reason
            case CallFault(_, reason):
                return ItemOutcome.BROKEN, _outcome_of(answer), reason
            case CompleteResponse(500):
                return ItemOutcome.FAILED, DONE, "the endpoint answered 500"
            case CompleteResponse(422):
                return ItemOutcome.NEVER, DONE, "the endpoint answered 422"
            case CompleteResponse(status):
                return ItemOutcome.BROKEN, DONE, f"the endpoint answered {status}"
        with answer:
            return self._read_events(run, answer)

    def _read_events(self, run, answer):
        splitter = EventSplitter()
        item_id = run.progress.item.item_id
        result_bytes_max = page_bytes_max(self._parts.settings.store.value_bytes)
        new_event_count = last_seen = 0
        for chunk in answer.chunks():
            for event in splitter.feed(chunk):
                if is_misplaced(event, run.progress.resumed_after, new_event_count):
                    reason = "the resumed stream begins with content that is no event"
                    return ItemOutcome.BROKEN, ABANDONED, reason
                if event.event_id is None:
                    continue
                last_seen = event.event_id
                if event.event_id <= run.progress.last_event_id:
                    continue
                with self._registry.lock:
                    data = "\n".join(event.data)
                    is_next = run.job.batch.add_event(
                        item_id, event.event_id, data, run.endpoint.version
                    )
                if not is_next:
                    reason = (
                        f"event {event.event_id} came after "
                        f"{run.progress.last_event_id}"
                    )
                    return ItemOutcome.BROKEN, ABANDONED, reason
                answer.note_event()
                new_event_count += 1
                if run.job.batch.is_output_excessive(item_id, result_bytes_max):
                    answer.log_abandoned("item output")
                    return ItemOutcome.EXCESSIVE, ABANDONED, "the output has no end"
        if run.attempt.is_aborted:
            return ItemOutcome.STOPPED, STOPPED, "stopped"
        if answer.fault is not None and answer.fault.fault is Fault.PATH_BROKEN:
            return ItemOutcome.STOPPED, STOPPED, answer.fault.reason
        if answer.fault is not None:
            return ItemOutcome.BROKEN, _outcome_of(answer.fault), answer.fault.reason
        missing = missing_part(
            splitter.has_partial_event, new_event_count, answer.has_length
        )
        if missing is None and not run.progress.last_event_id:
            missing = "the stream contains no event"
        if missing is None and is_repetition(last_seen, run.progress.resumed_after):
            missing = f"the resumed stream ended after event {last_seen}"
        if missing is not None:
            return ItemOutcome.BROKEN, BROKEN, missing
        return ItemOutcome.DONE, DONE, f"complete, ended by {answer.framing}"

    def _endpoint_request(self, run):
        item = run.progress.item
        spec = run.job.batch.spec
        call = IncomingCall(
            item.item_id, spec.host, "POST", item.path, item.headers, None, None, 0
        )
        headers = self._parts.dialect.endpoint_headers(
            call,
            run.endpoint.endpoint_id,
            None,
            spec.workspace,
            run.progress.last_event_id,
        )
        return EndpointRequest(
            run.endpoint,
            "POST",
            item.path,
            headers,
            item.body,
            item.item_id,
            run.permit_until,
            run.regions,
            is_repeatable=True,
        )


def _outcome_of(fault):
    """Return the outcome of a call that failed after its item may have been sent."""
    return ABANDONED if fault.is_abandoned else BROKEN


def _is_running_at(run, endpoint_id):
    return run.endpoint.endpoint_id == endpoint_id and not run.attempt.is_aborted
