"""Placement of requests: by a scheduler node in a large fleet, else by this node."""

import time

import structlog

from sequoiaglade_decisions.gateway import (
    PERMIT_USE_SECONDS,
    Full,
    Permit,
    Placed,
    Scheduled,
)
from sequoiaglade_node.threads import OwnedThread

from .access_messages import (
    FindEndpoint,
    FindPermitGranters,
    PermitDenied,
    TakePermit,
)
from .evacuation_messages import FindEvacuated
from .messages import (
    STOPPED,
    BeginRequest,
    CollectLoadReports,
    FindSchedulers,
    InFlightRequest,
    LoadReportReceived,
    QuotaExceeded,
    RequestEnded,
    Schedule,
)
from .version_messages import UsableVersions

# A scheduler that did not answer is skipped for this time; by then the other nodes have
# detected the failure, or it answers again.
UNRESPONSIVE_SECONDS = 2.0
# Schedulers learn of ended requests within this time, a small fraction of the time that
# a request holds its slot.
REPORT_INTERVAL_SECONDS = 0.05
# The answer of a granter that gives none: requests go elsewhere for a while.
UNANSWERED_PERMIT = Permit(False, 0.5)
# A placement at an endpoint that this node may not use costs another call.
SCHEDULER_ASKS_MAX = 2
# A permit that is valid for this long is used: a connection takes some milliseconds.
CONNECTING_SECONDS = 0.1
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

        An endpoint with a limit of requests a second needs a permit; without one the
        request is placed elsewhere. After a denial for a cold endpoint it asks no other
        node: in a peak of requests all cold endpoints deny, one after another. Return
        None if this node finds no slot for a batch item.
        """
        while True:
            asked_at = time.monotonic()
            placed = self._place(place)
            if not isinstance(placed, InFlightRequest):
                return placed
            permitted = self._permit(placed, place, asked_at)
            if isinstance(permitted, InFlightRequest):
                return permitted
            endpoint_id = placed.endpoint.endpoint_id
            ended = RequestEnded(endpoint_id, place.is_batch, STOPPED)
            self._parts.coordinator.tell(ended)
            if place.was_denied:
                return Full(permitted.retry_seconds, True)
            # The request was counted for its workspace's quota when it was placed.
            excluded = place.excluded | {endpoint_id}
            was_denied = placed.endpoint.cold_seconds > 0
            place = place._replace(
                excluded=excluded, workspace=None, was_denied=was_denied
            )

    def grant_permit(self, take):
        """Return the `Permit` for a `TakePermit`, as the granter for an endpoint."""
        return self._parts.coordinator.ask(take)

    def renew_permit(self, placed, place):
        """Return an `InFlightRequest` that was placed some time ago with a new permit.

        Return None if its endpoint is cold and no permit is given.
        """
        if self._parts.settings.cold_starts is None:
            return placed
        until = placed.permit_until
        if until is not None and until - time.monotonic() > CONNECTING_SECONDS:
            return placed
        endpoint_id = placed.endpoint.endpoint_id
        endpoint = self._parts.coordinator.ask(FindEndpoint(endpoint_id))
        if endpoint is None or not endpoint.cold_seconds:
            return placed._replace(permit_until=None)
        placed = placed._replace(endpoint=endpoint, has_cold_permit=False)
        permitted = self._permit(placed, place, time.monotonic())
        return permitted if isinstance(permitted, InFlightRequest) else None

    def _permit(self, placed, place, asked_at):
        """Return an `InFlightRequest` as permitted, or the `Permit` that is denied."""
        endpoint = placed.endpoint
        is_named = endpoint.request_limit is not None and not placed.has_permit
        is_cold = endpoint.cold_seconds > 0 and not placed.has_cold_permit
        until = None
        if endpoint.cold_seconds > 0 or placed.has_cold_permit:
            until = asked_at + PERMIT_USE_SECONDS
        if not (is_named or is_cold):
            if placed.has_cold_permit:
                self._parts.metrics.count("cold permit", "granted")
            return placed._replace(permit_until=until)
        endpoint_id = endpoint.endpoint_id
        granters = self._parts.coordinator.ask(FindPermitGranters(endpoint_id))
        if granters is None:
            return placed
        if until is not None or granters.cold is not None:
            until = time.monotonic() + PERMIT_USE_SECONDS
        permit = UNANSWERED_PERMIT
        # The address of this node itself is None.
        is_own = [address for _, address in granters.candidates[:1]] == [None]
        if is_own or not place.was_denied:
            permit = self._ask_granters(granters, place.is_batch)
        outcome = "granted" if permit.is_granted else "denied"
        if granters.cold is None or granters.cold.is_limited:
            self._parts.metrics.count("permit", outcome)
        if granters.cold is not None:
            self._parts.metrics.count("cold permit", outcome)
        if permit.is_granted:
            return placed._replace(permit_until=until)
        denied = PermitDenied(endpoint_id, place.is_batch, permit)
        self._parts.coordinator.tell(denied)
        self._log.info(
            "permit denied",
            request_id=place.spread,
            endpoint_id=endpoint_id,
            limit=endpoint.request_limit,
            cold_seconds=round(endpoint.cold_seconds, 3),
            granters=[node_id for node_id, _ in granters.candidates],
            retry_seconds=round(permit.retry_seconds, 3),
        )
        return permit

    def _ask_granters(self, granters, is_batch):
        for node_id, address in granters.candidates:
            if address is None:
                take = TakePermit(granters.notice, is_batch, granters.cold)
                return self.grant_permit(take)
            if self._is_unresponsive(node_id):
                continue
            permit = self._client.take_permit(
                address, granters.notice, is_batch, granters.cold
            )
            if permit is not None:
                return permit
            self._note_unresponsive(node_id)
        return UNANSWERED_PERMIT

    def _place(self, place):
        """Place a request without regard to permits; return as `place` does.

        A request for one of several software versions is placed by this node, since the
        group that a scheduler places in may have no endpoint of that version.
        A scheduler that chooses an endpoint that is draining, leaving, evacuated or
        removed according to this node is asked once more. If no scheduler answers or
        finds an endpoint, this node places the request by its own state. Return None if
        it then finds no slot for a batch item.
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
                case Placed(endpoint_id, _, has_permit, has_cold_permit, pace):
                    begin = BeginRequest(
                        place, endpoint_id, has_permit, has_cold_permit, pace
                    )
                    running = coordinator.ask(begin)
                    if running is not None:
                        return running
                    # A scheduler of an older release knows of no evacuations.
                    evacuated = coordinator.ask(FindEvacuated(place.service))
                    excluded = place.excluded | {endpoint_id} | evacuated.ids
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
            if self._is_unresponsive(node_id):
                continue
            placement = self._ask_scheduler(query, place, node_id, address)
            if placement is not None:
                return placement
            self._note_unresponsive(node_id)
            self._log.info(
                "scheduler did not answer", node_id=node_id, request_id=place.spread
            )
        return None

    def _is_unresponsive(self, node_id):
        return time.monotonic() < self._unresponsive_until_by_id.get(node_id, 0.0)

    def _note_unresponsive(self, node_id):
        until = time.monotonic() + UNRESPONSIVE_SECONDS
        self._unresponsive_until_by_id[node_id] = until

    def _ask_scheduler(self, query, place, node_id, address):
        if node_id != query.report.node_id:
            return self._client.schedule(address, query, place)
        request = Schedule(query.report, place, query.group, query.group_count)
        match self.schedule(request):
            case Scheduled(endpoint_id, _, has_permit, has_cold_permit, _):
                return Placed(endpoint_id, False, has_permit, has_cold_permit)
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
