"""Where a request runs: loads of the endpoints, and the choice among them."""

from typing import NamedTuple

from .hashing import stable_hash
from .health import AVOID_SECONDS, EndpointHealth

# Requests that may wait at an endpoint. One of 8 slots frees one about every 100 ms at
# the load of the sites, and the objective is 300 ms.
QUEUE_ALLOWANCE = 2
# A refused caller may return after this long, in seconds, and later the more callers
# were refused in the last second: few refusals are the edge of a peak, many a peak.
# Callers honour up to a third of the five seconds that they wait.
RETURN_SECONDS = 0.3
RETURN_SECONDS_EACH = 0.1
RETURN_SECONDS_MAX = 1.2
# Peers gossip several times a second; what one said longer ago no longer holds.
PEER_LOAD_SECONDS = 1.5
# In a large fleet news is older, and what it tells of batch items still holds.
PEER_LOAD_SECONDS_LARGE = 4.0
# Endpoints whose loads differ by this many requests count as alike: the nodes' figures
# lag by about as much, and all of them would choose the very least one.
ALIKE_REQUESTS = 1
# Endpoints looked at for a request in a large fleet.
SAMPLE_SIZE = 2
# Slots assumed where neither the endpoint nor its service tells.
DEFAULT_SLOTS = 8


class Placed(NamedTuple):
    """The endpoint for a request; `preempts` asks to stop batch work there first."""

    endpoint_id: str
    preempts: bool = False


class Full(NamedTuple):
    """No endpoint can begin the request in time; `retry_after` is in seconds."""

    retry_after: float
    has_endpoints: bool


class ReturnTimes:
    """When refused callers may come back: later, the more were refused lately."""

    def __init__(self):
        self._refused_at = []

    def next_seconds(self, now):
        """Count a refusal; return after how many seconds its caller may return."""
        recent = [at for at in self._refused_at if now - at < 1.0]
        self._refused_at = [*recent, now]
        seconds = RETURN_SECONDS + RETURN_SECONDS_EACH * len(recent)
        return min(seconds, RETURN_SECONDS_MAX)


