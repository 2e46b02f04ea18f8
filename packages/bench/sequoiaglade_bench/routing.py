"""Routing compared with random and least-in-flight choice, and the dispatcher's costs.

Several nodes share endpoints, which start requests in the order of arrival as slots
become free. All policies get the same arrivals and service times in simulated time;
nodes exchange their in-flight counts once a second.
"""

import heapq
import itertools
import sys
import time
from collections import Counter
from random import Random
from typing import NamedTuple

from sequoiaglade_decisions.configuration import Document, make_snapshot
from sequoiaglade_decisions.routing import (
    Dispatcher,
    Granted,
    Priority,
    Rejected,
    RunOutcome,
    Ticket,
)

NODE_COUNT = 8
ENDPOINT_COUNT = 10
SLOTS = 8
WORKSPACE_COUNT = 8
SERVICE_SECONDS = 0.64
QUEUE_TIMEOUT_SECONDS = 10.0
GOSSIP_INTERVAL_SECONDS = 1.0
TICK_INTERVAL_SECONDS = 0.1
MODEL = "writer"


class Arrival(NamedTuple):
    """A request of the traffic; `at` and `service` are in seconds."""

    at: float
    workspace: str
    node: int
    service: float


def run(options):
    """Return the results of each policy by traffic, and the dispatcher's costs."""
    seconds = max(20.0, 2 * options.seconds)
    result = {}
    for name, arrivals in (
        ("steady at 0.8", make_traffic(options.seed, seconds, 12.5, 1)),
        ("one workspace at 5 times", make_traffic(options.seed, seconds, 15.0, 5)),
    ):
        result[name] = {
            policy: measure(factory(options.seed), arrivals, seconds)
            for policy, factory in POLICIES.items()
        }
    result["dispatcher slopes"] = [
        slope(endpoints, waiting)
        for endpoints in (10, 200, 1900)
        for waiting in (10, 100, 1000)
    ]
    return result


def make_traffic(seed, seconds, rate, factor):
    """Return Poisson arrivals; one workspace sends `factor` x `rate` to one node."""
    random = Random(seed)
    arrivals = []
    for index in range(WORKSPACE_COUNT):
        is_excessive = index == 0 and factor > 1
        workspace_rate = rate * (factor if is_excessive else 1)
        at = random.expovariate(workspace_rate)
        while at < seconds:
            node = 0 if is_excessive else random.randrange(NODE_COUNT)
            service = random.expovariate(1 / SERVICE_SECONDS)
            arrivals.append(Arrival(at, f"w{index}", node, service))
            at += random.expovariate(workspace_rate)
    return sorted(arrivals)


def measure(policy, arrivals, seconds):
    """Return percentiles of the wait and the smallest fraction of a fair share."""
    simulation = Simulation(policy, arrivals)
    simulation.run(seconds)
    waits = sorted(wait for _, wait in simulation.started)
    served = Counter(workspace for workspace, _ in simulation.started)
    fair = _fair_shares(Counter(arrival.workspace for arrival in arrivals), seconds)
    shares = {name: served[name] / share for name, share in fair.items()}
    return {
        "first_token_p50": round(_percentile(waits, 0.50), 3),
        "first_token_p95": round(_percentile(waits, 0.95), 3),
        "first_token_p99": round(_percentile(waits, 0.99), 3),
        "worst_share": round(min(shares.values()), 3),
        "served": len(waits),
        "refused": simulation.refused,
    }


class Simulation:
    """Endpoints with slots and queues; one policy routes to them in simulated time."""

    def __init__(self, policy, arrivals):
        self.policy = policy
        self.arrivals = arrivals
        self.started = []
        self.refused = 0
        self.now = 0.0
        self._numbers = itertools.count()
        self._events = []
        self._running = Counter()
        self._queues = {name: [] for name in endpoint_names(ENDPOINT_COUNT)}

    def run(self, seconds):
        """Run until `seconds`; requests that start later count as not served."""
        self.policy.attach(self)
        for number, arrival in enumerate(self.arrivals):
            self.at(arrival.at, self.policy.submit, number, arrival)
        self.at(TICK_INTERVAL_SECONDS, self._tick)
        self.at(GOSSIP_INTERVAL_SECONDS, self._gossip)
        while self._events and self._events[0][0] <= seconds:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)

    def at(self, when, function, *arguments):
        """Call the function at the time `when`."""
        entry = (when, next(self._numbers), function, arguments)
        heapq.heappush(self._events, entry)

    def send(self, number, endpoint_id):
        """Send a request to an endpoint."""
        self._queues[endpoint_id].append(number)
        self._start_next(endpoint_id)

    def _start_next(self, endpoint_id):
        queue = self._queues[endpoint_id]
        while queue and self._running[endpoint_id] < SLOTS:
            number = queue.pop(0)
            arrival = self.arrivals[number]
            self._running[endpoint_id] += 1
            self.started.append((arrival.workspace, self.now - arrival.at))
            self.at(self.now + arrival.service, self._end, number, endpoint_id)

    def _end(self, number, endpoint_id):
        self._running[endpoint_id] -= 1
        self._start_next(endpoint_id)
        self.policy.end(number, endpoint_id)

    def _tick(self):
        self.policy.tick()
        self.at(self.now + TICK_INTERVAL_SECONDS, self._tick)

    def _gossip(self):
        self.policy.gossip()
        self.at(self.now + GOSSIP_INTERVAL_SECONDS, self._gossip)


