"""The coordinator's part in scheduling: asking schedulers, and being one."""

from sequoiaglade_decisions.gateway import (
    DEFAULT_SLOTS,
    RESERVE_SLOTS,
    Full,
    GroupScheduler,
    Scheduled,
    eligible_nodes,
    group_count,
    group_of,
    schedulers,
    stable_hash,
)

from . import messages
from .messages import EndpointResult, LoadReport, Question

# Results kept for the next report; a report is due many times a second.
RESULTS_MAX = 200
# A node with requests in flight repeats its report after this long, in seconds.
REPEAT_SECONDS = 1.0
# A batch item that was refused may be offered again after this long, in seconds.
BATCH_RETRY_SECONDS = 0.3


class FleetScheduling:
    """Owned by the coordinator, whose directory, nodes and loads it reads."""

    def __init__(self, own_state, directory, nodes, loads):
        self._own_state = own_state
        self._directory = directory
        self._nodes = nodes
        self._loads = loads
        self._scheduler = GroupScheduler()
        self._number = 0
        self._results = []
        self._is_changed = False
        self._reported_at = 0.0

    def question(self, service, spread, now):
        """Return the `Question` for a request, None in a small fleet."""
        if not self._nodes.is_large:
            return None
        state_by_id, able = self._able(now)
        if not able:
            return None
        count = self._group_count(service, state_by_id, able, now)
        group = stable_hash("request", spread) % count
        asked = schedulers(service, group, able)
        candidates = [(i, state_by_id[i].peer_address) for i in asked]
        return Question(candidates, group, count, self._report())

    def schedule(self, asked, now):
        """Place another node's request, or this one's; return `Scheduled` or `Full`."""
        self.hear(asked.report, now)
        place = asked.place
        endpoints = [
            endpoint
            for endpoint in self._directory.usable(place.service, now)
            if group_of(endpoint.endpoint_id, asked.group_count) == asked.group
        ]
        node_id = asked.report.node_id
        asking = self._nodes.state(node_id) or self._own_state()
        domain = asking.failure_domain
        if not place.is_batch:
            return self._scheduler.choose(
                endpoints,
                node_id,
                now,
                place.spread,
                place.excluded,
                place.headroom,
                domain,
            )
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
        return Scheduled(endpoint_id)

    def hear(self, report, now):
        """Take a node's `LoadReport`."""
        self._scheduler.report(report.node_id, report.number, report.counts_by_id, now)
        health = self._scheduler.health
        for result in report.results:
            match result.outcome:
                case messages.DONE:
                    health.note_success(result.endpoint_id)
                case messages.NOT_SENT | messages.BROKEN:
                    # Requests that one crash breaks off count as one failure.
                    if health.is_available(result.endpoint_id, now):
                        health.note_failure(result.endpoint_id, now)
                case messages.REFUSED:
                    health.note_full(result.endpoint_id, now)
            if result.pause_seconds:
                health.note_pace(result.endpoint_id, result.pause_seconds)

    def note_begin(self):
        """Take note that a request was sent to an endpoint."""
        self._is_changed = True

    def note_end(self, endpoint_id, outcome, pause_seconds=0.0):
        """Take note of how a request ended, to report it."""
        if self._nodes.is_large:
            self._is_changed = True
            result = EndpointResult(endpoint_id, outcome, pause_seconds)
            self._results = [*self._results[-RESULTS_MAX:], result]

    def reports(self, now):
        """Return pairs of peer address and `LoadReport` that are due.

        Returns None in a small fleet, which has no schedulers.
        """
        if not self._nodes.is_large:
            return None
        self._scheduler.drop_stale_reports(now)
        is_due = now - self._reported_at >= REPEAT_SECONDS and self._loads.own()
        if not (self._is_changed or is_due):
            return []
        told = set(self.schedulers(now).values())
        if not told:
            return []
        self._is_changed = False
        self._reported_at = now
        report = self._report(self._results)
        self._results = []
        if report.node_id in told:
            self.hear(report, now)
            told.remove(report.node_id)
        states = map(self._nodes.state, sorted(told))
        return [(state.peer_address, report) for state in states]

    def schedulers(self, now):
        """Return the id of the node that schedules each group, by service and group.

        Empty in a small fleet.
        """
        state_by_id, able = self._able(now)
        if not self._nodes.is_large or not able:
            return {}
        return {
            f"{service}/{group}": schedulers(service, group, able)[0]
            for service in self._directory.services()
            for group in range(self._group_count(service, state_by_id, able, now))
        }

    def _report(self, results=()):
        self._number += 1
        own = self._own_state()
        number = (own.incarnation, self._number)
        return LoadReport(own.node_id, number, self._loads.own(), tuple(results))

    def _able(self, now):
        """Return the states of nodes by id, and the ids of those that may schedule."""
        state_by_id = {
            state.node_id: state
            for state in [*self._nodes.live(now), self._own_state()]
            if not state.is_leaving
        }
        return state_by_id, eligible_nodes({i: s.cores for i, s in state_by_id.items()})

    def _group_count(self, service, state_by_id, able, now):
        endpoints = self._directory.usable(service, now)
        slots = sum(endpoint.slots or DEFAULT_SLOTS for endpoint in endpoints)
        return group_count(slots, min(state_by_id[i].cores for i in able))
