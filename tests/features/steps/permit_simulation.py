"""Simulated time for permits of an endpoint in fleets whose nodes come, go or hang."""

import random
from bisect import bisect_left
from typing import NamedTuple

from sequoiaglade_decisions.gateway import (
    COLD_PERMIT_SECONDS,
    PERMIT_USE_SECONDS,
    SETTLING_SECONDS,
    SETTLING_SECONDS_LARGE,
    ColdRanks,
    DeniedPermits,
    Permit,
    PermitLevels,
    PermitSource,
    SettledShare,
    granter_share,
    named_rate,
    permit_granters,
)

SMALL_FLEET_NODES = 13
STEP_SECONDS = 0.01
WINDOW_SECONDS = 4.0
ENDPOINT = "e-1"
# Nodes learn of others' starts and losses within these times.
VIEW_SECONDS = 0.4
VIEW_SECONDS_LARGE = 3.0
LOSS_SECONDS = 1.5
LOSS_SECONDS_LARGE = 6.0
KNOWN_SECONDS = 20.0
ROUND_SECONDS = 1.0
UNANSWERED = Permit(False, 0.5)
GRANTERS = 2
NEVER = float("inf")


class Change(NamedTuple):
    """A change of nodes: "start", "kill", "hang", "resume", "split" or "join"."""

    at: float
    kind: str
    count: int = 1


class _Node:
    def __init__(self, fleet, node_id, started_at):
        self._fleet = fleet
        self.node_id = node_id
        self.started_at = started_at
        self.levels = PermitLevels()
        self.denied = DeniedPermits()
        self.ranks = ColdRanks()
        self._settled_share = SettledShare()
        self.side = 0
        self.is_hanging = False
        # By other nodes' ids: when this node hears of them, loses them, and hears of
        # them again.
        self.met_at = {}
        self.lost_at = {}
        self.back_at = {}

    def granters(self, now):
        """Return the ids of the nodes to ask for permits."""
        found = []
        settling = self._fleet.settling_seconds
        for node_id in self._fleet.ranked_ids():
            if self.met_at.get(node_id, NEVER) > now:
                continue
            if self._seconds_lost(node_id, now) <= settling:
                found.append(node_id)
            if len(found) == GRANTERS:
                break
        return found

    def update_share(self, now):
        """Return the share of the known nodes that this one takes for live."""
        settling = self._fleet.settling_seconds
        return self._settled_share.update(self._share(now), now, settling)

    def look_at_rank(self, now):
        """Note this node's share and its rank, as it does in each round of gossip."""
        part = granter_share(self.node_id, self.granters(now))
        share = self.update_share(now)
        return self.ranks.update(ENDPOINT, part, share, now)

    def hear_again(self, node_id, at):
        """Hear of a node at a time, which may have been lost by then."""
        if self.lost_at.get(node_id, NEVER) > at:
            self.lost_at.pop(node_id, None)
        self.back_at[node_id] = at

    def _share(self, now):
        met = [i for i, at in self.met_at.items() if at <= now]
        lost = [self._seconds_lost(i, now) for i in met]
        return sum(not s for s in lost) / sum(s <= KNOWN_SECONDS for s in lost)

    def _seconds_lost(self, node_id, now):
        lost_at = self.lost_at.get(node_id, NEVER)
        if lost_at > now or lost_at < self.back_at.get(node_id, -NEVER) <= now:
            return 0.0
        return now - lost_at

    def grant_cold(self, bound, now):
        """Answer a request for a permit for a cold endpoint with a `ColdBound`."""
        rank, share = self.look_at_rank(now)
        settling_seconds = self._fleet.settling_seconds + COLD_PERMIT_SECONDS
        is_settled = now - self.started_at >= settling_seconds
        if not (is_settled and share and self.node_id in self.granters(now)):
            return Permit(False, 0.3)
        rates = {PermitSource.COLD: bound.granter_rate(rank, share)}
        return self.levels.grant(ENDPOINT, rates, now)

    def grant(self, limit, now):
        """Answer a request for a permit."""
        is_settled = now - self.started_at >= self._fleet.settling_seconds
        share = self.update_share(now)
        share *= is_settled * granter_share(self.node_id, self.granters(now))
        if not share:
            return Permit(False, 0.3)
        rates = {PermitSource.NAMED: named_rate(limit, share)}
        return self.levels.grant(ENDPOINT, rates, now)


