"""A replay of gossip without a network: when each node names which others."""

import heapq
import itertools
import random

from sequoiaglade_gateway.coordinator import (
    MESSAGES_PER_RELAY,
    REPUBLISH_SECONDS,
    relay_seconds,
)
from sequoiaglade_gateway.peers.gossip import (
    CALL_SECONDS,
    FANOUT,
    LARGE_FANOUT,
    LARGE_ROUND_SECONDS,
    ROUND_SECONDS,
)

from sequoiaglade_decisions.gateway import (
    NodeState,
    NodeTable,
    choose_targets,
    running_nodes,
)

# That of the sites with the tighter bound.
STABLE_SECONDS = 3.0

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
        self.published_at = float("-inf")
        self.acknowledged_at, self.asked_at = {}, {}
        self.is_running = True

    def next_state(self, now, is_reply=False):
        is_recent = now - self.published_at < REPUBLISH_SECONDS
        if not (is_reply and self.table.is_large and is_recent):
            self.sequence += 1
            self.published_at = now
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
    the running nodes that one of them named. `left_out_count` counts running nodes that
    were not named although they counted as live.
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
        self.left_out_count = 0

    def play(self):
        """Play the whole replay; return it."""
        for node in self._nodes:
            # As from its seeds, each node knows the others' first states.
            for other in self._nodes:
                if other is not node:
                    node.table.observe_state(other.next_state(0.0), 0.0)
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
        live = node.table.live(now)
        if node.table.is_large:
            targets = self._choose_large(node, live, LARGE_FANOUT)
        else:
            self._random.shuffle(live)
            live.sort(key=lambda s: node.acknowledged_at.get(s.node_id, 0.0))
            targets = live[:FANOUT]
        self._ask(now, node, targets, self._replace_failed)

    def _choose_large(self, node, live, count):
        asked_at = lambda i: node.asked_at.get(i, 0.0)  # noqa: E731
        return choose_targets(live, node.domain, count, asked_at, self._random)

    def _ask(self, now, node, targets, on_failures):
        digest = self._digest(node, now)
        for state in targets:
            target = self._nodes[int(state.node_id[1:])]
            node.asked_at[state.node_id] = now
            self._send(now, self._receive_request, target, node, digest, now)
        ids = [state.node_id for state in targets]
        answered_at = now + 2 * DELAY_SECONDS_MAX
        self._add(answered_at, self._end_calls, node, ids, now, on_failures)

    def _end_calls(self, now, node, ids, asked_at, on_failures):
        """End the round if all peers have answered, else wait for the time-out."""
        if not node.is_running:
            return
        count = sum(node.acknowledged_at.get(i, 0.0) < asked_at for i in ids)
        if count:
            self._add(asked_at + CALL_SECONDS, on_failures, node, count)
        else:
            self._pause(now, node)

    def _replace_failed(self, now, node, count):
        if not (node.is_running and node.table.is_large):
            self._pause(now, node)
            return
        targets = self._choose_large(node, node.table.live(now), count)
        self._ask(now, node, targets, self._pause)

    def _pause(self, now, node, _count=0):
        seconds = LARGE_ROUND_SECONDS if node.table.is_large else ROUND_SECONDS
        seconds *= 0.8 + 0.4 * self._random.random()
        self._add(now + seconds, self._run_round, node)

    def _send(self, now, step, *arguments):
        if self._random.random() >= self._loss:
            delay = DELAY_SECONDS_MAX * self._random.random()
            self._add(now + delay, step, *arguments)

    def _digest(self, node, now, is_reply=False):
        own, others, table = node.next_state(now, is_reply), [], node.table
        if table.is_large or node.sequence % MESSAGES_PER_RELAY == 0:
            others = table.heard_within(now, relay_seconds(table.is_large))
        # Small fleets send no ages.
        age_by_id = table.ages(others, now) if table.is_large else {}
        return [(own, 0.0), *((s, age_by_id.get(s.node_id, 0.0)) for s in others)]

    def _receive_request(self, now, node, sender, digest, sent_at):
        if node.is_running:
            reply = self._digest(node, now, is_reply=True)
            self._merge(now, node, digest)
            self._send(now, self._receive_reply, sender, node, reply, sent_at)

    def _receive_reply(self, now, node, sender, digest, sent_at):
        if node.is_running:
            node.acknowledged_at[sender.node_id] = sent_at
            self._merge(now, node, digest)

    def _merge(self, now, node, digest):
        for state, age in digest:
            node.table.observe_state(state, now, age)

    def _named_ids(self, node, now):
        states, _ = running_nodes(node.table, now, STABLE_SECONDS)
        return {state.node_id for state in states}

    def _sample(self, now):
        running = {node.node_id for node in self._nodes if node.is_running}
        for node in self._nodes:
            if not node.is_running:
                continue
            named = self._named_ids(node, now) | {node.node_id}
            live = {state.node_id for state in node.table.live(now)}
            self.left_out_count += len((live & running) - named)
            self.least_share = min(
                self.least_share, len(named & running) / len(running)
            )
            if named - running:
                self.last_named_seconds = max(
                    self.last_named_seconds, now - self._killed_at
                )
