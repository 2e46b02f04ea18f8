"""Placement of a node's requests: endpoint loads and the choice of an endpoint."""

from typing import NamedTuple

from .endpoint_pace import EndpointPaces
from .endpoints import DEFAULT_SLOTS
from .hashing import stable_hash
from .health import AVOID_SECONDS, EndpointHealth
from .pace_limits import PaceLimit, limited_slots

# Requests that may wait at an endpoint. At the load of the sites an endpoint with 8
# slots frees one about every 100 ms, and the latency objective is 300 ms.
QUEUE_ALLOWANCE = 2
# Retry-After of a refused request, plus a step for each refusal in the second before:
# few refusals indicate the edge of a peak, many a peak. Callers wait for five seconds
# and honour a Retry-After of up to a third of that.
RETRY_AFTER_SECONDS = 0.3
RETRY_AFTER_SECONDS_EACH = 0.1
RETRY_AFTER_SECONDS_MAX = 1.2
# Lifetime of a peer's loads. Peers gossip several times per second.
PEER_LOAD_SECONDS = 1.5
# The same in a large fleet, where gossip is older; its batch loads are still valid.
PEER_LOAD_SECONDS_LARGE = 4.0
# Loads that differ by up to this many requests are considered equal. The nodes' counts
# lag by about as much; otherwise all nodes would choose the same endpoint.
SIMILAR_LOAD_REQUESTS = 1
# Endpoints sampled for a request in a large fleet.
SAMPLE_SIZE = 2


class Placed(NamedTuple):
    """The endpoint for a request; `preempts` if a batch item there must stop first.

    `has_permit` is whether a permit for an endpoint with a limit was taken already,
    `has_cold_permit` whether one for a cold endpoint was. `pace` is the `PaceLimit`
    that a scheduler told, None if it told none.
    """

    endpoint_id: str
    preempts: bool = False
    has_permit: bool = False
    has_cold_permit: bool = False
    pace: PaceLimit | None = None


class Full(NamedTuple):
    """No endpoint can start the request in time; `retry_after` is in seconds."""

    retry_after: float
    has_endpoints: bool


class RetryAfter:
    """Retry-After values, which increase with the rate of refusals."""

    def __init__(self):
        self._refused_at = []

    def next_seconds(self, now):
        """Count a refusal; return its Retry-After in seconds."""
        recent = [at for at in self._refused_at if now - at < 1.0]
        self._refused_at = [*recent, now]
        seconds = RETRY_AFTER_SECONDS + RETRY_AFTER_SECONDS_EACH * len(recent)
        return min(seconds, RETRY_AFTER_SECONDS_MAX)


