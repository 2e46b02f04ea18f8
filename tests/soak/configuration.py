"""Long randomised runs of the configuration's follower.

A model of the platform accepts changes, fails and lags; nodes read it, ask each other
and are cut off and frozen. Two promises are checked at each step: a node's revision
never falls, and a node that serves requests with a key holds every revision accepted
more than `EVIDENCE_SECONDS` ago.
"""

import random
import time

from sequoiaglade_decisions.configuration import EVIDENCE_LIFETIME_SECONDS, Follower
from sequoiaglade_decisions.configuration.follower import OUTAGE_QUORUM

NODES = 8
STEP_SECONDS = 0.1
STEPS = 600


class World:
    """One platform and some nodes; `rng` chooses what happens."""

    def __init__(self, rng, nodes=NODES):
        self._rng = rng
        self.now = 100.0
        self.accepted_at = [0.0, 0.0]
        self.is_down = False
        self.cut_from_platform = set()
        self.cut_from_peers = set()
        self.frozen = set()
        self.followers = [Follower() for _ in range(nodes)]
        self.served = 0
        self.refused = 0
        self.given_up_at = float("-inf")
        self.is_unspread = False

    @property
    def newest(self):
        """Number of the newest accepted revision."""
        return len(self.accepted_at) - 1

    def step(self):
        """Let something happen, let nodes act, and check the promises."""
        self.now += self._rng.uniform(0, 2 * STEP_SECONDS)
        self._change()
        self._note_given_up()
        before = [follower.in_force for follower in self.followers]
        for node, follower in enumerate(self.followers):
            if node not in self.frozen:
                self._act(node, follower)
        for node, follower in enumerate(self.followers):
            assert follower.in_force >= before[node], "a revision was put back"
            self._check(node, follower)

    def accept(self):
        """Accept a change through a node that reaches the platform, if there is one."""
        able = [n for n in range(len(self.followers)) if self._reads(n)]
        if not able:
            return
        node = self._rng.choice(able)
        self.accepted_at.append(self.now)
        self.followers[node].apply(self.newest, self.now)
        self.is_unspread = node in self.cut_from_peers
        for peer, follower in enumerate(self.followers):
            if peer != node and self._meets(node, peer):
                follower.learn(self.newest)

    def _change(self):
        chance = self._rng.random()
        nodes = range(len(self.followers))
        if chance < 0.03:
            self.accept()
        elif chance < 0.04:
            self.is_down = not self.is_down
        elif chance < 0.05:
            group = self._rng.choice(
                (self.cut_from_platform, self.cut_from_peers, self.frozen)
            )
            group.symmetric_difference_update({self._rng.choice(nodes)})

    def _act(self, node, follower):
        if follower.is_read_due(self.now) and self._rng.random() < 0.5:
            self._read(node, follower)
        if self._rng.random() < 0.3:
            self._ask(node, follower)

    def _read(self, node, follower):
        asked_at = self.now
        if not self._reads(node):
            follower.platform_failed(asked_at)
            return
        if self.newest > follower.in_force:
            follower.apply(self.newest, asked_at)
        follower.platform_gave(self.newest, asked_at)

    def _ask(self, node, follower):
        others = [n for n in range(len(self.followers)) if n != node]
        for peer in others:
            if not self._meets(node, peer):
                follower.peer_silent(peer, self.now)
                continue
            other = self.followers[peer]
            follower.peer_answered(peer, other.report(self.now), self.now)
            if follower.is_behind and other.in_force > follower.in_force:
                follower.apply(other.in_force, float("-inf"))
        follower.forget_before(self.now - 10)

    def _check(self, node, follower):
        if self.now > follower.serve_until(len(self.followers) - 1):
            self.refused += 1
            return
        self.served += 1
        if follower.in_force < self.newest:
            age = self.now - self.accepted_at[follower.in_force + 1]
            given_up = self.now - self.given_up_at <= EVIDENCE_LIFETIME_SECONDS
            assert age <= EVIDENCE_LIFETIME_SECONDS or given_up, (
                f"node {node} serves {follower.in_force}; a newer one is {age} s old"
            )

    def _reads(self, node):
        cut = self.cut_from_platform | self.frozen
        return not self.is_down and node not in cut

    def _meets(self, node, peer):
        return not {node, peer} & self.cut_from_peers and peer not in self.frozen

    def _note_given_up(self):
        """Note whether this is one of the two cases that the design gives up.

        A quorum finds the platform failing while it serves others; or the platform
        fails before anybody has read a change accepted through a node without peers.
        """
        holders = {n for n, f in enumerate(self.followers) if f.floor == self.newest}
        alone = self.cut_from_peers | self.frozen
        self.is_unspread = self.is_unspread and holders <= alone
        if self.is_unspread and self.is_down:
            self.given_up_at = self.now
        blind = sum(not self._reads(node) for node in range(len(self.followers)))
        if not self.is_down and blind >= OUTAGE_QUORUM * len(self.followers):
            self.given_up_at = self.now


def run(seed, minutes):
    """Run random worlds for so many minutes; return what was done."""
    deadline = time.monotonic() + 60 * minutes
    worlds = served = refused = 0
    while time.monotonic() < deadline or not worlds:
        world = World(random.Random(f"{seed}/{worlds}"))
        for _ in range(STEPS):
            world.step()
        worlds += 1
        served += world.served
        refused += world.refused
    return f"{worlds} worlds of {STEPS} steps, served {served}, refused {refused}"
