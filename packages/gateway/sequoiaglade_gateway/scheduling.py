"""The coordinator's part in scheduling, as a client of schedulers and as one of them.

In a large fleet one node places all requests of a group of endpoints.
"""

from sequoiaglade_decisions.gateway import (
    DEFAULT_SLOTS,
    RESERVE_SLOTS,
    Full,
    GroupScheduler,
    PermitSource,
    Scheduled,
    eligible_nodes,
    group_count,
    group_of,
    schedulers,
    stable_hash,
)

from .endpoint_pacing import apply_result
from .messages import (
    ABANDONED,
    BROKEN,
    EndpointResult,
    LoadReport,
    SchedulerQuery,
)

# Results kept for the next report; reports are due many times a second.
MAX_RESULTS = 200
# A node with requests in flight repeats its report at least this often.
REPORT_REPEAT_SECONDS = 1.0
# A batch item that got no slot may be offered again after this time.
BATCH_RETRY_SECONDS = 0.3
# Reports include the workspaces with requests admitted within this time; a lost report
# is replaced by a later one.
ADMITTED_SECONDS = 1.0


class FleetScheduling:
    """Finds schedulers for requests, and places requests as a scheduler.

    The coordinator owns it; it reads the coordinator's directory, nodes, loads, quotas
    and regions.
    """

    def __init__(self, own_state, directory, nodes, loads, quotas, paces, regions):
        self._get_own_state = own_state
        self._directory = directory
        self._nodes = nodes
        self._loads = loads
        self._quotas = quotas
        self._paces = paces
        self._regions = regions
        self._scheduler = GroupScheduler(paces)
        self._figure_by_id = {}
        self._number = 0
        self._results = []
        self._has_changes = False
        self._reported_at = 0.0

    def find_schedulers(self, service, spread, now):
        """Return the `SchedulerQuery` for a request, or None.

        It is None in a small fleet, and while no node may schedule.
        """
        if not self._nodes.is_large:
            return None
        state_by_id, eligible = self._eligible(now)
        if not eligible:
            return None
        count = self._group_count(service, state_by_id, eligible, now)
        group = stable_hash("request", spread) % count
        node_ids = schedulers(service, group, eligible)
        candidates = [(i, state_by_id[i].peer_address) for i in node_ids]
        leaving_ids = self._directory.leaving_ids(service, now)
        report = self._report(now)
        return SchedulerQuery(candidates, group, count, report, leaving_ids)

    def granters_by_id(self, endpoints, states, now):
        """Return the ids of the nodes that grant permits for each endpoint, by its id.

        These are the schedulers of its group. `states` are those of the nodes that may.
        """
        state_by_id = {state.node_id: state for state in states}
        eligible = eligible_nodes({i: s.cores for i, s in state_by_id.items()})
        count_by_service = {
            service: self._group_count(service, state_by_id, eligible, now)
            for service in {endpoint.service for endpoint in endpoints}
        }
        # Many endpoints share few groups.
        node_ids_by_group = {}
        granters_by_id = {}
        for endpoint_id, service, *_ in endpoints:
            group = service, group_of(endpoint_id, count_by_service[service])
            if group not in node_ids_by_group:
                node_ids_by_group[group] = schedulers(*group, eligible)
            granters_by_id[endpoint_id] = node_ids_by_group[group]
        return granters_by_id

    def schedule(self, request, now, limits):
        """Place a request of another node or this one; return `Scheduled` or `Full`.

        The report in the request was received before. `limits` are those of the
        endpoints, for which the permits are taken here.
        """
        place = request.place
        endpoints = [
            endpoint
            for endpoint in self._directory.usable(place.service, now)
            if group_of(endpoint.endpoint_id, request.group_count) == request.group
            and endpoint.endpoint_id not in place.excluded
        ]
        endpoints = self._regions.allowed(place.regions, endpoints)
        endpoints = limits.grantable(endpoints, place.is_batch, now)
        node_id = request.report.node_id
        requester = self._nodes.state(node_id) or self._get_own_state()
        domain = requester.failure_domain
        if not place.is_batch:
            placement = self._scheduler.choose(
                endpoints,
                node_id,
                now,
                place.spread,
                place.excluded,
                place.headroom,
                domain,
            )
            if isinstance(placement, Full):
                return placement
            return self._with_permits(placement, limits, now)
        endpoint_id = self._scheduler.choose_for_batch(
            endpoints,
            node_id,
            now,
            RESERVE_SLOTS,
            place.spread,
            domain,
            place.is_late,
        )
        if endpoint_id is None:
            return Full(BATCH_RETRY_SECONDS, bool(endpoints))
        return self._with_permits(Scheduled(endpoint_id), limits, now)

    def _with_permits(self, placement, limits, now):
        sources = limits.take_own(placement.endpoint_id, now)
        pace = self._paces.tell(placement.endpoint_id, now)
        if not sources and pace is None:
            return placement
        return placement._replace(
            has_permit=PermitSource.NAMED in sources,
            has_cold_permit=PermitSource.COLD in sources,
            pace=pace,
        )

    def receive_report(self, report, now):
        """Update loads and health from a node's `LoadReport`."""
        self._scheduler.report(report.node_id, report.number, report.counts_by_id, now)
        is_own = report.node_id == self._get_own_state().node_id
        self._paces.adopt(report.paces, now)
        for result in report.results:
            apply_result(result, self._scheduler.health, self._paces, now, is_own)

    def note_begin(self):
        """Note that a request was sent to an endpoint; a report is due."""
        self._has_changes = True

    def note_end(self, endpoint_id, outcome, pause_seconds=0.0, run_seconds=0.0):
        """Note how a request ended, or that it waits, for the next report."""
        is_abandoned = outcome == ABANDONED
        result = EndpointResult(
            endpoint_id,
            # Nodes of older releases know only this outcome.
            BROKEN if is_abandoned else outcome,
            pause_seconds,
            run_seconds=run_seconds,
            is_abandoned=is_abandoned,
        )
        self._note_result(result)

    def note_answer(self, endpoint_id, lateness, seconds):
        """Note the time to a first event for the next report.

        A report is due at once only if the endpoint is limited: each one is a call to
        every scheduler, and the end of the request brings the next one.
        """
        result = EndpointResult(
            endpoint_id, "", lateness=lateness, answer_seconds=seconds
        )
        self._note_result(result, self._paces.is_limited(endpoint_id))

    def note_figure(self, endpoint_id, percent, now):
        """Note the latest speed that an endpoint stated for the next report."""
        if self._nodes.is_large:
            self._figure_by_id[endpoint_id] = (percent, now)

    def collect_reports(self, now):
        """Return a list of pairs of peer address and `LoadReport` that are due.

        Return None in a small fleet, which has no schedulers. A report to this node
        itself is applied immediately.
        """
        if not self._nodes.is_large:
            return None
        self._scheduler.drop_stale_reports(now)
        is_due = now - self._reported_at >= REPORT_REPEAT_SECONDS and self._loads.own()
        if not (self._has_changes or is_due):
            return []
        recipients = set(self.schedulers(now).values())
        if not recipients:
            return []
        self._has_changes = False
        self._reported_at = now
        figures = [
            EndpointResult(
                endpoint_id, "", work_percent=percent, work_age_seconds=now - at
            )
            for endpoint_id, (percent, at) in self._figure_by_id.items()
        ]
        report = self._report(now, [*self._results, *figures])
        self._results, self._figure_by_id = [], {}
        if report.node_id in recipients:
            self.receive_report(report, now)
            recipients.remove(report.node_id)
        states = map(self._nodes.state, sorted(recipients))
        return [(state.peer_address, report) for state in states]

    def schedulers(self, now):
        """Return the id of the node that schedules each group, by "service/group".

        It is empty in a small fleet.
        """
        state_by_id, eligible = self._eligible(now)
        if not self._nodes.is_large or not eligible:
            return {}
        return {
            f"{service}/{group}": schedulers(service, group, eligible)[0]
            for service in self._directory.services()
            for group in range(self._group_count(service, state_by_id, eligible, now))
        }

    def _report(self, now, results=()):
        self._number += 1
        own = self._get_own_state()
        return LoadReport(
            own.node_id,
            (own.incarnation, self._number),
            self._loads.own(),
            tuple(results),
            self._quotas.admitted_since(now, ADMITTED_SECONDS),
            self._paces.notices(now),
        )

    def _note_result(self, result, is_due=True):
        if self._nodes.is_large:
            self._has_changes = self._has_changes or is_due
            self._results = [*self._results[-MAX_RESULTS:], result]

    def _eligible(self, now):
        """Return the states of nodes by id, and the ids of those that may schedule."""
        state_by_id = {
            state.node_id: state
            for state in [*self._nodes.live(now), self._get_own_state()]
            if not state.is_leaving
        }
        return state_by_id, eligible_nodes({i: s.cores for i, s in state_by_id.items()})

    def _group_count(self, service, state_by_id, eligible, now):
        endpoints = self._directory.listed_ready(service, now)
        slots = sum(endpoint.slots or DEFAULT_SLOTS for endpoint in endpoints)
        return group_count(slots, min(state_by_id[i].cores for i in eligible))
