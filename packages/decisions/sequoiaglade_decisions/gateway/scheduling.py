"""Placement of all nodes' requests at the endpoints of a group by a single node."""

from typing import NamedTuple

from .endpoint_pace import EndpointPaces
from .endpoints import DEFAULT_SLOTS
from .hashing import stable_hash
from .health import AVOID_SECONDS, EndpointHealth
from .pace_limits import PaceLimit, limited_slots
from .placement import QUEUE_ALLOWANCE, Full, RetryAfter

# An endpoint in the requesting node's failure domain is preferred if it has at most
# this many requests more than the least loaded one. Traffic to other domains costs
# more, and this many requests slow an endpoint by only a few per cent.
LOCAL_PREFERENCE_REQUESTS = 2
# Batch items that found no slot are offered again within this time.
BATCH_RETRY_SECONDS = 0.6
# Lifetime of a node's report. Nodes with requests in flight report every second.
REPORT_LIFETIME_SECONDS = 3.0


class Scheduled(NamedTuple):
    """The endpoint for a request, and the node that must stop a batch item there.

    `has_permit` is whether a permit for an endpoint with a limit was taken already,
    `has_cold_permit` whether one for a cold endpoint was. `pace` is the `PaceLimit`
    of the endpoint, None if it is not paced.
    """

    endpoint_id: str
    preempted_node: str | None = None
    has_permit: bool = False
    has_cold_permit: bool = False
    pace: PaceLimit | None = None


class _Report(NamedTuple):
    number: tuple
    received_at: float
    counts_by_id: dict