class EndpointLoads:
    """Requests in flight by endpoint, of this node and its peers.

    Many nodes send short requests at the same time. Requests that take less than a
    second end faster than endpoints report their loads, so the nodes' own counts of
    requests in flight, gossiped several times per second, are more accurate.

    >>> from sequoiaglade_decisions.gateway import Endpoint
    >>> loads = EndpointLoads()
    >>> endpoints = [Endpoint("a", "s", "", "d", 8), Endpoint("b", "s", "", "d", 8)]
    >>> loads.begin("a", is_batch=False)
    >>> loads.begin("a", is_batch=False)
    >>> loads.choose(endpoints, now=0.0, spread="").endpoint_id
    'b'
    """

    def __init__(self, failure_domain="", paces=None):
        self._failure_domain = failure_domain
        self._paces = paces or EndpointPaces()
        self._own_by_id = {}
        self._report_by_peer = {}
        self.health = EndpointHealth()
        self._retry_after = RetryAfter()
        self._last_full_at = None
        self.is_fleet_large = False

    def begin(self, endpoint_id, is_batch):
        """Count the start of a request at an endpoint."""
        counts = self._own_by_id.setdefault(endpoint_id, [0, 0])
        counts[is_batch] += 1

    def end(self, endpoint_id, is_batch):
        """Count the end of a request at an endpoint."""
        counts = self._own_by_id[endpoint_id]
        counts[is_batch] -= 1
        if not any(counts):
            del self._own_by_id[endpoint_id]

    def own(self):
        """Return this node's pairs of online and batch counts by endpoint id."""
        return {i: tuple(counts) for i, counts in self._own_by_id.items()}

    def update_peer(self, node_id, count_by_endpoint, now):
        """Replace a peer's pairs of online and batch counts by endpoint id."""
        self._report_by_peer[node_id] = (now, count_by_endpoint)

    def counts(self, endpoint_id, now):
        """Return the pair of online and batch requests in flight at an endpoint."""
        online, batch = self._own_by_id.get(endpoint_id, (0, 0))
        for reported_at, count_by_endpoint in self._report_by_peer.values():
            if now - reported_at <= self._peer_load_seconds:
                peer_counts = count_by_endpoint.get(endpoint_id, (0, 0))
                online += peer_counts[0]
                batch += peer_counts[1]
        return online, batch

    @property
    def _peer_load_seconds(self):
        return PEER_LOAD_SECONDS_LARGE if self.is_fleet_large else PEER_LOAD_SECONDS

    def choose(self, endpoints, now, spread, excluded=frozenset(), headroom=0):
        """Return `Placed` or `Full` for an online request.

        `spread` is a string unique to the request, whose hash distributes requests over
        endpoints with similar loads. Endpoints in the node's failure domain are
        preferred, since traffic to other domains costs more. `headroom` reduces the
        number of requests that may wait at an endpoint, for less urgent requests.
        """
        candidates = self.health.candidates(endpoints, now, excluded)
        if not candidates:
            return Full(AVOID_SECONDS, bool(endpoints))
        limits = self._paces.limits_for(candidates, now)
        firm = self._paces.firm_limits(candidates, now) if limits else limits
        placed = self._choose_within(limits, firm, candidates, now, spread, headroom)
        if placed is None and firm != limits:
            placed = self._choose_within(firm, firm, candidates, now, spread, headroom)
        return placed or Full(self._retry_after.next_seconds(now), True)

    def _choose_within(self, limit_by_id, firm, candidates, now, spread, headroom):
        """Return `Placed`, or None if all endpoints are full within their limits.

        `firm` are the limits within which a free slot goes before a preemption.
        """
        ranked = []
        for endpoint in candidates:
            online, batch = self.counts(endpoint.endpoint_id, now)
            slots = limited_slots(endpoint, limit_by_id)
            load = self._weighted_load(endpoint, online + batch, slots, now)
            tie = stable_hash(spread, endpoint.endpoint_id)
            ranked.append((load, tie, endpoint, online, batch, slots))
        if self.is_fleet_large:
            sampled = self._choose_from_sample(ranked)
            if sampled is not None:
                return Placed(sampled)
        least_loaded = min(ranked, key=lambda row: row[:2])
        max_load = least_loaded[0] + SIMILAR_LOAD_REQUESTS / least_loaded[5]
        similar = [
            row for row in ranked if row[0] <= max_load and row[3] + row[4] < row[5]
        ]
        if similar:
            local = [
                row for row in similar if row[2].failure_domain == self._failure_domain
            ]
            _, _, endpoint, *_ = min(local or similar, key=lambda row: row[1])
            return Placed(endpoint.endpoint_id)
        return self._choose_when_full(ranked, limit_by_id, firm, headroom, now)

    def _weighted_load(self, endpoint, count, limited, now):
        ratio = self.health.pace_ratio(endpoint.endpoint_id)
        if not self._paces.has_figures:
            return count * ratio / limited
        # The request itself counts, so that the speed matters at idle endpoints too,
        # but not more at a low limit: an idle endpoint could not raise it.
        ratio *= self._paces.figure_factor(endpoint.endpoint_id, now)
        return count * ratio / limited + ratio / (endpoint.slots or DEFAULT_SLOTS)

    def _choose_from_sample(self, ranked):
        """Return the least loaded of a few endpoints, or None if all are full.

        The loads are seconds old in a large fleet, so without sampling many nodes would
        choose the endpoint that was least loaded then.
        """
        sample = sorted(ranked, key=lambda row: row[1])[:SAMPLE_SIZE]
        free = [row for row in sample if row[3] + row[4] < row[5]]
        return min(free, key=lambda row: row[:2])[2].endpoint_id if free else None

    def _choose_when_full(self, ranked, limit_by_id, firm, headroom, now):
        self._last_full_at = now
        in_order = [row[2] for row in sorted(ranked, key=lambda row: row[:2])]
        for endpoint in in_order:
            own_batch = self._own_by_id.get(endpoint.endpoint_id, (0, 0))[1]
            if own_batch:
                free_id = None
                if firm != limit_by_id:
                    free_id = self._first_free(in_order, firm, now)
                if free_id is not None:
                    return Placed(free_id)
                return Placed(endpoint.endpoint_id, preempts=True)
        rows = []
        for _, tie, endpoint, online, _, slots in ranked:
            # None waits at an endpoint beyond its limit.
            is_limited = endpoint.endpoint_id in limit_by_id
            allowance = 0 if is_limited else QUEUE_ALLOWANCE - headroom
            rows.append((online - slots - allowance, tie, endpoint.endpoint_id))
        excess, _, endpoint_id = min(rows)
        return Placed(endpoint_id) if excess < 0 else None

    def _first_free(self, endpoints, limit_by_id, now):
        for endpoint in endpoints:
            count = sum(self.counts(endpoint.endpoint_id, now))
            if count < limited_slots(endpoint, limit_by_id):
                return endpoint.endpoint_id
        return None

    def batch_nodes(self, endpoint_id, now):
        """Return the ids of peers with batch items at an endpoint, one per item."""
        nodes = []
        for node_id, (reported_at, count_by_endpoint) in self._report_by_peer.items():
            if now - reported_at <= self._peer_load_seconds:
                nodes += [node_id] * count_by_endpoint.get(endpoint_id, (0, 0))[1]
        return nodes

    def choose_for_batch(self, endpoints, now, reserve, spread):
        """Return the id of the endpoint for a batch item, or None.

        The endpoint has at least one free slot beyond `reserve` slots.
        """
        best = None
        limits = self._paces.limits_for(endpoints, now)
        if self.is_fleet_large:
            by_hash = sorted(
                endpoints, key=lambda e: stable_hash(spread, e.endpoint_id)
            )
            endpoints = by_hash[:SAMPLE_SIZE]
        for endpoint in endpoints:
            if not self.health.is_available(endpoint.endpoint_id, now):
                continue
            online, batch = self.counts(endpoint.endpoint_id, now)
            slots = limited_slots(endpoint, limits)
            is_limited = endpoint.endpoint_id in limits
            # The reserve leaves a limited endpoint one item, which may raise its limit.
            reserved = min(reserve, slots - 1) if is_limited else reserve
            if online + batch + reserved >= slots:
                continue
            load = self._weighted_load(endpoint, online + batch, slots, now)
            load += (
                (endpoint.failure_domain != self._failure_domain)
                * SIMILAR_LOAD_REQUESTS
                / slots
            )
            row = (
                load,
                stable_hash(spread, endpoint.endpoint_id),
                endpoint.endpoint_id,
            )
            if best is None or row < best:
                best = row
        return best[2] if best else None

    def is_busy(self, now):
        """Return whether a request found all endpoints full in the last second."""
        return bool(self._last_full_at is not None and now - self._last_full_at < 1.0)
