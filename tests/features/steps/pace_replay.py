"""Replays load on endpoints that start or recover, without a network.

Many nodes send short streams, which one scheduler places; or a few nodes place their
own by gossip. Endpoints have slots and a queue, refuse what exceeds it, and may be
slow, down, or slow in proportion to what they run at a time.
"""

import heapq
import itertools
import random
from typing import NamedTuple

from sequoiaglade_gateway.endpoint_pacing import FleetPacing, apply_result
from sequoiaglade_gateway.messages import (
    BROKEN,
    DONE,
    NOT_SENT,
    REFUSED,
    EndpointResult,
    RequestEnded,
)

from sequoiaglade_decisions.gateway import (
    Endpoint,
    EndpointLoads,
    EndpointPaces,
    Full,
    GroupScheduler,
)

SLOTS = 8
# Requests that an endpoint queues before it refuses more.
ENDPOINT_QUEUE = 8
FIRST_EVENT_SECONDS, REQUEST_SECONDS = 0.06, 0.3
OBJECTIVE_SECONDS = 0.3
REPORT_SECONDS, GOSSIP_SECONDS = 0.05, 0.25
ATTEMPTS = 3
# When the list of endpoints was read first, on the wall clock.
LISTED_AT = 1000.0


class Outcome(NamedTuple):
    """What a caller got: `first_seconds` is None without an event."""

    at: float
    kind: str
    first_seconds: float | None
    endpoint_id: str | None


class Server:
    """An endpoint; `slowness(now, running)` multiplies the time of its work."""

    def __init__(self, endpoint, slowness=None, figure=None, down=()):
        self.endpoint = endpoint
        self.slowness = slowness or (lambda now, running: 1.0)
        self.figure = figure
        self.down = down
        self.running = {}
        self.waiting = []

    def is_down(self, now):
        return any(start <= now < end for start, end in self.down)


class _Request(NamedTuple):
    number: int
    node_id: str
    arrived_at: float
    excluded: frozenset = frozenset()
    attempts: int = 0
    sent_at: float = 0.0


