"""Finds endpoints for requests: by a scheduler in a large fleet, else by this node."""

import time

import structlog

from sequoiaglade_decisions.gateway import Full, Placed
from sequoiaglade_node.threads import OwnedThread

from .messages import AskScheduler, Begin, HearReport, Schedule, TakeReports

# A scheduler that did not answer is not asked again for this long, in seconds; by then
# the others have taken note that it is gone, or it is back.
SILENT_SECONDS = 2.0
# Schedulers hear of ended requests after at most this long, in seconds: a small part of
# the time that a request holds its slot.
REPORT_SECONDS = 0.05
# Pause between looks whether the fleet has become large, in seconds.
IDLE_SECONDS = 1.0


class Placer:
    """Places requests, and answers other nodes if this one schedules."""

    def __init__(self, parts, client):
        self._parts = parts
        self._client = client
        self._silent_until_by_id = {}
        self._log = structlog.get_logger()

    def place(self, place):
        """Return the `Running` request for a `Place`, or `Full`.

        If no scheduler answers, or it chooses an endpoint that this node knows to be
        leaving, this node decides by what it knows itself.
        """
        coordinator = self._parts.coordinator
        question = coordinator.ask(AskScheduler(place.service, place.spread))
        if question is None:
            return coordinator.ask(place)
        placement = self._ask_schedulers(question, place)
        match placement:
            case Placed(endpoint_id):
                running = coordinator.ask(Begin(place, endpoint_id))
                return running or coordinator.ask(place)
            case Full(_, True):
                return placement
        return coordinator.ask(place)

    def schedule(self, asked):
        """Return the `Scheduled` or `Full` for a node's `Schedule`."""
        placement, address = self._parts.coordinator.ask(asked)
        if address == self._parts.settings.listen.peer:
            self._parts.batch.preempt(placement.endpoint_id)
        elif address is not None:
            self._client.ask_to_yield(address, placement.endpoint_id)
        return placement

    def hear(self, report):
        """Take a node's `LoadReport`."""
        self._parts.coordinator.tell(HearReport(report))

    def _ask_schedulers(self, question, place):
        for node_id, address in question.candidates:
            if time.monotonic() < self._silent_until_by_id.get(node_id, 0.0):
                continue
            placement = self._ask(question, place, node_id, address)
            if placement is not None:
                return placement
            self._silent_until_by_id[node_id] = time.monotonic() + SILENT_SECONDS
            self._log.info("scheduler silent", node_id=node_id, request_id=place.spread)
        return None

    def _ask(self, question, place, node_id, address):
        if node_id != question.report.node_id:
            return self._client.schedule(address, question, place)
        asked = Schedule(question.report, place, question.group, question.group_count)
        placement = self.schedule(asked)
        if isinstance(placement, Full):
            return placement
        return Placed(placement.endpoint_id)


class LoadReporter(OwnedThread):
    """One thread that tells schedulers what this node has in flight."""

    def __init__(self, parts, client):
        super().__init__("load reports")
        self._parts = parts
        self._client = client

    def _run(self):
        pause = REPORT_SECONDS
        while not self._stopped.wait(pause):
            reports = self._parts.coordinator.ask(TakeReports())
            pause = IDLE_SECONDS if reports is None else REPORT_SECONDS
            for address, report in reports or ():
                self._client.report(address, report)