class EndpointLoads:
    """Work in flight by endpoint: this node's own, and what its peers told.

    Answers the load pattern of short requests from many nodes at once: an endpoint's
    own reports lag behind the turnover of requests that take less than a second, so
    that what each node has in flight, told a few times a second, is the better figure.

    >>> from sequoiaglade_decisions.gateway import Endpoint
    >>> loads = EndpointLoads()
    >>> endpoints = [Endpoint("a", "s", "", "d", 8), Endpoint("b", "s", "", "d", 8)]
    >>> loads.begin("a", is_batch=False)
    >>> loads.begin("a", is_batch=False)
    >>> loads.choose(endpoints, now=0.0, spread="")
    Placed(endpoint_id='b', preempts=False)
    """

    def __init__(self, failure_domain=""):
        self._domain = failure_domain
        self._own_by_id = {}
        self._peers = {}
        self.health = EndpointHealth()
        self._return_times = ReturnTimes()
        self._busy_at = None
        self.is_fleet_large = False

    def begin(self, endpoint_id, is_batch):
        """Count a request that is sent to an endpoint."""
        counts = self._own_by_id.setdefault(endpoint_id, [0, 0])
        counts[is_batch] += 1

    def end(self, endpoint_id, is_batch):
        """Count a request's end."""
        counts = self._own_by_id[endpoint_id]
        counts[is_batch] -= 1
        if not any(counts):
            del self._own_by_id[endpoint_id]

    def own(self):
        """Return pairs of online and batch counts by endpoint id."""
        return {i: tuple(counts) for i, counts in self._own_by_id.items()}

    def update_peer(self, node_id, count_by_endpoint, now):
        """Take a peer's pairs of online and batch counts by endpoint id."""
        self._peers[node_id] = (now, count_by_endpoint)

    def counts(self, endpoint_id, now):
        """Return the pair of online and batch requests in flight at an endpoint."""
        online, batch = self._own_by_id.get(endpoint_id, (0, 0))
        for heard_at, count_by_endpoint in self._peers.values():
            if now - heard_at <= self._peer_load_seconds:
                theirs = count_by_endpoint.get(endpoint_id, (0, 0))
                online += theirs[0]
                batch += theirs[1]
        return online, batch

    @property
    def _peer_load_seconds(self):
        return PEER_LOAD_SECONDS_LARGE if self.is_fleet_large else PEER_LOAD_SECONDS

    def choose(self, endpoints, now, spread, excluded=frozenset(), headroom=0):
        """Return `Placed` or `Full` for an online request.

        `spread` is a text of the request's own, by which requests of many nodes spread
        over endpoints of like load; those in the node's failure domain are preferred,
        since bytes to others cost more. `headroom` lowers the number of requests that
        may wait at an endpoint, for less urgent ones.
        """
        ranked = []
        for endpoint in self.health.open_ones(endpoints, now, excluded):
            online, batch = self.counts(endpoint.endpoint_id, now)
            slots = endpoint.slots or DEFAULT_SLOTS
            load = (online + batch) * self.health.pace_ratio(endpoint.endpoint_id)
            tie = stable_hash(spread, endpoint.endpoint_id)
            ranked.append((load / slots, tie, endpoint, online, batch, slots))
        if not ranked:
            return Full(AVOID_SECONDS, bool(endpoints))
        if self.is_fleet_large:
            sampled = self._least_of_sample(ranked)
            if sampled is not None:
                return Placed(sampled)
        least = min(ranked, key=lambda row: row[:2])
        most = least[0] + ALIKE_REQUESTS / least[5]
        alike = [row for row in ranked if row[0] <= most and row[3] + row[4] < row[5]]
        if alike:
            near = [row for row in alike if row[2].failure_domain == self._domain]
            _, _, endpoint, *_ = min(near or alike, key=lambda row: row[1])
            return Placed(endpoint.endpoint_id)
        return self._choose_busy(ranked, headroom, now)

    def _least_of_sample(self, ranked):
        """Return the less loaded of a few endpoints, None if all of them are full.

        With news seconds old, many nodes would all choose the one that was least
        loaded then.
        """
        sample = sorted(ranked, key=lambda row: row[1])[:SAMPLE_SIZE]
        free = [row for row in sample if row[3] + row[4] < row[5]]
        return min(free, key=lambda row: row[:2])[2].endpoint_id if free else None

    def _choose_busy(self, ranked, headroom, now):
        self._busy_at = now
        for _, _, endpoint, *_ in sorted(ranked, key=lambda row: row[:2]):
            own_batch = self._own_by_id.get(endpoint.endpoint_id, (0, 0))[1]
            if own_batch:
                return Placed(endpoint.endpoint_id, preempts=True)
        rows = sorted(ranked, key=lambda row: (row[3] - row[5], row[1]))
        _, _, endpoint, online, batch, slots = rows[0]
        if online < slots + QUEUE_ALLOWANCE - headroom:
            return Placed(endpoint.endpoint_id)
        return Full(self._return_times.next_seconds(now), True)

    def batch_nodes(self, endpoint_id, now):
        """Return the ids of peers with batch items at an endpoint, one an item."""
        nodes = []
        for node_id, (heard_at, count_by_endpoint) in self._peers.items():
            if now - heard_at <= self._peer_load_seconds:
                nodes += [node_id] * count_by_endpoint.get(endpoint_id, (0, 0))[1]
        return nodes

    def choose_for_batch(self, endpoints, now, reserve, spread):
        """Return the id of the endpoint for a batch item, or None.

        The endpoint has a slot free beyond `reserve` slots.
        """
        best = None
        if self.is_fleet_large:
            by_rank = sorted(
                endpoints, key=lambda e: stable_hash(spread, e.endpoint_id)
            )
            endpoints = by_rank[:SAMPLE_SIZE]
        for endpoint in endpoints:
            if not self.health.is_available(endpoint.endpoint_id, now):
                continue
            online, batch = self.counts(endpoint.endpoint_id, now)
            slots = endpoint.slots or DEFAULT_SLOTS
            if online + batch + reserve >= slots:
                continue
            load = (
                (online + batch) * self.health.pace_ratio(endpoint.endpoint_id) / slots
            )
            load += (endpoint.failure_domain != self._domain) * ALIKE_REQUESTS / slots
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
        return bool(self._busy_at is not None and now - self._busy_at < 1.0)