class Replay:
    """Runs a load against servers; `placing` places the requests."""

    def __init__(self, placing, servers, rate, seconds, node_count=40, seed=5):
        self.placing = placing
        self.server_by_id = {s.endpoint.endpoint_id: s for s in servers}
        self.rate = rate
        self.seconds = seconds
        self.node_ids = [f"n{number}" for number in range(node_count)]
        self.held = {node_id: {} for node_id in self.node_ids}
        # Arrivals are the same whatever is done about them.
        self.arrivals = random.Random(seed)
        self.rng = random.Random(seed)
        self.sequence = itertools.count(1)
        self.events = []
        self.outcomes = []
        self.refused_by_endpoint = {}
        self.broken = 0
        self.sent_at_by_endpoint = {}
        self.now = 0.0

    def schedule(self, at, action, *args):
        heapq.heappush(self.events, (at, next(self.sequence), action, args))

    def play(self):
        self.placing.start(self)
        for server in self.server_by_id.values():
            for start, _ in server.down:
                self.schedule(start, self._crash, server)
        self.schedule(0.0, self._arrive)
        while self.events:
            self.now, _, action, args = heapq.heappop(self.events)
            if self.now > self.seconds:
                break
            action(*args)
        return self

    def listed(self):
        return [server.endpoint for server in self.server_by_id.values()]

    def add(self, server):
        """List a new endpoint now."""
        self.server_by_id[server.endpoint.endpoint_id] = server
        self.placing.note_endpoint(server.endpoint, self.now)

    def _arrive(self):
        node_id = self.arrivals.choice(self.node_ids)
        self._place(_Request(next(self.sequence), node_id, self.now))
        self.schedule(self.now + self.arrivals.expovariate(self.rate), self._arrive)

    def _place(self, request):
        chosen = self.placing.place(self, request)
        if isinstance(chosen, Full):
            self._finish(request, "refused", None, None)
            return
        counts = self.held[request.node_id].setdefault(chosen, [0, 0])
        counts[0] += 1
        request = request._replace(sent_at=self.now)
        self.sent_at_by_endpoint.setdefault(chosen, []).append(self.now)
        server = self.server_by_id[chosen]
        if server.is_down(self.now):
            self._fail(request, server, NOT_SENT)
        elif len(server.running) < SLOTS:
            self._start(request, server)
        elif len(server.waiting) < ENDPOINT_QUEUE:
            server.waiting.append(request)
        else:
            self._fail(request, server, REFUSED)

    def _start(self, request, server):
        server.running[request.number] = request
        slowness = server.slowness(self.now, len(server.running))
        if server.figure is not None:
            percent = server.figure(self.now)
            self.placing.note_figure(self, request, server, percent)
        noise = self.rng.uniform(0.9, 1.1)
        first_at = self.now + FIRST_EVENT_SECONDS * slowness * noise
        end_at = self.now + REQUEST_SECONDS * slowness * noise
        self.schedule(first_at, self._begin_stream, request, server)
        self.schedule(end_at, self._end, request, server, slowness)

    def _begin_stream(self, request, server):
        if server.running.get(request.number) is not request:
            return
        seconds = self.now - request.sent_at
        self.placing.note_answer(self, request, server, seconds)
        first_seconds = self.now - request.arrived_at
        self._finish(request, "answered", first_seconds, server.endpoint.endpoint_id)

    def _end(self, request, server, slowness):
        if server.running.get(request.number) is not request:
            return
        del server.running[request.number]
        interval = REQUEST_SECONDS * slowness / 10
        self._release(request, server, DONE, interval)
        if server.waiting:
            self._start(server.waiting.pop(0), server)

    def _crash(self, server):
        requests = [*server.running.values(), *server.waiting]
        server.running, server.waiting = {}, []
        for request in requests:
            self.broken += 1
            self._release(request, server, BROKEN)
            self._finish(request, "broken", None, server.endpoint.endpoint_id)

    def _fail(self, request, server, outcome):
        endpoint_id = server.endpoint.endpoint_id
        failures = self.refused_by_endpoint.setdefault(endpoint_id, [])
        failures.append((self.now, outcome))
        self._release(request, server, outcome)
        attempts = request.attempts + 1
        if attempts >= ATTEMPTS:
            # Nothing ran, so that the gateway refuses the request with a Retry-After.
            self._finish(request, "refused", None, endpoint_id)
            return
        excluded = request.excluded | {endpoint_id}
        self._place(request._replace(excluded=excluded, attempts=attempts))

    def _release(self, request, server, outcome, interval=0.0):
        endpoint_id = server.endpoint.endpoint_id
        self.placing.note_end(self, request, server, outcome, interval)
        self.held[request.node_id][endpoint_id][0] -= 1

    def _finish(self, request, kind, first_seconds, endpoint_id):
        at = request.arrived_at
        self.outcomes.append(Outcome(at, kind, first_seconds, endpoint_id))

    def summary(self, start=0.0, end=None, endpoint_id=None):
        """Return what callers got of the requests that arrived in a time."""
        end = self.seconds - 1.0 if end is None else end
        rows = [
            row
            for row in self.outcomes
            if start <= row.at < end and endpoint_id in (None, row.endpoint_id)
        ]
        seconds = sorted(r.first_seconds for r in rows if r.first_seconds is not None)
        failures = [
            outcome
            for i, outcomes in self.refused_by_endpoint.items()
            for at, outcome in outcomes
            if start <= at < end and endpoint_id in (None, i)
        ]
        return Summary(
            requests=len(rows),
            errors=sum(row.kind == "broken" for row in rows),
            refused=sum(row.kind == "refused" for row in rows),
            late=sum(value > OBJECTIVE_SECONDS for value in seconds),
            median_ms=_quantile_ms(seconds, 0.5),
            p99_ms=_quantile_ms(seconds, 0.99),
            refused_by_endpoints=failures.count(REFUSED),
            not_connected=failures.count(NOT_SENT),
        )

    def first_sent_after(self, endpoint_id, at):
        """Return after how many seconds an endpoint got a request again, or inf."""
        times = [t for t in self.sent_at_by_endpoint.get(endpoint_id, []) if t >= at]
        return min(times, default=float("inf")) - at


