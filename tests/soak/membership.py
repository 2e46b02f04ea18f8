"""Long randomised runs of the view that nodes have of one another.

Nodes ask each other, are frozen, cut and restarted. Checked are that messages stay
bounded, that a node which left is not used in the same incarnation, and that some
time after the last change every node knows which of the others are there.
"""

import random
import time

from sequoiaglade_decisions.membership import FANOUT, Members, PeerState

NODES = 12
BUSY_ROUNDS = 60
QUIET_ROUNDS = 10
LONG_QUIET_ROUNDS = 30


class World:
    """Some nodes that gossip in rounds of a second; `rng` chooses what happens."""

    def __init__(self, rng, nodes=NODES):
        self._rng = rng
        self.now = 0.0
        self.ids = [f"node-{number:03d}" for number in range(nodes)]
        self.members = {i: Members(i, rng) for i in self.ids}
        self.incarnations = dict.fromkeys(self.ids, 1)
        self.sequences = dict.fromkeys(self.ids, 0)
        self.gone = set()
        self.leaving = set()
        self.message_count = 0
        self.mark_count = 0
        for members in self.members.values():
            members.set_announced(self.ids, self.now)

    def round(self):
        """Let each node that is there ask its targets."""
        self.now += 1.0
        for node_id in self._rng.sample(self.ids, len(self.ids)):
            if node_id in self.gone:
                continue
            targets = self.members[node_id].choose_peers(self.now)
            assert len(targets) <= FANOUT, targets
            for peer in targets:
                self._exchange(node_id, peer)

    def change(self):
        """Let a node vanish, come back, restart or leave."""
        node_id = self._rng.choice(self.ids)
        chance = self._rng.random()
        if chance < 0.4:
            self.gone.symmetric_difference_update({node_id})
        elif chance < 0.6:
            self._restart(node_id)
        elif chance < 0.7:
            self.leaving.add(node_id)

    def unusable(self):
        """Return the ids of the nodes that nobody should be sent to."""
        return self.gone | self.leaving

    def check_views(self):
        """Check that each node knows which of the others are usable."""
        for node_id in set(self.ids) - self.gone:
            expected = self.unusable() - {node_id}
            assert self.members[node_id].unusable() == expected, node_id

    def _restart(self, node_id):
        self.incarnations[node_id] += 1
        self.sequences[node_id] = 0
        self.leaving.discard(node_id)
        self.gone.discard(node_id)
        self.members[node_id] = Members(node_id, self._rng)
        self.members[node_id].set_announced(self.ids, self.now)

    def _exchange(self, node_id, peer):
        asker = self.members[node_id]
        if peer in self.gone:
            asker.note_no_answer(peer, self.now, self.now)
            return
        self._hear(peer, node_id)
        self._hear(node_id, peer)

    def _hear(self, hearer, sender):
        marks = self.members[sender].marks(self.now)
        self.message_count += 1
        self.mark_count += len(marks)
        self.members[hearer].observe_state(self._state(sender), self.now)
        self.members[hearer].observe_marks(marks, self.now)

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


def run_world(seed, quiet_rounds=QUIET_ROUNDS):
    """Run one world: busy rounds, then quiet ones, then the check; return it."""
    rng = random.Random(seed)
    world = World(rng)
    for _ in range(BUSY_ROUNDS):
        if rng.random() < 0.2:
            world.change()
        world.round()
    for _ in range(quiet_rounds):
        world.round()
    world.check_views()
    return world


def run(seed, minutes):
    """Run random worlds for so many minutes; return what was done."""
    deadline = time.monotonic() + 60 * minutes
    worlds = messages = 0
    while time.monotonic() < deadline or not worlds:
        messages += run_world(f"{seed}/{worlds}", LONG_QUIET_ROUNDS).message_count
        worlds += 1
    return f"{worlds} worlds, {messages} messages"
