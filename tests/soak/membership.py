"""Long randomised runs of the membership view of simulated nodes.

Nodes gossip, become unreachable, return, restart and leave. The checks: messages stay
bounded, a node that left is not used again in the same incarnation, and some rounds
after the last fault every node knows which other nodes are usable.
"""

import random
import time

from sequoiaglade_decisions.membership import FANOUT, Members, PeerState

NODES = 12
FAULT_ROUNDS = 60
QUIET_ROUNDS = 10
LONG_QUIET_ROUNDS = 30


class SimulatedFleet:
    """Nodes that gossip in rounds of a second; `rng` selects peers and faults."""

    def __init__(self, rng, nodes=NODES):
        self._rng = rng
        self.now = 0.0
        self.ids = [f"node-{number:03d}" for number in range(nodes)]
        self.members = {i: Members(i, rng) for i in self.ids}
        self.incarnations = dict.fromkeys(self.ids, 1)
        self.sequences = dict.fromkeys(self.ids, 0)
        self.unreachable = set()
        self.leaving = set()
        self.message_count = 0
        self.mark_count = 0
        for members in self.members.values():
            members.set_announced(self.ids, self.now)

    def run_round(self):
        """Let each reachable node exchange gossip with the peers it chooses."""
        self.now += 1.0
        for node_id in self._rng.sample(self.ids, len(self.ids)):
            if node_id in self.unreachable:
                continue
            targets = self.members[node_id].choose_peers(self.now)
            assert len(targets) <= FANOUT, targets
            for peer in targets:
                self._exchange(node_id, peer)

    def apply_random_fault(self):
        """Make a node unreachable, reachable again, restart or leave."""
        node_id = self._rng.choice(self.ids)
        chance = self._rng.random()
        if chance < 0.4:
            self.unreachable.symmetric_difference_update({node_id})
        elif chance < 0.6:
            self._restart(node_id)
        elif chance < 0.7:
            self.leaving.add(node_id)

    def unusable(self):
        """Return the ids of unreachable and leaving nodes."""
        return self.unreachable | self.leaving

    def check_views(self):
        """Check that each reachable node knows which others are unusable."""
        for node_id in set(self.ids) - self.unreachable:
            expected = self.unusable() - {node_id}
            assert self.members[node_id].unusable() == expected, node_id

    def _restart(self, node_id):
        self.incarnations[node_id] += 1
        self.sequences[node_id] = 0
        self.leaving.discard(node_id)
        self.unreachable.discard(node_id)
        self.members[node_id] = Members(node_id, self._rng)
        self.members[node_id].set_announced(self.ids, self.now)

    def _exchange(self, node_id, peer):
        asker = self.members[node_id]
        if peer in self.unreachable:
            asker.note_no_answer(peer, self.now, self.now)
            return
        self._deliver(peer, node_id)
        self._deliver(node_id, peer)

    def _deliver(self, receiver, sender):
        marks = self.members[sender].marks(self.now)
        self.message_count += 1
        self.mark_count += len(marks)
        self.members[receiver].observe_state(self._state(sender), self.now)
        self.members[receiver].observe_marks(marks, self.now)

    def _state(self, node_id):
        self.sequences[node_id] += 1
        return PeerState(
            node_id,
            self.incarnations[node_id],
            self.sequences[node_id],
            node_id in self.leaving,
            0,
            0.0,
            {},
        )


def run_fleet(seed, quiet_rounds=QUIET_ROUNDS):
    """Run rounds with faults, then rounds without, and check; return the fleet."""
    rng = random.Random(seed)
    fleet = SimulatedFleet(rng)
    for _ in range(FAULT_ROUNDS):
        if rng.random() < 0.2:
            fleet.apply_random_fault()
        fleet.run_round()
    for _ in range(quiet_rounds):
        fleet.run_round()
    fleet.check_views()
    return fleet


def run(seed, minutes):
    """Run random fleets for `minutes`; return a summary."""
    deadline = time.monotonic() + 60 * minutes
    fleets = messages = 0
    while time.monotonic() < deadline or not fleets:
        messages += run_fleet(f"{seed}/{fleets}", LONG_QUIET_ROUNDS).message_count
        fleets += 1
    return f"{fleets} fleets, {messages} messages"