class Summary(NamedTuple):
    """Requests by result, and times to the first event in milliseconds."""

    requests: int
    errors: int
    refused: int
    late: int
    median_ms: float
    p99_ms: float
    refused_by_endpoints: int
    not_connected: int


def _quantile_ms(values, part):
    if not values:
        return 0.0
    return round(1000 * values[min(len(values) - 1, int(len(values) * part))], 1)


class PlacingByScheduler:
    """All nodes ask one scheduler, which a node without its state may replace."""

    def __init__(self, is_on, replaced_at=None):
        self.is_on = is_on
        self._replaced_at = replaced_at
        self._results_by_node = {}
        self._changed_nodes = set()
        self._figures_by_node = {}
        self._paces_by_node = {}
        self.changes = []
        # The limits that a new scheduler knows after one round of reports.
        self.limits_at_replacement = {}

    def start(self, replay):
        for node_id in replay.node_ids:
            paces = self._paces_by_node[node_id] = EndpointPaces(self.is_on)
            paces.note_list(replay.listed(), 0.0, LISTED_AT)
        self._become(replay, replay.node_ids[0])
        if self._replaced_at is not None:
            node_id = replay.node_ids[1]
            replay.schedule(self._replaced_at, self._become, replay, node_id)
            known_at = self._replaced_at + 2 * REPORT_SECONDS
            replay.schedule(known_at, self._note_limits, replay)
        replay.schedule(0.0, self._report_all, replay)

    def _become(self, replay, node_id):
        self.own_id = node_id
        self.paces = self._paces_by_node[node_id]
        self._scheduler = GroupScheduler(self.paces)

    def _note_limits(self, replay):
        self.limits_at_replacement = dict(self.paces.limits(replay.now))

    def note_endpoint(self, endpoint, now):
        for paces in self._paces_by_node.values():
            paces.note_endpoint(endpoint, now)

    def note_return(self, endpoint_ids, now):
        for paces in self._paces_by_node.values():
            paces.note_return(endpoint_ids, now)

    def _report_all(self, replay):
        for node_id in sorted(self._changed_nodes):
            self._report_node(replay, node_id, self._results_by_node.pop(node_id, []))
        self._changed_nodes.clear()
        self.changes += self.paces.take_changes()
        replay.schedule(replay.now + REPORT_SECONDS, self._report_all, replay)

    def _report_node(self, replay, node_id, results=()):
        number = (1, next(replay.sequence))
        counts = {i: tuple(c) for i, c in replay.held[node_id].items() if any(c)}
        self._scheduler.report(node_id, number, counts, replay.now)
        self.paces.adopt(self._paces_by_node[node_id].notices(replay.now), replay.now)
        for result, at in results:
            if result.work_percent:
                result = result._replace(work_age_seconds=replay.now - at)
            health = self._scheduler.health
            apply_result(result, health, self.paces, replay.now, False)

    def place(self, replay, request):
        self._report_node(replay, request.node_id)
        placed = self._scheduler.choose(
            replay.listed(),
            request.node_id,
            replay.now,
            str(request.number),
            request.excluded,
        )
        if isinstance(placed, Full):
            return placed
        self._changed_nodes.add(request.node_id)
        pace = self.paces.tell(placed.endpoint_id, replay.now)
        if pace is not None and request.node_id != self.own_id:
            self._paces_by_node[request.node_id].note_told(pace, replay.now)
        return placed.endpoint_id

    def _note(self, replay, request, result):
        self._changed_nodes.add(request.node_id)
        results = self._results_by_node.setdefault(request.node_id, [])
        results.append((result, replay.now))

    def note_answer(self, replay, request, server, seconds):
        endpoint_id = server.endpoint.endpoint_id
        lateness = seconds / OBJECTIVE_SECONDS
        result = EndpointResult(
            endpoint_id, "", lateness=lateness, answer_seconds=seconds
        )
        self._note(replay, request, result)

    def note_figure(self, replay, request, server, percent):
        endpoint_id = server.endpoint.endpoint_id
        result = EndpointResult(endpoint_id, "", work_percent=percent)
        self._note(replay, request, result)

    def note_end(self, replay, request, server, outcome, interval):
        result = EndpointResult(server.endpoint.endpoint_id, outcome, interval)
        self._note(replay, request, result)