class PermitFleet:
    """Nodes that send requests to one limited endpoint whenever they get a permit.

    `sent_at` has the times of these requests. With a `ColdBound` the endpoint is cold,
    and each request is sent up to `PERMIT_USE_SECONDS` after its permit was granted.
    """

    def __init__(self, node_count, limit, seed, bound=None):
        self.random = random.Random(seed)
        self.limit = limit
        self.bound = bound
        self.is_large = node_count > SMALL_FLEET_NODES
        self.settling_seconds = (
            SETTLING_SECONDS_LARGE if self.is_large else SETTLING_SECONDS
        )
        self.now = 0.0
        self.sent_at = []
        self._node_by_id = {}
        self._all_ids = []
        self._ranked_ids = None
        for _ in range(node_count):
            self._add_node(-60.0)
        for node in self._node_by_id.values():
            node.met_at = dict.fromkeys(self._node_by_id, -60.0)

    def play(self, requests_per_second, seconds, changes=()):
        """Send requests at random nodes, with `Change`s in the order of their times."""
        changes = list(changes)
        end_at = self.now + seconds
        next_at = round_at = self.now
        while self.now < end_at:
            self.now += STEP_SECONDS
            while changes and changes[0].at <= self.now:
                self._apply(changes.pop(0))
            if self.now >= round_at:
                round_at += ROUND_SECONDS
                for node in self._node_by_id.values():
                    if node.is_hanging:
                        continue
                    if self.bound is not None:
                        node.look_at_rank(self.now)
                    elif node.node_id in node.granters(self.now):
                        node.update_share(self.now)
            while next_at < self.now:
                next_at += self.random.expovariate(requests_per_second)
                self._send()

    def ranked_ids(self):
        """Return the ids of all nodes, also lost ones, by their rank as granters."""
        if self._ranked_ids is None:
            count = len(self._all_ids)
            self._ranked_ids = permit_granters(ENDPOINT, self._all_ids, count)
        return self._ranked_ids

    def most_in_window(self, seconds=WINDOW_SECONDS):
        """Return the most requests that the endpoint got within some seconds."""
        sent_at = sorted(self.sent_at)
        return max(
            (
                bisect_left(sent_at, at + seconds) - index
                for index, at in enumerate(sent_at)
            ),
            default=0,
        )

    def _send(self):
        active = [n for n in self._node_by_id.values() if not n.is_hanging]
        node = self.random.choice(active)
        if node.denied.until(ENDPOINT, False, self.now) is not None:
            return
        permit = self._ask(node)
        if permit.is_granted:
            delay = 0.0
            if self.bound is not None:
                delay = self.random.random() * PERMIT_USE_SECONDS
            self.sent_at.append(self.now + delay)
        else:
            node.denied.note(ENDPOINT, permit, False, self.now)

    def _ask(self, node):
        for granter_id in node.granters(self.now):
            granter = self._node_by_id.get(granter_id)
            if granter and not granter.is_hanging and granter.side == node.side:
                if self.bound is not None:
                    return granter.grant_cold(self.bound, self.now)
                return granter.grant(self.limit, self.now)
        return UNANSWERED

    def _apply(self, change):
        match change.kind:
            case "start":
                for _ in range(change.count):
                    self._start()
            case "kill":
                for node_id in self._choose(change.count):
                    del self._node_by_id[node_id]
                    self._lose(node_id, self._node_by_id.values())
            case "hang":
                for node_id in self._choose(change.count):
                    self._node_by_id[node_id].is_hanging = True
                    others = [n for n in self._node_by_id.values() if not n.is_hanging]
                    self._lose(node_id, others)
            case "resume":
                for node in self._node_by_id.values():
                    if node.is_hanging:
                        node.is_hanging = False
                        # It notices by its clock that it was suspended.
                        node.started_at = self.now
                        self._hear_again(node.node_id)
            case "split":
                nodes = list(self._node_by_id.values())
                for node in nodes:
                    node.side = self.random.randrange(2)
                for node in nodes:
                    others = [other for other in nodes if other.side != node.side]
                    self._lose(node.node_id, others)
            case "join":
                for node in self._node_by_id.values():
                    node.side = 0
                for node_id in self._node_by_id:
                    self._hear_again(node_id)

    def _choose(self, count):
        """Return ids of nodes, the granter first: its loss matters most."""
        ids = list(self._node_by_id)
        granter = permit_granters(ENDPOINT, ids)[0]
        others = self.random.sample([i for i in ids if i != granter], count - 1)
        return [granter, *others]

    def _start(self):
        node = self._add_node(self.now)
        for other in self._node_by_id.values():
            node.met_at[other.node_id] = self.now + self._view_delay()
        node.met_at[node.node_id] = self.now
        self._meet(node.node_id)

    def _add_node(self, started_at):
        node_id = f"n{len(self._node_by_id)}-{self.random.randrange(10**9)}"
        node = self._node_by_id[node_id] = _Node(self, node_id, started_at)
        self._all_ids.append(node_id)
        self._ranked_ids = None
        return node

    def _meet(self, node_id):
        for other in self._node_by_id.values():
            if other.node_id != node_id:
                other.met_at[node_id] = self.now + self._view_delay()

    def _hear_again(self, node_id):
        for other in self._node_by_id.values():
            if other.node_id != node_id:
                other.hear_again(node_id, self.now + self._view_delay())

    def _lose(self, node_id, others):
        least = LOSS_SECONDS_LARGE if self.is_large else LOSS_SECONDS
        for other in others:
            other.lost_at[node_id] = self.now + least + self._view_delay()

    def _view_delay(self):
        longest = VIEW_SECONDS_LARGE if self.is_large else VIEW_SECONDS
        return self.random.random() * longest
