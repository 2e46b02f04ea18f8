"""Random simulations of the configuration's follower.

A simulated platform accepts changes and has outages; nodes read it, query each other,
lose their connections, and freeze. Two invariants are checked at each step: a node's
revision never decreases, and a node that serves requests with a key has every revision
accepted more than `EVIDENCE_LIFETIME_SECONDS` ago.
"""

import random
import time

from sequoiaglade_decisions.configuration import EVIDENCE_LIFETIME_SECONDS, Follower
from sequoiaglade_decisions.configuration.follower import OUTAGE_QUORUM

NODES = 8
STEP_SECONDS = 0.1
STEPS = 600


class Simulation:
    """One platform and some nodes; `rng` chooses the events."""

    def __init__(self, rng, nodes=NODES):
        self._rng = rng
        self.now = 100.0
        self.accepted_at = [0.0, 0.0]
        self.is_down = False
        self.without_platform = set()
        self.without_peers = set()
        self.frozen = set()
        self.followers = [Follower() for _ in range(nodes)]
        self.served = 0
        self.refused = 0
        self.exempt_at = float("-inf")
        self.is_newest_isolated = False

    @property
    def newest(self):
        """Number of the newest accepted revision."""
        return len(self.accepted_at) - 1

    def step(self):
        """Apply a random event, let the nodes act, and check the invariants."""
        self.now += self._rng.uniform(0, 2 * STEP_SECONDS)
        self._change()
        self._note_exemption()
        before = [follower.in_force for follower in self.followers]
        for node, follower in enumerate(self.followers):
            if node not in self.frozen:
                self._act(node, follower)
        for node, follower in enumerate(self.followers):
            assert follower.in_force >= before[node], "a revision was reverted"
            self._check(node, follower)

    def accept(self):
        """Accept a change through a node connected to the platform, if there is any."""
        connected = [n for n in range(len(self.followers)) if self._reaches_platform(n)]
        if not connected:
            return
        node = self._rng.choice(connected)
        self.accepted_at.append(self.now)
        self.followers[node].apply(self.newest, self.now)
        self.is_newest_isolated = node in self.without_peers
        for peer, follower in enumerate(self.followers):
            if peer != node and self._reaches_peer(node, peer):
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
                (self.without_platform, self.without_peers, self.frozen)
            )
            group.symmetric_difference_update({self._rng.choice(nodes)})

    def _act(self, node, follower):
        if follower.is_read_due(self.now) and self._rng.random() < 0.5:
            self._read(node, follower)
        if self._rng.random() < 0.3:
            self._query_peers(node, follower)

    def _read(self, node, follower):
        asked_at = self.now
        if not self._reaches_platform(node):
            follower.platform_failed(asked_at)
            return
        if self.newest > follower.in_force:
            follower.apply(self.newest, asked_at)
        follower.platform_gave(self.newest, asked_at)

    def _query_peers(self, node, follower):
        others = [n for n in range(len(self.followers)) if n != node]
        for peer in others:
            if not self._reaches_peer(node, peer):
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
            is_exempt = self.now - self.exempt_at <= EVIDENCE_LIFETIME_SECONDS
            assert age <= EVIDENCE_LIFETIME_SECONDS or is_exempt, (
                f"node {node} serves {follower.in_force}; a newer one is {age} s old"
            )

    def _reaches_platform(self, node):
        disconnected = self.without_platform | self.frozen
        return not self.is_down and node not in disconnected

    def _reaches_peer(self, node, peer):
        return not {node, peer} & self.without_peers and peer not in self.frozen

    def _note_exemption(self):
        """Note whether one of the two cases holds that the design does not cover.

        Either a quorum finds the platform failing while it serves other nodes, or the
        platform fails before any other node has read a change that was accepted through
        a node without peers.
        """
        holders = {n for n, f in enumerate(self.followers) if f.floor == self.newest}
        isolated = self.without_peers | self.frozen
        self.is_newest_isolated = self.is_newest_isolated and holders <= isolated
        if self.is_newest_isolated and self.is_down:
            self.exempt_at = self.now
        failing_count = sum(
            not self._reaches_platform(node) for node in range(len(self.followers))
        )
        if not self.is_down and failing_count >= OUTAGE_QUORUM * len(self.followers):
            self.exempt_at = self.now


def run(seed, minutes):
    """Run random simulations for `minutes`; return a summary."""
    deadline = time.monotonic() + 60 * minutes
    runs = served = refused = 0
    while time.monotonic() < deadline or not runs:
        simulation = Simulation(random.Random(f"{seed}/{runs}"))
        for _ in range(STEPS):
            simulation.step()
        runs += 1
        served += simulation.served
        refused += simulation.refused
    return f"{runs} simulations of {STEPS} steps, served {served}, refused {refused}"
