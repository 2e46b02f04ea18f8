"""Placement of requests: by a scheduler node in a large fleet, else by this node."""

import time

import structlog

from sequoiaglade_decisions.gateway import Full, Placed, Scheduled
from sequoiaglade_node.threads import OwnedThread

from .messages import (
    BeginRequest,
    CollectLoadReports,
    FindSchedulers,
    LoadReportReceived,
    QuotaExceeded,
    Schedule,
    UsableVersions,
)

# A scheduler that did not answer is skipped for this time; by then the other nodes have
# detected the failure, or it answers again.
UNRESPONSIVE_SECONDS = 2.0
# Schedulers learn of ended requests within this time, a small fraction of the time that
# a request holds its slot.
REPORT_INTERVAL_SECONDS = 0.05
# A placement at an endpoint that this node may not use costs another call.
SCHEDULER_ASKS_MAX = 2
# Interval of checks whether a small fleet has become large.
SMALL_FLEET_CHECK_SECONDS = 1.0


class Placer:
    """Places this node's requests, and as a scheduler those of other nodes."""

    def __init__(self, parts, client):
        self._parts = parts
        self._client = client
        self._unresponsive_until_by_id = {}
        self._log = structlog.get_logger()

    def place(self, place):
        """Return the `InFlightRequest` for a `PlaceRequest`, `Full` or `QuotaExceeded`.

        A request for one of several software versions is placed by this node, since the
        group that a scheduler places in may have no endpoint of that version.
        A scheduler that chooses an endpoint that is draining, leaving or removed
        according to this node is asked once more. If no scheduler answers or finds an
        endpoint, this node places the request by its own state. Return None if it then
        finds no slot for a batch item.
        """
        coordinator = self._parts.coordinator
        query = coordinator.ask(FindSchedulers(place.service, place.spread))
        if query is None:
            return coordinator.ask(place)
        if place.version is not None:
            versions = coordinator.ask(UsableVersions(place.service))
            if versions != {place.version}:
                return coordinator.ask(place)
        place = place._replace(excluded=place.excluded | query.leaving_ids)
        for _ in range(SCHEDULER_ASKS_MAX):
            placement = self._ask_schedulers(query, place)
            match placement:
                case Placed(endpoint_id):
                    running = coordinator.ask(BeginRequest(place, endpoint_id))
                    if running is not None:
                        return running
                    excluded = place.excluded | {endpoint_id}
                    place = place._replace(excluded=excluded, is_admitted=True)
                case Full(_, True) | QuotaExceeded():
                    return placement
                case _:
                    break
        return coordinator.ask(place)

    def schedule(self, request):
        """Return the `Scheduled`, `Full` or `QuotaExceeded` for a node's `Schedule`."""
        placement, address = self._parts.coordinator.ask(request)
        if address == self._parts.settings.listen.peer:
            self._parts.batch.preempt(placement.endpoint_id)
        elif address is not None:
            self._client.request_preemption(address, placement.endpoint_id)
        return placement

    def receive_report(self, report):
        """Pass a node's `LoadReport` to the coordinator."""
        self._parts.coordinator.tell(LoadReportReceived(report))

    def _ask_schedulers(self, query, place):
        for node_id, address in query.candidates:
            if time.monotonic() < self._unresponsive_until_by_id.get(node_id, 0.0):
                continue
            placement = self._ask_scheduler(query, place, node_id, address)
            if placement is not None:
                return placement
            self._unresponsive_until_by_id[node_id] = (
                time.monotonic() + UNRESPONSIVE_SECONDS
            )
            self._log.info(
                "scheduler did not answer", node_id=node_id, request_id=place.spread
            )
        return None

    def _ask_scheduler(self, query, place, node_id, address):
        if node_id != query.report.node_id:
            return self._client.schedule(address, query, place)
        request = Schedule(query.report, place, query.group, query.group_count)
        match self.schedule(request):
            case Scheduled(endpoint_id):
                return Placed(endpoint_id)
            case refusal:
                return refusal


class LoadReporter(OwnedThread):
    """One thread that reports this node's requests in flight to the schedulers."""

    def __init__(self, parts, client):
        super().__init__("load reports")
        self._parts = parts
        self._client = client

    def _run(self):
        pause = REPORT_INTERVAL_SECONDS
        while not self._stopped.wait(pause):
            reports = self._parts.coordinator.ask(CollectLoadReports())
            pause = (
                SMALL_FLEET_CHECK_SECONDS
                if reports is None
                else REPORT_INTERVAL_SECONDS
            )
            for address, report in reports or ():
                self._client.send_report(address, report)
