"""Long randomised simulation of the limits machines that checks every admission.

Eight nodes, or twelve of which four have no slots, serve traffic whose hot node
changes; one workspace sends five times its rate. Nodes are killed, frozen beyond their
lease terms, replaced, and partitioned from peers, from the platform or from both.
Limits change; the platform loses responses and goes down for minutes.
"""

import time
from random import Random

from sequoiaglade_bench.limits_fleet import FakeFleet, FakeLimit
from sequoiaglade_decisions.limits import Timing

NODE_COUNTS = (8, 12)
LIMITS = {
    "hays": FakeLimit(20.0, 10),
    "salina": FakeLimit(100.0, 100),
    "pratt": FakeLimit(5.0, 1),
    "dodge": FakeLimit(2.0, 3),
}
CHANGED_LIMITS = LIMITS | {"hays": FakeLimit(8.0, 25), "salina": FakeLimit(60.0, 30)}
MAX_LIMITS = LIMITS | {"hays": FakeLimit(20.0, 25)}
LOAD_FACTOR_BY_WORKSPACE = {"hays": 5.0, "pratt": 1.2, "salina": 0.6, "dodge": 0.8}
SHORT_TIMING = Timing(entitlement_seconds=40.0, renewal_seconds=8.0)
MEAN_FAULT_INTERVAL_SECONDS = 4.0
CHECK_INTERVAL_SECONDS = 0.1
RUN_SECONDS = 300.0
TOLERANCE = 1e-6


class Simulation:
    """A fleet on fakes, with traffic and faults drawn from a seed."""

    def __init__(self, seed, node_count, design=None, timing=SHORT_TIMING):
        options = {} if design is None else {"design": design}
        self.random = Random(seed)
        self.fleet = FakeFleet(
            seed, node_count, LIMITS, timing=timing, checked=MAX_LIMITS, **options
        )
        self._hot_node_id = "node-0"
        self._next_number = node_count
        self._limits = LIMITS
        for workspace in LIMITS:
            self._schedule(0.0, self._send_request, workspace)
        self._schedule(MEAN_FAULT_INTERVAL_SECONDS, self._inject_fault)

    def run(self, seconds):
        """Run for `seconds` of simulated time."""
        events = self.fleet.events
        end = events.now + seconds
        while events.now < end:
            events.run_until(min(end, events.now + CHECK_INTERVAL_SECONDS))
            self.fleet.check_slots()

    def _schedule(self, seconds, function, *arguments):
        self.fleet.events.after(seconds, function, *arguments)

    def _send_request(self, workspace):
        nodes = self.fleet.nodes
        if nodes:
            hot_node = self.fleet.network.node_by_id.get(self._hot_node_id)
            node = self.random.choice(nodes)
            if hot_node is not None and self.random.random() < 0.5:
                node = hot_node
            self.fleet.request(node.node_id, workspace)
        per_second = LIMITS[workspace].rate * LOAD_FACTOR_BY_WORKSPACE[workspace]
        self._schedule(
            self.random.expovariate(per_second), self._send_request, workspace
        )

    def _inject_fault(self):
        faults = (
            self._kill,
            self._leave,
            self._replace_node,
            self._freeze,
            self._cut_peers,
            self._cut_platform,
            self._cut_both,
            self._platform_down,
            self._slow_network,
            self._change_limits,
            self._move_hot_spot,
        )
        if self.fleet.nodes:
            node = self.random.choice(self.fleet.nodes)
            self.random.choice(faults)(node.node_id)
        pause = self.random.expovariate(1 / MEAN_FAULT_INTERVAL_SECONDS)
        self._schedule(pause, self._inject_fault)

    def _kill(self, node_id):
        self.fleet.kill(node_id)
        self._schedule(self.random.uniform(0.1, 6), self._start, node_id)

    def _leave(self, node_id):
        node = self.fleet.network.node_by_id[node_id]
        if not node.frozen:
            node.leave()
            self._schedule(2.0, self._kill_if_running, node)
            self._schedule(self.random.uniform(2, 15), self._start, node_id)

    def _kill_if_running(self, node):
        if self.fleet.network.node_by_id.get(node.node_id) is node:
            self.fleet.kill(node.node_id)

    def _replace_node(self, node_id):
        self.fleet.kill(node_id)
        lag = self.random.uniform(0, 5)
        self._schedule(lag, self._remove_instance, node_id)
        name = f"node-{self._next_number}"
        self._next_number += 1
        self._schedule(self.random.uniform(0.1, 6), self._start, name)

    def _start(self, node_id):
        if node_id not in self.fleet.network.node_by_id:
            self.fleet.start_node(node_id)

    def _remove_instance(self, node_id):
        if node_id not in self.fleet.network.node_by_id:
            self.fleet.platform.instances.discard(node_id)

    def _freeze(self, node_id):
        self.fleet.set_frozen(node_id, True)
        seconds = self.random.choice((0.5, 2, 5, 12, 60))
        self._schedule(self.random.uniform(0.1, seconds), self._unfreeze, node_id)

    def _unfreeze(self, node_id):
        if node_id in self.fleet.network.node_by_id:
            self.fleet.set_frozen(node_id, False)

    def _cut_peers(self, node_id):
        others = [node.node_id for node in self.fleet.nodes if node.node_id != node_id]
        count = self.random.randint(1, len(others)) if others else 0
        self.fleet.cut(node_id, self.random.sample(others, count))
        self._schedule(self.random.uniform(1, 20), self.fleet.network.cut_pairs.clear)

    def _cut_platform(self, node_id):
        cut_ids = self.fleet.platform.cut_ids
        cut_ids.add(node_id)
        self._schedule(self.random.uniform(1, 80), cut_ids.discard, node_id)

    def _cut_both(self, node_id):
        self._cut_peers(node_id)
        self._cut_platform(node_id)

    def _platform_down(self, _):
        self._set_platform(True, 0.3)
        seconds = self.random.choice((3, 30, 150))
        self._schedule(self.random.uniform(1, seconds), self._set_platform, False, 0.0)

    def _set_platform(self, down, lost_answers):
        self.fleet.platform.down = down
        self.fleet.platform.lost_answers = lost_answers if down else 0.2

    def _slow_network(self, _):
        self.fleet.network.slow_fraction = self.random.choice((0.0, 0.05, 0.3))
        self.fleet.network.loss = self.random.choice((0.0, 0.05, 0.3))

    def _change_limits(self, _):
        self._limits = CHANGED_LIMITS if self._limits is LIMITS else LIMITS
        self.fleet.configure(self._limits)

    def _move_hot_spot(self, node_id):
        self._hot_node_id = node_id


def run(seed, minutes):
    """Run for `minutes`, with a new seed after every five simulated minutes.

    Raise on any overrun; return a line that counts the runs.
    """
    end = time.monotonic() + minutes * 60
    runs = admitted = 0
    while runs == 0 or time.monotonic() < end:
        simulation = Simulation(seed + runs, NODE_COUNTS[runs % len(NODE_COUNTS)])
        simulation.run(RUN_SECONDS)
        excess = simulation.fleet.overrun()
        assert excess <= TOLERANCE, f"seed {seed + runs}: {excess} requests over"
        admitted += sum(outcome.admitted for outcome in simulation.fleet.outcomes)
        runs += 1
    return f"{runs} runs of {RUN_SECONDS:g} s, {admitted} admitted, overrun 0"