class PlacingByNodes:
    """Each node of a small fleet places its own requests by gossip."""

    def __init__(self, is_on):
        self.is_on = is_on
        self._loads_by_node = {}
        self._pacing_by_node = {}

    def start(self, replay):
        for node_id in replay.node_ids:
            pacing = FleetPacing(self.is_on, wall_clock=lambda: LISTED_AT)
            pacing.paces.note_list(replay.listed(), 0.0, LISTED_AT)
            self._pacing_by_node[node_id] = pacing
            self._loads_by_node[node_id] = EndpointLoads(paces=pacing.paces)
        replay.schedule(0.0, self._gossip, replay)

    def note_endpoint(self, endpoint, now):
        for pacing in self._pacing_by_node.values():
            pacing.paces.note_endpoint(endpoint, now)

    def note_return(self, endpoint_ids, now):
        for pacing in self._pacing_by_node.values():
            pacing.paces.note_return(endpoint_ids, now)

    def _gossip(self, replay):
        for node_id, loads in self._loads_by_node.items():
            for peer_id, peer in self._loads_by_node.items():
                if peer_id != node_id:
                    loads.update_peer(peer_id, peer.own(), replay.now)
                    notices = self._pacing_by_node[peer_id].paces.shared(replay.now)
                    self._pacing_by_node[node_id].paces.adopt(notices, replay.now)
        replay.schedule(replay.now + GOSSIP_SECONDS, self._gossip, replay)

    def place(self, replay, request):
        loads = self._loads_by_node[request.node_id]
        chosen = loads.choose(
            replay.listed(), replay.now, str(request.number), request.excluded
        )
        if isinstance(chosen, Full):
            return chosen
        loads.begin(chosen.endpoint_id, False)
        return chosen.endpoint_id

    def note_answer(self, replay, request, server, seconds):
        pacing = self._pacing_by_node[request.node_id]
        loads = self._loads_by_node[request.node_id]
        endpoint_id = server.endpoint.endpoint_id
        weight = pacing.weight(endpoint_id, replay.now, loads)
        lateness = seconds / OBJECTIVE_SECONDS
        pacing.paces.note_answer(endpoint_id, lateness, seconds, replay.now, weight)

    def note_figure(self, replay, request, server, percent):
        paces = self._pacing_by_node[request.node_id].paces
        paces.note_figure(server.endpoint.endpoint_id, percent, replay.now)

    def note_end(self, replay, request, server, outcome, interval):
        endpoint_id = server.endpoint.endpoint_id
        loads = self._loads_by_node[request.node_id]
        pacing = self._pacing_by_node[request.node_id]
        ended = RequestEnded(endpoint_id, False, outcome)
        pacing.note_end(ended, replay.now, loads, None)
        loads.end(endpoint_id, False)
        match outcome:
            case "done":
                loads.health.note_success(endpoint_id)
                loads.health.note_pace(endpoint_id, interval)
            case "not_sent" | "broken":
                is_limited = pacing.paces.is_limited(endpoint_id)
                loads.health.note_failure(endpoint_id, replay.now, is_limited)
            case "refused":
                loads.health.note_full(endpoint_id, replay.now)


def make_endpoint(name, born=1):
    return Endpoint(name, "s", "", "d", SLOTS, born=born)


def warming(started_at, seconds=3.0, per_request=1.0):
    """Return the slowness of an endpoint that warms up, slower the more it runs."""

    def slowness(now, running):
        is_warm = now - started_at >= seconds
        return 1.0 if is_warm else 1.0 + per_request * running

    return slowness
