"""Placement of all nodes' requests at the endpoints of a group by one node."""

import math
from typing import NamedTuple

from .hashing import stable_hash
from .health import AVOID_SECONDS, EndpointHealth
from .placement import DEFAULT_SLOTS, QUEUE_ALLOWANCE, Full, ReturnTimes

# An endpoint in the asking node's failure domain is taken if it has at most so many
# requests more than the least loaded one: bytes to other domains are dearer, and as
# many more slow an endpoint by a few per cent.
NEAR_REQUESTS = 2
# Batch items that were turned away are offered again within this time, in seconds.
TURNED_AWAY_SECONDS = 0.6
# Nodes repeat their loads each second while they have any; what one said longer ago no
# longer holds, in seconds.
SILENT_SECONDS = 3.0


class Scheduled(NamedTuple):
    """The endpoint for a request, and the node that is to stop a batch item there."""

    endpoint_id: str
    preempted_node: str | None = None


class _Told(NamedTuple):
    number: tuple
    at: float
    counts_by_id: dict


class GroupScheduler:
    """Knows what all nodes have in flight at the endpoints of its groups.

    Answers the load pattern of a peak that sets in within a fraction of a second at a
    fleet of many small nodes. Each of them meets so few requests that what it knows of
    the others' is old; one node that places for all knows each request at once. It
    keeps nothing that a successor needs: each question brings the asking node's own
    loads along, so that it knows the fleet's within a second.

    >>> from sequoiaglade_decisions.gateway import Endpoint
    >>> scheduler = GroupScheduler()
    >>> endpoints = [Endpoint("a", "s", "", "d", 8), Endpoint("b", "s", "", "d", 8)]
    >>> scheduler.report("n-1", (1, 1), {"a": (3, 0)}, now=0.0)
    >>> scheduler.report("n-2", (1, 1), {}, now=0.0)
    >>> scheduler.choose(endpoints, "n-2", now=0.0, spread="")
    Scheduled(endpoint_id='b', preempted_node=None)
    """

    def __init__(self):
        self._told_by_node = {}
        self._totals_by_id = {}
        self.health = EndpointHealth()
        self._return_times = ReturnTimes()
        self._turned_away_at = -math.inf

    def report(self, node_id, number, counts_by_id, now):
        """Take a node's pairs of online and batch requests by endpoint id.

        `number` rises with each of its reports, over its restarts as well.
        """
        told = self._told_by_node.get(node_id)
        if told is not None and told.number >= number:
            return
        self._forget(node_id)
        counts = {i: list(pair) for i, pair in counts_by_id.items()}
        self._told_by_node[node_id] = _Told(number, now, counts)
        for endpoint_id, (online, batch) in counts.items():
            self._add(endpoint_id, online, batch)

    def drop_stale_reports(self, now):
        """Forget the loads of nodes that have not told them for a while."""
        silent = [
            node_id
            for node_id, told in self._told_by_node.items()
            if now - told.at > SILENT_SECONDS
        ]
        for node_id in silent:
            self._forget(node_id)

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
        """Return `Scheduled` or `Full` for an online request of a node that reported.

        An endpoint with a free slot is taken, else one with a batch item, which has to
        stop, else one whose queue is short. `domain` is the node's failure domain.
        """
        ranked = [
            (self._load(e, domain), stable_hash(spread, e.endpoint_id), e)
            for e in self.health.open_ones(endpoints, now, excluded)
        ]
        if not ranked:
            return Full(AVOID_SECONDS, bool(endpoints))
        free = [row for row in ranked if self._free(row[2]) > 0]
        if free:
            endpoint_id = min(free, key=lambda row: row[:2])[2].endpoint_id
            self._grant(node_id, endpoint_id, False)
            return Scheduled(endpoint_id)
        return self._choose_full(ranked, node_id, now, headroom)

    def choose_for_batch(
        self, endpoints, node_id, now, reserve, spread, domain="", is_late=False
    ):
        """Return the id of the endpoint for a batch item of a node, or None.

        The endpoint has a slot free beyond `reserve` slots. An item that is late gets
        none while items are turned away that can still be in time.
        """
        if is_late and now - self._turned_away_at < TURNED_AWAY_SECONDS:
            return None
        rows = [
            (
                self._load(endpoint, domain),
                stable_hash(spread, endpoint.endpoint_id),
                endpoint,
            )
            for endpoint in endpoints
            if self.health.is_available(endpoint.endpoint_id, now)
            and self._free(endpoint) > reserve
        ]
        if not rows:
            if not is_late:
                self._turned_away_at = now
            return None
        endpoint_id = min(rows, key=lambda row: row[:2])[2].endpoint_id
        self._grant(node_id, endpoint_id, True)
        return endpoint_id

    def _choose_full(self, ranked, node_id, now, headroom):
        most = max(ranked, key=lambda row: (self.counts(row[2].endpoint_id)[1], row[1]))
        endpoint_id = most[2].endpoint_id
        yielding = self._take_batch(endpoint_id)
        if yielding is not None:
            self._grant(node_id, endpoint_id, False)
            return Scheduled(endpoint_id, yielding)
        _, _, least = min(ranked, key=lambda row: (-self._free(row[2]), row[1]))
        if -self._free(least) < QUEUE_ALLOWANCE - headroom:
            self._grant(node_id, least.endpoint_id, False)
            return Scheduled(least.endpoint_id)
        return Full(self._return_times.next_seconds(now), True)

    def _take_batch(self, endpoint_id):
        """Count a batch item at an endpoint as stopped; return its node, or None."""
        for node_id, told in self._told_by_node.items():
            counts = told.counts_by_id.get(endpoint_id)
            if counts is not None and counts[1]:
                counts[1] -= 1
                self._add(endpoint_id, 0, -1)
                return node_id
        return None

    def _load(self, endpoint, domain):
        online, batch = self.counts(endpoint.endpoint_id)
        load = (online + batch) * self.health.pace_ratio(endpoint.endpoint_id)
        if endpoint.failure_domain != domain:
            load += NEAR_REQUESTS
        return load / (endpoint.slots or DEFAULT_SLOTS)

    def _free(self, endpoint):
        online, batch = self.counts(endpoint.endpoint_id)
        return (endpoint.slots or DEFAULT_SLOTS) - online - batch

    def _grant(self, node_id, endpoint_id, is_batch):
        counts = self._told_by_node[node_id].counts_by_id
        counts.setdefault(endpoint_id, [0, 0])[is_batch] += 1
        self._add(endpoint_id, not is_batch, is_batch)

    def _forget(self, node_id):
        told = self._told_by_node.pop(node_id, None)
        if told is None:
            return
        for endpoint_id, (online, batch) in told.counts_by_id.items():
            self._add(endpoint_id, -online, -batch)

    def _add(self, endpoint_id, online, batch):
        totals = self._totals_by_id.setdefault(endpoint_id, [0, 0])
        totals[0] += online
        totals[1] += batch
        if not any(totals):
            del self._totals_by_id[endpoint_id]
