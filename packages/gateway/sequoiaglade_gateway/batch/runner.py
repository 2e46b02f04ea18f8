"""Runs items of held jobs at endpoints, beside online requests."""

import random
import threading
import time
from typing import Any, NamedTuple

import structlog

from sequoiaglade_decisions.gateway import EventSplitter, Fault, ItemOutcome
from sequoiaglade_endpoints import Attempt
from sequoiaglade_node.threads import OwnedThread

from ..endpoint_calls import CallFault, CompleteResponse, EndpointRequest, open_call
from ..interface import IncomingCall
from ..messages import (
    BROKEN,
    DONE,
    NOT_SENT,
    REFUSED,
    STOPPED,
    BatchShare,
    InFlightRequest,
    PlaceRequest,
    RequestEnded,
)

TICK_SECONDS = 0.1
# An item is taken for stalled after this long without an event, in seconds.
STALL_SECONDS = 2.0
# Items above the node's share that run on: shares follow news that is a little old,
# and an item that is stopped for a moment's peak reads its prompt again.
OVERRUN_ITEMS = 1
# Items that were refused a slot are offered again spread over this part of the time, so
# that nodes don't ask a scheduler all at once.
RETRY_SPREAD = 0.5
# Items of one node at once, whatever its share: each takes a thread.
ITEMS_MAX = 64


class _Run(NamedTuple):
    job: Any
    row: Any
    endpoint: Any
    attempt: Attempt
    service: str


