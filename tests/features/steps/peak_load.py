"""Simulated fleet with a peak of online load, for comparing placement methods."""

import heapq
import itertools
import random

from sequoiaglade_decisions.gateway import (
    Endpoint,
    EndpointLoads,
    Full,
    GroupScheduler,
    Placed,
)

ONLINE_SECONDS, BATCH_SECONDS = 0.35, 2.5
LOW_SECONDS, HIGH_SECONDS, END_SECONDS = 2.0, 2.4, 5.0
REPORT_SECONDS, GOSSIP_SECONDS = 0.05, 1.0
RESERVED_SLOTS = 1
SLOTS, QUEUE_ALLOWANCE = 8, 2  # per endpoint


class PeakLoadFleet:
    """Endpoints with the requests in flight, by the node that placed them."""

    def __init__(self, node_count, endpoint_count):
        self.endpoints = [
            Endpoint(f"e{n}", "s", "", f"d{n % 4}", SLOTS)
            for n in range(endpoint_count)
        ]
        self.node_ids = [f"n{number}" for number in range(node_count)]
        self.held = {node_id: {} for node_id in self.node_ids}
        self.rng = random.Random(11)
        self.sequence = itertools.count(1)
        self.events = []
        self.outcomes = []
        self.now = 0.0

    def schedule(self, at, action, *args):
        heapq.heappush(self.events, (at, next(self.sequence), action, args))

    def play(self, placing):
        placing.start(self)
        self.schedule(0.0, self._arrive, placing)
        self.schedule(0.0, self._offer_batch, placing)
        while self.events:
            self.now, _, action, args = heapq.heappop(self.events)
            if self.now > END_SECONDS:
                break
            action(*args)

    def rate(self):
        is_high = LOW_SECONDS <= self.now < LOW_SECONDS + HIGH_SECONDS
        return 390.0 if is_high else 80.0

    def in_flight(self, endpoint_id):
        return sum(sum(c.get(endpoint_id, (0, 0))) for c in self.held.values())

    def start_request(self, node_id, endpoint_id, is_batch):
        counts = self.held[node_id].setdefault(endpoint_id, [0, 0])
        counts[is_batch] += 1
        seconds = BATCH_SECONDS if is_batch else ONLINE_SECONDS
        end_at = self.now + seconds * self.rng.uniform(0.5, 1.5)
        self.schedule(end_at, self._end_request, node_id, endpoint_id, is_batch)

    def stop_batch(self, node_id, endpoint_id):
        counts = self.held[node_id].get(endpoint_id, (0, 0))
        if counts[1]:
            counts[1] -= 1
            return True
        return False

    def _end_request(self, node_id, endpoint_id, is_batch):
        # A preempted batch item has been removed already.
        counts = self.held[node_id][endpoint_id]
        counts[is_batch] = max(0, counts[is_batch] - 1)

    def _arrive(self, placing):
        node_id = self.rng.choice(self.node_ids)
        spread = str(next(self.sequence))
        endpoint_id = placing.place(self, node_id, spread)
        is_free = endpoint_id is not None and self.in_flight(endpoint_id) < SLOTS
        self.outcomes.append((self.now, is_free))
        if endpoint_id is not None:
            self.start_request(node_id, endpoint_id, False)
        self.schedule(
            self.now + self.rng.expovariate(self.rate()), self._arrive, placing
        )

    def _offer_batch(self, placing):
        for node_id in self.node_ids:
            endpoint_id = placing.place_batch(self, node_id, str(next(self.sequence)))
            if endpoint_id is not None:
                self.start_request(node_id, endpoint_id, True)
        self.schedule(self.now + 0.1, self._offer_batch, placing)

    def share(self, after=0.0):
        found = [is_free for at, is_free in self.outcomes if at >= after]
        return sum(found) / len(found)


class PlacementByScheduler:
    """All nodes use one scheduler; an empty one replaces it at `lost_at`."""

    def __init__(self, lost_at=None):
        self._lost_at = lost_at
        self._scheduler = GroupScheduler()

    def start(self, fleet):
        if self._lost_at is not None:
            fleet.schedule(self._lost_at, self._replace_scheduler)
        fleet.schedule(0.0, self._report_all, fleet)

    def _replace_scheduler(self):
        self._scheduler = GroupScheduler()

    def _report_all(self, fleet):
        for node_id in fleet.node_ids:
            self._report_node(fleet, node_id)
        fleet.schedule(fleet.now + REPORT_SECONDS, self._report_all, fleet)

    def _report_node(self, fleet, node_id):
        number = (1, next(fleet.sequence))
        self._scheduler.report(node_id, number, fleet.held[node_id], fleet.now)

    def place(self, fleet, node_id, spread):
        self._report_node(fleet, node_id)
        placed = self._scheduler.choose(fleet.endpoints, node_id, fleet.now, spread)
        if isinstance(placed, Full):
            return None
        if placed.preempted_node is not None:
            fleet.stop_batch(placed.preempted_node, placed.endpoint_id)
        return placed.endpoint_id

    def place_batch(self, fleet, node_id, spread):
        self._report_node(fleet, node_id)
        return self._scheduler.choose_for_batch(
            fleet.endpoints, node_id, fleet.now, RESERVED_SLOTS, spread
        )


class PlacementByGossip:
    """Each node places by its own loads and by gossip of the others each second."""

    def __init__(self):
        self._loads_by_node = {}

    def start(self, fleet):
        for node_id in fleet.node_ids:
            loads = self._loads_by_node[node_id] = EndpointLoads()
            loads.is_fleet_large = True
        fleet.schedule(0.0, self._gossip, fleet)

    def _gossip(self, fleet):
        for node_id, counts in fleet.held.items():
            reported = {i: tuple(pair) for i, pair in counts.items()}
            for other, loads in self._loads_by_node.items():
                if other != node_id:
                    loads.update_peer(node_id, reported, fleet.now)
        fleet.schedule(fleet.now + GOSSIP_SECONDS, self._gossip, fleet)

    def _update_own(self, fleet, node_id):
        loads = self._loads_by_node[node_id]
        for endpoint_id, (online, batch) in loads.own().items():
            for is_batch, count in ((False, online), (True, batch)):
                for _ in range(count):
                    loads.end(endpoint_id, is_batch)
        for endpoint_id, (online, batch) in fleet.held[node_id].items():
            for is_batch, count in ((False, online), (True, batch)):
                for _ in range(count):
                    loads.begin(endpoint_id, is_batch)
        return loads

    def place(self, fleet, node_id, spread):
        loads = self._update_own(fleet, node_id)
        placed = loads.choose(fleet.endpoints, fleet.now, spread)
        if not isinstance(placed, Placed):
            return None
        if placed.preempts:
            fleet.stop_batch(node_id, placed.endpoint_id)
        return placed.endpoint_id

    def place_batch(self, fleet, node_id, spread):
        loads = self._update_own(fleet, node_id)
        return loads.choose_for_batch(
            fleet.endpoints, fleet.now, RESERVED_SLOTS, spread
        )
