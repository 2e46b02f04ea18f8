"""A replay of gossip without a network: when each node names which others."""

import heapq
import itertools
import random

from sequoiaglade_gateway.coordinator import (
    MESSAGES_PER_RELAY,
    RELAY_MAX_AGE_SECONDS,
)
from sequoiaglade_gateway.peers.gossip import (
    FANOUT,
    LARGE_FANOUT,
    LARGE_ROUND_SECONDS,
    ROUND_SECONDS,
)

from sequoiaglade_decisions.gateway import NodeState, NodeTable, choose_targets

# Time of a message between two nodes, with a pause of a busy process.
DELAY_SECONDS_MAX = 0.05
# States are known everywhere by then.
KILL_SECONDS = 12.0
END_SECONDS = 26.0
SAMPLE_SECONDS = 0.25


class _Node:
    def __init__(self, number, domain):
        self.node_id = f"g{number:02}"
        self.domain = domain
        self.table = NodeTable(self.node_id)
        self.sequence = 0
        self.acknowledged_at = {}
        self.is_running = True

    def next_state(self):
        self.sequence += 1
        return NodeState(
            self.node_id,
            1,
            self.sequence,
            data_address=self.node_id,
            failure_domain=self.domain,
            configuration_version=1,
        )


class GossipReplay:
    """Plays a fleet's gossip, of which some nodes are killed at `KILL_SECONDS`.

    A message is lost with the probability `loss`. `last_named_seconds` is how long
    after the kill a node still named a killed one, `least_share` the smallest part of
    the running nodes that one of them named.
    """

    def __init__(self, node_count, domain_count, killed_count, loss, seed):
        self._random = random.Random(seed)
        self._loss = loss
        self._nodes = [
            _Node(number, f"d{number % domain_count}") for number in range(node_count)
        ]
        # All of one failure domain, since its nodes exchange most states.
        killed = [node for node in self._nodes if node.domain == "d0"]
        self._killed = self._random.sample(killed, killed_count)
        self._killed_at = KILL_SECONDS + self._random.random()
        self._events = []
        self._numbers = itertools.count()
        self.last_named_seconds = 0.0
        self.least_share = 1.0

    def play(self):
        """Play the whole replay; return it."""
        for node in self._nodes:
            # As from its seeds, each node knows the others' first states.
            for other in self._nodes:
                if other is not node:
                    node.table.observe_state(other.next_state(), 0.0)
            self._add(self._random.random(), self._run_round, node)
        self._add(self._killed_at, self._kill)
        for number in range(int((END_SECONDS - KILL_SECONDS) / SAMPLE_SECONDS)):
            self._add(KILL_SECONDS + number * SAMPLE_SECONDS, self._sample)
        while self._events and self._events[0][0] < END_SECONDS:
            now, _, step, arguments = heapq.heappop(self._events)
            step(now, *arguments)
        return self

    def _add(self, at, step, *arguments):
        heapq.heappush(self._events, (at, next(self._numbers), step, arguments))

    def _kill(self, now):
        for node in self._killed:
            node.is_running = False

    def _run_round(self, now, node):
        if not node.is_running:
            return
        is_large = node.table.is_large
        live = node.table.live(now)
        acknowledged_at = lambda i: node.acknowledged_at.get(i, 0.0)  # noqa: E731
        if is_large:
            targets = choose_targets(
                live, node.domain, LARGE_FANOUT, acknowledged_at, self._random
            )
        else:
            self._random.shuffle(live)
            targets = sorted(live, key=lambda s: acknowledged_at(s.node_id))[:FANOUT]
        digest = self._digest(node, now)
        for state in targets:
            target = self._nodes[int(state.node_id[1:])]
            self._send(now, self._receive_request, target, node, digest, now)
        seconds = LARGE_ROUND_SECONDS if is_large else ROUND_SECONDS
        seconds *= 0.8 + 0.4 * self._random.random()
        self._add(now + seconds, self._run_round, node)

    def _send(self, now, step, *arguments):
        if self._random.random() >= self._loss:
            delay = DELAY_SECONDS_MAX * self._random.random()
            self._add(now + delay, step, *arguments)

    def _digest(self, node, now):
        own, others = node.next_state(), []
        if node.table.is_large or node.sequence % MESSAGES_PER_RELAY == 0:
            others = node.table.heard_within(now, RELAY_MAX_AGE_SECONDS)
        return [own, *others]

    def _receive_request(self, now, node, sender, digest, sent_at):
        if node.is_running:
            reply = self._digest(node, now)
            self._merge(now, node, digest)
            self._send(now, self._receive_reply, sender, node, reply, sent_at)

    def _receive_reply(self, now, node, sender, digest, sent_at):
        if node.is_running:
            node.acknowledged_at[sender.node_id] = sent_at
            self._merge(now, node, digest)

    def _merge(self, now, node, digest):
        for state in digest:
            node.table.observe_state(state, now)

    def _named_ids(self, node, now):
        return {state.node_id for state in node.table.live(now)}

    def _sample(self, now):
        running = {node.node_id for node in self._nodes if node.is_running}
        for node in self._nodes:
            if not node.is_running:
                continue
            named = self._named_ids(node, now) | {node.node_id}
            self.least_share = min(
                self.least_share, len(named & running) / len(running)
            )
            if named - running:
                self.last_named_seconds = max(
                    self.last_named_seconds, now - self._killed_at
                )