class ItemRunner(OwnedThread):
    """One thread that starts and stops items by the node's share; a context manager."""

    def __init__(self, parts, board):
        super().__init__("item runner")
        self._parts = parts
        self._board = board
        self._runs = {}
        self._lock = threading.Lock()
        self._full_until_by_service = {}
        self._log = structlog.get_logger()
        self.is_leaving = False

    def __exit__(self, *exc_info):
        super().__exit__(*exc_info)
        self.stop_all()

    @property
    def running_count(self):
        """Number of items that run."""
        return len(self._runs)

    def preempt(self, endpoint_id):
        """Stop the item at an endpoint that matters least; return whether one ran."""
        with self._lock:
            runs = [r for r in self._runs.values() if _runs_at(r, endpoint_id)]
            if not runs:
                return False
            last = max(runs, key=self._order())
        self._stop(last, "room for online requests")
        return True

    def stop_job(self, key):
        """Stop all items of a job that has ended or is held elsewhere."""
        for run in list(self._runs.values()):
            if run.job.key == key:
                self._stop(run, "the job has ended or is held elsewhere")

    def stop_all(self):
        """Stop all items."""
        for run in list(self._runs.values()):
            self._stop(run, "the node stops")

    def _stop(self, run, reason):
        self._log.info(
            "item stopped",
            item_id=run.row.item.item_id,
            job=run.job.key,
            endpoint_id=run.endpoint.endpoint_id,
            reason=reason,
        )
        run.attempt.abort()

    def _run(self):
        while not self._stopped.wait(TICK_SECONDS):
            configuration = self._parts.store_cache.configuration
            if configuration is not None:
                self._tick(configuration)

    def _tick(self, configuration):
        jobs_by_service = {}
        for job in self._board.open_jobs():
            spec = job.batch.spec
            route = configuration.match(spec.host, spec.path)
            self._give_up(job, route)
            if route is not None:
                service = route.service_for(spec.job_id)
                jobs_by_service.setdefault(service, []).append((job, route))
        for service, rows in jobs_by_service.items():
            self._fill(service, rows)

    def _give_up(self, job, route):
        with self._board.lock:
            age = time.time() - job.batch.spec.submitted_at
            is_overdue = route is not None and 0 < route.retention < age
            job.batch.give_up_overdue(is_overdue, route is not None, time.monotonic())

    def _fill(self, service, rows):
        backlog = sum(job.batch.unfinished_count for job, _ in rows)
        share = self._parts.coordinator.ask(BatchShare(service, backlog))
        share = min(share, ITEMS_MAX)
        runs = [run for run in self._runs.values() if run.service == service]
        if len(runs) > share + OVERRUN_ITEMS:
            runs.sort(key=self._order())
            for run in runs[share + OVERRUN_ITEMS :]:
                self._stop(run, f"{len(runs)} items run, the share is {share}")
            return
        count = len(runs)
        if time.monotonic() < self._full_until_by_service.get(service, 0.0):
            return
        while count < share and not self.is_leaving:
            if not self._start_one(service, rows):
                return
            count += 1

    def _start_one(self, service, rows):
        now = time.monotonic()
        with self._board.lock:
            row = None
            for job, route in rows:
                row = job.batch.start_next(now)
                if row is not None:
                    break
        if row is None:
            return False
        item = row.item
        placed = self._parts.placer.place(
            PlaceRequest(
                service,
                item.item_id,
                is_batch=True,
                is_late=self._board.order()(job)[0],
            )
        )
        if not isinstance(placed, InFlightRequest):
            if placed is not None:
                spread = 1 + RETRY_SPREAD * (random.random() - 0.5)
                full_until = now + placed.retry_after * spread
                self._full_until_by_service[service] = full_until
            self._finish(job, item.item_id, ItemOutcome.STOPPED, route)
            return False
        run = _Run(job, row, placed.endpoint, Attempt(), service)
        with self._lock:
            self._runs[(job.key, item.item_id)] = run
        self._log.info(
            "item placed",
            item_id=item.item_id,
            job=job.key,
            endpoint_id=placed.endpoint.endpoint_id,
            in_flight=placed.in_flight,
            after_event=row.last_event_id,
        )
        thread = threading.Thread(
            target=self._run_item, args=(run, route), name="item", daemon=True
        )
        thread.start()
        return True

    def _run_item(self, run, route):
        item_id = run.row.item.item_id
        end, outcome, reason = ItemOutcome.BROKEN, BROKEN, "the run failed"
        began_at, is_whole = time.monotonic(), run.row.last_event_id == 0
        try:
            end, outcome, reason = self._call(run)
            if end is ItemOutcome.DONE and is_whole:
                self._board.note_run(time.monotonic() - began_at)
        finally:
            endpoint_id = run.endpoint.endpoint_id
            self._parts.coordinator.tell(RequestEnded(endpoint_id, True, outcome))
            with self._lock:
                del self._runs[(run.job.key, item_id)]
            self._finish(run.job, item_id, end, route)
            self._log.info(
                "item run ended",
                item_id=item_id,
                job=run.job.key,
                endpoint_id=endpoint_id,
                end=end.value,
                reason=reason,
            )

    def _order(self):
        order = self._board.order()
        return lambda run: order(run.job)

    def _finish(self, job, item_id, end, route):
        with self._board.lock:
            job.batch.finish(item_id, end, route.attempts, time.monotonic())
        if end is not ItemOutcome.STOPPED:
            self._parts.writer.wake()

    def _call(self, run):
        """Run an item; return its `ItemEnd`, the endpoint's outcome and a reason."""
        answer = open_call(
            self._target(run), self._parts.dialect, run.attempt, STALL_SECONDS, 1.0
        )
        if run.attempt.is_aborted:
            if not isinstance(answer, CallFault | CompleteResponse):
                answer.close()
            return ItemOutcome.STOPPED, STOPPED, "stopped"
        match answer:
            case CallFault(Fault.NOT_SENT, reason):
                return ItemOutcome.STOPPED, NOT_SENT, reason
            case CallFault(Fault.NOT_RUN, reason):
                return ItemOutcome.STOPPED, REFUSED, reason
            case CallFault(_, reason):
                return ItemOutcome.BROKEN, BROKEN, reason
            case CompleteResponse(500):
                return ItemOutcome.FAILED, DONE, "the endpoint answered 500"
            case CompleteResponse(422):
                return ItemOutcome.NEVER, DONE, "the endpoint answered 422"
            case CompleteResponse(status):
                return ItemOutcome.BROKEN, DONE, f"the endpoint answered {status}"
        with answer:
            return self._read(run, answer)

    def _read(self, run, answer):
        splitter = EventSplitter()
        item_id = run.row.item.item_id
        for chunk in answer.chunks():
            for event in splitter.feed(chunk):
                if event.event_id is None or event.event_id <= run.row.last_event_id:
                    continue
                with self._board.lock:
                    data = "\n".join(event.data)
                    follows = run.job.batch.add_event(item_id, event.event_id, data)
                if not follows:
                    reason = f"event {event.event_id} follows {run.row.last_event_id}"
                    return ItemOutcome.BROKEN, BROKEN, reason
        if run.attempt.is_aborted:
            return ItemOutcome.STOPPED, STOPPED, "stopped"
        if answer.fault is not None:
            return ItemOutcome.BROKEN, BROKEN, answer.fault.reason
        if splitter.has_partial_event or not run.row.last_event_id:
            return ItemOutcome.BROKEN, BROKEN, "the stream ends within an event"
        return ItemOutcome.DONE, DONE, "complete"

    def _target(self, run):
        item = run.row.item
        spec = run.job.batch.spec
        call = IncomingCall(
            item.item_id, spec.host, "POST", item.path, item.headers, None, None, 0
        )
        headers = self._parts.dialect.endpoint_headers(
            call,
            run.endpoint.endpoint_id,
            None,
            spec.workspace,
            run.row.last_event_id,
        )
        return EndpointRequest(
            run.endpoint.address, "POST", item.path, headers, item.body, item.item_id
        )


def _runs_at(run, endpoint_id):
    return run.endpoint.endpoint_id == endpoint_id and not run.attempt.is_aborted
