"""A fleet of limits state machines on fakes, with faults and admission checks."""

import itertools
from random import Random
from typing import NamedTuple

from sequoiaglade_decisions.limits import GROUP_COUNT, Timing
from sequoiaglade_decisions.outcomes import check_invariant

from .fake_clock import EventQueue
from .limits_designs import PooledNode
from .limits_fakes import FakeNetwork, FakePlatform, Outcome, OverrunCheck


class FakeLimit(NamedTuple):
    """Limit of a workspace: requests per second, and burst size."""

    rate: float
    burst: int


class FakeFleet:
    """Nodes of one design with their network, platform and recorded outcomes."""

    def __init__(
        self, seed, node_count, limits, design=PooledNode, timing=None, checked=None
    ):
        self.random = Random(seed)
        self.events = EventQueue()
        self.network = FakeNetwork(self.events, self.random)
        self.platform = FakePlatform(self.random)
        self.limit_by_workspace = limits
        self.node_count = node_count
        self.timing = timing or Timing()
        self.polls = 0
        self.grant_requests = 0
        self.outcomes = []
        self.check_by_workspace = {
            name: OverrunCheck(limit.rate, limit.burst)
            for name, limit in (checked or limits).items()
        }
        self._design = design
        self._starts = itertools.count(1_000_000_000, 1_000_000_000)
        self.first_node_id = "node-0"
        for number in range(node_count):
            self.start_node(f"node-{number}")

    @property
    def nodes(self):
        """The running nodes, sorted by id; frozen ones count as running."""
        return [node for _, node in sorted(self.network.node_by_id.items())]

    def start_node(self, node_id):
        """Start a node on an instance of the same name."""
        self.platform.instances.add(node_id)
        node = self._design(self, node_id, next(self._starts))
        self.network.node_by_id[node_id] = node

    def kill(self, node_id):
        """Stop a node abruptly."""
        self.network.node_by_id.pop(node_id).alive = False

    def set_frozen(self, node_id, frozen):
        """Freeze a node, or resume it and deliver what was queued meanwhile."""
        node = self.network.node_by_id[node_id]
        node.frozen = frozen
        if not frozen:
            waiting, node.waiting = node.waiting, []
            for arrival in waiting:
                arrival()

    def cut(self, node_id, others):
        """Partition a node from `others`, in both directions."""
        for other in others:
            self.network.cut_pairs.add(frozenset((node_id, other)))

    def configure(self, limits):
        """Apply new limits, at each node at a random time within three seconds."""
        self.limit_by_workspace = limits
        for node in self.nodes:
            self.events.after(self.random.uniform(0, 3), node.configure, limits)

    def request(self, node_id, workspace):
        """Send a request to a node and record its outcome."""
        node = self.network.node_by_id.get(node_id)
        if node is None or node.frozen:
            return

        def settle(admitted):
            now = self.events.now
            self.outcomes.append(Outcome(now, node_id, workspace, admitted))
            if admitted:
                self.check_by_workspace[workspace].admit(now)

        node.admit(workspace, settle)

    def check_slots(self):
        """Check that no two pool nodes of a group use the same slot at once."""
        for group in range(GROUP_COUNT):
            used = 0
            for node in self.nodes:
                slots = node.machine.slots_in_use(group, node.now)
                check_invariant(not used & slots, "a slot fills one pool")
                used |= slots

    def overrun(self):
        """Return by how many requests the worst window exceeded its limit."""
        return max(check.max_overrun for check in self.check_by_workspace.values())