class GroupScheduler:
    """Tracks the requests in flight of all nodes at the endpoints of its groups.

    A load peak may start within a fraction of a second in a fleet of many small nodes.
    Each node handles so few requests that its view of the other nodes' requests is out
    of date; a single node that places all requests counts each of them immediately. A
    successor needs no state of its predecessor: each placement request includes the
    requesting node's loads, so the successor has those of the fleet within a second.

    >>> from sequoiaglade_decisions.gateway import Endpoint
    >>> scheduler = GroupScheduler()
    >>> endpoints = [Endpoint("a", "s", "", "d", 8), Endpoint("b", "s", "", "d", 8)]
    >>> scheduler.report("n-1", (1, 1), {"a": (3, 0)}, now=0.0)
    >>> scheduler.report("n-2", (1, 1), {}, now=0.0)
    >>> scheduler.choose(endpoints, "n-2", now=0.0, spread="").endpoint_id
    'b'
    """

    def __init__(self, paces=None):
        self._paces = paces or EndpointPaces()
        self._report_by_node = {}
        self._totals_by_id = {}
        self.health = EndpointHealth()
        self._retry_after = RetryAfter()
        self._batch_refused_at_by_endpoint = {}

    def report(self, node_id, number, counts_by_id, now):
        """Replace a node's pairs of online and batch counts by endpoint id.

        `number` increases with each report of the node, also across restarts. Reports
        that arrive out of order are ignored.
        """
        previous = self._report_by_node.get(node_id)
        if previous is not None and previous.number >= number:
            return
        self._remove_report(node_id)
        counts = {i: list(pair) for i, pair in counts_by_id.items()}
        self._report_by_node[node_id] = _Report(number, now, counts)
        for endpoint_id, (online, batch) in counts.items():
            self._add_to_totals(endpoint_id, online, batch)

    def drop_stale_reports(self, now):
        """Drop the loads of nodes without a report for `REPORT_LIFETIME_SECONDS`.

        Also drop refusals of batch items that no longer delay late items.
        """
        stale = [
            node_id
            for node_id, report in self._report_by_node.items()
            if now - report.received_at > REPORT_LIFETIME_SECONDS
        ]
        for node_id in stale:
            self._remove_report(node_id)
        self._batch_refused_at_by_endpoint = {
            endpoint_id: refused_at
            for endpoint_id, refused_at in self._batch_refused_at_by_endpoint.items()
            if now - refused_at < BATCH_RETRY_SECONDS
        }

    def counts(self, endpoint_id):
        """Return the pair of online and batch requests in flight at an endpoint."""
        return tuple(self._totals_by_id.get(endpoint_id, (0, 0)))

    def choose(
        self,
        endpoints,
        node_id,
        now,
        spread,
        excluded=frozenset(),
        headroom=0,
        domain="",
    ):
        """Return `Scheduled` or `Full` for an online request of a node with a report.

        An endpoint with a free slot is chosen, else one with a batch item, which is
        preempted, else one with a short queue. `domain` is the node's failure domain.
        """
        candidates = self.health.candidates(endpoints, now, excluded)
        if not candidates:
            return Full(AVOID_SECONDS, bool(endpoints))
        limits = self._paces.limits_for(candidates, now)
        firm = self._paces.firm_limits(candidates, now) if limits else limits
        placed = self._choose_within(
            limits, firm, candidates, node_id, now, spread, headroom, domain
        )
        if placed is None and firm != limits:
            placed = self._choose_within(
                firm, firm, candidates, node_id, now, spread, headroom, domain
            )
        return placed or Full(self._retry_after.next_seconds(now), True)

    def _choose_within(
        self, limit_by_id, firm, candidates, node_id, now, spread, headroom, domain
    ):
        """Return `Scheduled`, or None if all endpoints are full within their limits.

        `firm` are the limits within which a free slot goes before a preemption.
        """
        ranked = [
            (
                self._weighted_load(e, domain, limit_by_id, now),
                stable_hash(spread, e.endpoint_id),
                e,
            )
            for e in candidates
        ]
        free = [row for row in ranked if self._free_slots(row[2], limit_by_id) > 0]
        if free:
            endpoint_id = min(free, key=lambda row: row[:2])[2].endpoint_id
            self._count_placement(node_id, endpoint_id, False)
            return Scheduled(endpoint_id)
        return self._choose_when_full(ranked, limit_by_id, firm, node_id, headroom)

    def choose_for_batch(
        self, endpoints, node_id, now, reserve, spread, domain="", is_late=False
    ):
        """Return the id of the endpoint for a batch item of a node, or None.

        The endpoint has at least one free slot beyond `reserve` slots. A late item gets
        none at endpoints where items that can still finish on time are refused.
        """
        limits = self._paces.limits_for(endpoints, now)
        rows = [
            (
                self._weighted_load(endpoint, domain, limits, now),
                stable_hash(spread, endpoint.endpoint_id),
                endpoint,
            )
            for endpoint in endpoints
            if self.health.is_available(endpoint.endpoint_id, now)
            and self._has_batch_slot(endpoint, reserve, limits)
            and not (is_late and self._has_refused_batch(endpoint.endpoint_id, now))
        ]
        if not rows:
            if not is_late:
                ids = [endpoint.endpoint_id for endpoint in endpoints]
                self._batch_refused_at_by_endpoint.update(dict.fromkeys(ids, now))
            return None
        endpoint_id = min(rows, key=lambda row: row[:2])[2].endpoint_id
        self._count_placement(node_id, endpoint_id, True)
        return endpoint_id

    def _choose_when_full(self, ranked, limit_by_id, firm, node_id, headroom):
        most_batch = max(
            ranked, key=lambda row: (self.counts(row[2].endpoint_id)[1], row[1])
        )
        endpoint_id = most_batch[2].endpoint_id
        if firm != limit_by_id and self.counts(endpoint_id)[1]:
            free = [row for row in ranked if self._free_slots(row[2], firm) > 0]
            if free:
                endpoint_id = min(free, key=lambda row: row[:2])[2].endpoint_id
                self._count_placement(node_id, endpoint_id, False)
                return Scheduled(endpoint_id)
        preempted_node = self._preempt_batch(endpoint_id)
        if preempted_node is not None:
            self._count_placement(node_id, endpoint_id, False)
            return Scheduled(endpoint_id, preempted_node)
        # None waits at an endpoint beyond its limit.
        rows = [row for row in ranked if row[2].endpoint_id not in limit_by_id]
        if not rows:
            return None
        _, _, shortest_queue = min(
            rows, key=lambda row: (-self._free_slots(row[2], {}), row[1])
        )
        if -self._free_slots(shortest_queue, {}) < QUEUE_ALLOWANCE - headroom:
            self._count_placement(node_id, shortest_queue.endpoint_id, False)
            return Scheduled(shortest_queue.endpoint_id)
        return None

    def _preempt_batch(self, endpoint_id):
        """Discount a batch item at an endpoint; return its node, or None."""
        for node_id, report in self._report_by_node.items():
            counts = report.counts_by_id.get(endpoint_id)
            if counts is not None and counts[1]:
                counts[1] -= 1
                self._add_to_totals(endpoint_id, 0, -1)
                return node_id
        return None

    def _has_refused_batch(self, endpoint_id, now):
        refused_at = self._batch_refused_at_by_endpoint.get(endpoint_id)
        return refused_at is not None and now - refused_at < BATCH_RETRY_SECONDS

    def _weighted_load(self, endpoint, domain, limit_by_id, now):
        online, batch = self.counts(endpoint.endpoint_id)
        count = online + batch
        slots = endpoint.slots or DEFAULT_SLOTS
        ratio = self.health.pace_ratio(endpoint.endpoint_id)
        added = 0.0
        if self._paces.has_figures:
            # The request itself counts: the speed matters at idle endpoints too.
            ratio *= self._paces.figure_factor(endpoint.endpoint_id, now)
            added += ratio
        if endpoint.failure_domain != domain:
            added += LOCAL_PREFERENCE_REQUESTS
        if endpoint.endpoint_id not in limit_by_id:
            return (count * ratio + added) / slots
        # What is added counts no more at a low limit: an idle endpoint could not raise
        # it.
        return count * ratio / limited_slots(endpoint, limit_by_id) + added / slots

    def _has_batch_slot(self, endpoint, reserve, limit_by_id):
        if endpoint.endpoint_id in limit_by_id:
            # The reserve leaves a limited endpoint one item, which may raise its limit.
            reserve = min(reserve, limited_slots(endpoint, limit_by_id) - 1)
        return self._free_slots(endpoint, limit_by_id) > reserve

    def _free_slots(self, endpoint, limit_by_id):
        online, batch = self.counts(endpoint.endpoint_id)
        return limited_slots(endpoint, limit_by_id) - online - batch

    def _count_placement(self, node_id, endpoint_id, is_batch):
        counts = self._report_by_node[node_id].counts_by_id
        counts.setdefault(endpoint_id, [0, 0])[is_batch] += 1
        self._add_to_totals(endpoint_id, not is_batch, is_batch)

    def _remove_report(self, node_id):
        report = self._report_by_node.pop(node_id, None)
        if report is None:
            return
        for endpoint_id, (online, batch) in report.counts_by_id.items():
            self._add_to_totals(endpoint_id, -online, -batch)

    def _add_to_totals(self, endpoint_id, online, batch):
        totals = self._totals_by_id.setdefault(endpoint_id, [0, 0])
        totals[0] += online
        totals[1] += batch
        if not any(totals):
            del self._totals_by_id[endpoint_id]