class DirectPolicy:
    """Sends each request at once, to a random or the node's least loaded endpoint."""

    def __init__(self, seed, is_random):
        self._random = Random(seed)
        self._is_random = is_random
        self._in_flight = [Counter() for _ in range(NODE_COUNT)]
        self._names = endpoint_names(ENDPOINT_COUNT)

    def attach(self, simulation):
        self._simulation = simulation

    def submit(self, number, arrival):
        chosen = self._random.choice(self._names)
        if not self._is_random:
            counts = self._in_flight[arrival.node]
            names = self._random.sample(self._names, len(self._names))
            chosen = min(names, key=counts.__getitem__)
        self._in_flight[arrival.node][chosen] += 1
        self._simulation.send(number, chosen)

    def end(self, number, endpoint_id):
        node = self._simulation.arrivals[number].node
        self._in_flight[node][endpoint_id] -= 1

    def tick(self):
        pass

    def gossip(self):
        pass


class DispatcherPolicy:
    """A `Dispatcher` on each node; they exchange their in-flight counts."""

    def __init__(self, seed):
        self._nodes = [
            Dispatcher("d", Random(f"{seed}/{i}")) for i in range(NODE_COUNT)
        ]
        for node in self._nodes:
            node.configure(make_endpoints(ENDPOINT_COUNT, SLOTS), 0.0)

    def attach(self, simulation):
        self._simulation = simulation

    def submit(self, number, arrival):
        now = self._simulation.now
        ticket = Ticket(
            str(number),
            arrival.workspace,
            MODEL,
            Priority.PAYING_ONLINE,
            now + QUEUE_TIMEOUT_SECONDS,
            fingerprint=f"f{number}",
        )
        self._apply(self._nodes[arrival.node].submit(ticket, now))

    def end(self, number, endpoint_id):
        node = self._nodes[self._simulation.arrivals[number].node]
        now = self._simulation.now
        self._apply(node.release(str(number), RunOutcome.DONE, now))

    def tick(self):
        for node in self._nodes:
            self._apply(node.tick(self._simulation.now))

    def gossip(self):
        counts = [node.in_flight_by_endpoint() for node in self._nodes]
        for index, node in enumerate(self._nodes):
            totals = {}
            for other in counts[:index] + counts[index + 1 :]:
                for name, (online, batch) in other.items():
                    known = totals.get(name, (0, 0))
                    totals[name] = (known[0] + online, known[1] + batch)
            self._apply(node.observe_peers(totals, self._simulation.now))

    def _apply(self, effects):
        for effect in effects:
            match effect:
                case Granted(ticket_id=ticket_id, endpoint_id=endpoint_id):
                    self._simulation.send(int(ticket_id), endpoint_id)
                case Rejected():
                    self._simulation.refused += 1


def slope(endpoint_count, waiting):
    """Return CPU microseconds of a submit and a release, and state sizes."""
    dispatcher = Dispatcher("d", Random(1))
    dispatcher.configure(make_endpoints(endpoint_count, 1), 0.0)
    numbers = itertools.count()
    granted_ids = []

    def submit(now):
        name = str(next(numbers))
        workspace = f"w{int(name) % 250}"
        priority = Priority.PAYING_ONLINE
        ticket = Ticket(name, workspace, MODEL, priority, 1e9, fingerprint=name)
        effects = dispatcher.submit(ticket, now)
        granted_ids.extend(e.ticket_id for e in effects if isinstance(e, Granted))

    while dispatcher.waiting_count < waiting:
        submit(0.0)
    rounds = 2000
    started_at = time.process_time()
    for number in range(rounds):
        submit(0.001 * number)
        for effect in dispatcher.release(
            granted_ids.pop(0), RunOutcome.DONE, 0.001 * number
        ):
            if isinstance(effect, Granted):
                granted_ids.append(effect.ticket_id)
    cpu_seconds = time.process_time() - started_at
    state = next(iter(dispatcher.endpoints.state_by_id.values()))
    state_bytes = sys.getsizeof(state) + sys.getsizeof(state.health)
    state_bytes += sys.getsizeof(state.leaving_sources)
    return {
        "endpoints": endpoint_count,
        "waiting": waiting,
        "submit_and_release_us": round(1e6 * cpu_seconds / rounds, 1),
        "state_bytes_per_endpoint": state_bytes,
    }


def endpoint_names(count):
    """Return the ids of the endpoints."""
    return [f"e{index}" for index in range(count)]


def make_endpoints(count, slots):
    """Return a snapshot of `count` endpoints of one model."""
    endpoints = {
        name: {
            "url": f"http://{name}",
            "failure_domain": "d",
            "model": MODEL,
            "slots": slots,
        }
        for name in endpoint_names(count)
    }
    document = {"models": {MODEL: {}}, "endpoints": endpoints}
    return make_snapshot(1, Document.model_validate(document))


def _fair_shares(demand, seconds):
    """Return the max-min fair share of each workspace, in requests."""
    remaining = ENDPOINT_COUNT * SLOTS * seconds / SERVICE_SECONDS
    shares = {}
    for rank, (name, asked) in enumerate(sorted(demand.items(), key=lambda d: d[1])):
        shares[name] = min(asked, remaining / (len(demand) - rank))
        remaining -= shares[name]
    return shares


def _percentile(values, share):
    return values[min(len(values) - 1, int(share * len(values)))]


POLICIES = {
    "design": DispatcherPolicy,
    "least in flight": lambda seed: DirectPolicy(seed, False),
    "random": lambda seed: DirectPolicy(seed, True),
}
