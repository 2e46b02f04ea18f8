"""A fleet in simulated time whose endpoints crash on a part of a prompt.

Network, endpoints and callers are simulated; the decisions under test are given as a
factory of objects with the methods of `PromptParts`.
"""

import heapq
import itertools
import random
from collections import defaultdict
from typing import NamedTuple

from sequoiaglade_decisions.gateway import LASTING_SECONDS, PromptParts, Quarantine

SERVICE = "s"
ATTEMPTS_MAX = 3
CONNECTIONS_MAX = 4
CULPRIT_SECONDS = (0.05, 0.11)
FIRST_EVENT_SECONDS = (0.1, 0.4)
STREAM_SECONDS = (1.0, 2.0)
DOWN_SECONDS = (2.0, 5.0)
EVENT_SECONDS = 0.05
CALL_SECONDS = (0.002, 0.02)
SMALL_ROUND_SECONDS, SMALL_FANOUT = 0.2, 4
LARGE_ROUND_SECONDS, LARGE_FANOUT = 1.0, 2
LARGE_FLEET_NODES = 14
RELAY_MAX_AGE_SECONDS = 1.0
LIVE_SECONDS, LARGE_LIVE_SECONDS = 1.5, 6.0
# The rules' bounds, in seconds after the fifth crash.
KNOWN_SECONDS = 3.0
CALM_SECONDS = 6.0


class WholeRequests:
    """Today's `Quarantine`, which blames whole requests, as decisions under test."""

    def __init__(self):
        self._quarantine = Quarantine()

    def note_crash(self, service, parts, request, endpoint_key, now, has_begun=False):
        """Count a crash of a request without an event."""
        if has_begun:
            return
        self._quarantine.note_crash(request, endpoint_key, now, is_local=True)

    def note_answer(self, service, parts, now, is_complete=True):
        """Ignore an answer."""

    def find_refusal(
        self, service, parts, now, may_try=False, has_begun=False, request=None
    ):
        """Return whether the request is quarantined."""
        return not has_begun and self._quarantine.is_quarantined(request, now) or None

    def find_suspicion(self, service, parts, now, has_begun=False):
        """Suspect nothing."""

    def crashes(self, now, is_relaying=False):
        """Return the crashes to gossip."""
        return self._quarantine.crashes(now)

    def sound_parts(self, now):
        """Return nothing."""
        return []

    def merge(self, crashes, sound_parts, now):
        """Add a peer's crashes."""
        for fingerprint, key, age, has_begun in crashes:
            self._quarantine.note_crash(fingerprint, key, now - age, has_begun)


class Parts(PromptParts):
    """`PromptParts` as decisions under test."""

    def find_refusal(
        self, service, parts, now, may_try=False, has_begun=False, request=None
    ):
        """Return the `Blame` for which a request is refused, or None."""
        return super().find_refusal(service, parts, now, may_try, has_begun)


class Request:
    """A caller's request and its attempts."""

    def __init__(self, fingerprint, parts, culprit, events_max=0, events_before=0):
        self.fingerprint = fingerprint
        self.parts = parts
        self.culprit = culprit
        # A culprit crashes its endpoint after up to this number of events.
        self.events_max = events_max
        # ... or after exactly this number of them, if it isn't 0.
        self.events_before = events_before
        self.runs = 0
        self.has_event = False
        self.excluded = set()


class Endpoint:
    """An endpoint and the attempts that run there."""

    def __init__(self, endpoint_id):
        self.endpoint_id = endpoint_id
        self.born = 0
        self.is_up = True
        self.cuts_from = self.cuts_until = 0.0
        self.running = {}


class Node:
    """A node: its decisions and the newest states of its peers."""

    def __init__(self, node_id, decisions):
        self.node_id = node_id
        self.decisions = decisions
        self.state_by_id = {}
        self.sequence = 0
        self.is_live = True


class State(NamedTuple):
    """A node's state as gossiped."""

    node_id: int
    sequence: int
    crashes: list
    sound_parts: list


class Outcome(NamedTuple):
    """When a request came, whether it began and whether it was refused for its part."""

    at: float
    parts: tuple
    culprit: str | None
    is_begun: bool
    is_refused: bool


class Simulation:
    """The fleet; callers' load is added by the scenario, then `run` plays it."""

    def __init__(self, seed, node_count, endpoint_count, decisions=Parts):
        self.random = random.Random(seed)
        self.now = 0.0
        self.nodes = [Node(n, decisions()) for n in range(node_count)]
        self.endpoints = [Endpoint(f"e{n}") for n in range(endpoint_count)]
        self.is_large = node_count >= LARGE_FLEET_NODES
        self.outcomes = []
        self.sent_at = defaultdict(list)
        self.crashed_at = defaultdict(list)
        self.separated = frozenset()
        self.stream_seconds = STREAM_SECONDS
        self._decisions = decisions
        self._events = []
        self._order = itertools.count()
        for node in self.nodes:
            self.after(self.random.random(), self._gossip, node)

    def after(self, seconds, call, *arguments):
        """Schedule a call."""
        entry = (self.now + seconds, next(self._order), call, arguments)
        heapq.heappush(self._events, entry)

    def run(self, until):
        """Play all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self.now = until

    def load(self, rate, seconds, make_request, start=0.0):
        """Add requests at random times and nodes, at a mean rate a second."""
        at = start
        while (at := at + self.random.expovariate(rate)) < start + seconds:
            node = self.random.choice(self.nodes)
            self.after(at - self.now, self._arrive, node, make_request())

    def crash(self, endpoint, culprit=None):
        """Crash an endpoint, which is back some seconds later."""
        if not endpoint.is_up:
            return
        endpoint.is_up = False
        key = f"{endpoint.endpoint_id}/{endpoint.born}"
        self.crashed_at[culprit].append(self.now)
        running, endpoint.running = endpoint.running, {}
        self.after(self.random.uniform(*DOWN_SECONDS), self._start, endpoint)
        for request, node in running.values():
            delay = self.random.uniform(0.0, 0.01)
            self.after(delay, self._break, request, node, endpoint, key)

    def _start(self, endpoint):
        endpoint.is_up = True
        endpoint.born = self.now

    def restart(self, node):
        """Replace a node by one that knows nothing."""
        node.decisions = self._decisions()
        node.state_by_id = {}
        node.is_live = True

    def separate(self, nodes):
        """Let these nodes reach each other, and no others."""
        self.separated = nodes

    def _arrive(self, node, request):
        if not node.is_live:
            node = self.random.choice([node for node in self.nodes if node.is_live])
        self._send(node, request, self.now)

    def _send(self, node, request, arrived_at):
        refusal = node.decisions.find_refusal(
            SERVICE,
            request.parts,
            self.now,
            may_try=self._is_lowest(node) and not request.runs,
            has_begun=request.has_event,
            request=request.fingerprint,
        )
        if refusal:
            if not request.has_event:
                self._end(request, arrived_at, is_refused=True)
            return
        endpoint = self._connect(request)
        if endpoint is None:
            self._end(request, arrived_at)
            return
        request.runs += 1
        attempt = object()
        endpoint.running[attempt] = (request, node)
        request.arrived_at = arrived_at
        count = request.events_max and self.random.randint(0, request.events_max)
        if request.culprit:
            self.sent_at[request.culprit].append(self.now)
        if endpoint.cuts_from <= self.now < endpoint.cuts_until:
            delay = self.random.uniform(*CULPRIT_SECONDS)
            self.after(delay, self._cut, endpoint, attempt, request, node)
        elif request.culprit and not count and not request.events_before:
            delay = self.random.uniform(*CULPRIT_SECONDS)
            self.after(delay, self._crash_by, endpoint, attempt, request)
        else:
            if count:
                delay = FIRST_EVENT_SECONDS[1] + count * EVENT_SECONDS
                self.after(delay, self._crash_by, endpoint, attempt, request)
            delay = self.random.uniform(*FIRST_EVENT_SECONDS)
            self.after(delay, self._begin, endpoint, attempt, request, node)

    def _connect(self, request):
        for _ in range(CONNECTIONS_MAX):
            allowed = [
                e for e in self.endpoints if e.endpoint_id not in request.excluded
            ]
            if not allowed:
                return None
            endpoint = self.random.choice(allowed)
            if endpoint.is_up:
                return endpoint
            request.excluded.add(endpoint.endpoint_id)
        return None

    def _cut(self, endpoint, attempt, request, node):
        """Close the connection of an attempt at an endpoint that stays up."""
        if endpoint.running.pop(attempt, None):
            key = f"{endpoint.endpoint_id}/{endpoint.born}"
            self._break(request, node, endpoint, key)

    def _crash_by(self, endpoint, attempt, request):
        if attempt in endpoint.running:
            self.crash(endpoint, request.culprit)

    def _begin(self, endpoint, attempt, request, node):
        if attempt not in endpoint.running:
            return
        node.decisions.note_answer(SERVICE, request.parts, self.now, is_complete=False)
        if not request.has_event:
            request.has_event = True
            self._end(request, request.arrived_at, is_begun=True)
        if request.events_before:
            delay = (request.events_before - 0.5) * EVENT_SECONDS
            self.after(delay, self._crash_by, endpoint, attempt, request)
            return
        delay = self.random.uniform(*self.stream_seconds)
        if delay > LASTING_SECONDS:
            last = (endpoint, attempt, request, node)
            self.after(LASTING_SECONDS, self._last, *last)
        self.after(delay, self._complete, endpoint, attempt, request, node)

    def _last(self, endpoint, attempt, request, node):
        if attempt in endpoint.running:
            node.decisions.note_answer(SERVICE, request.parts, self.now)

    def _complete(self, endpoint, attempt, request, node):
        if endpoint.running.pop(attempt, None):
            node.decisions.note_answer(SERVICE, request.parts, self.now)

    def _is_lowest(self, node):
        """Return whether a node knows of no live one with a lower id."""
        since = self.now - (LARGE_LIVE_SECONDS if self.is_large else LIVE_SECONDS)
        known = [n for n, (_, at) in node.state_by_id.items() if at >= since]
        return node.node_id <= min(known, default=node.node_id)

    def _break(self, request, node, endpoint, key):
        request.excluded.add(endpoint.endpoint_id)
        decisions = node.decisions
        row = (SERVICE, request.parts, request.fingerprint, key, self.now)
        decisions.note_crash(*row, has_begun=request.has_event)
        suspicion = decisions.find_suspicion(
            SERVICE, request.parts, self.now, has_begun=request.has_event
        )
        if not suspicion and request.runs < ATTEMPTS_MAX:
            self._send(node, request, request.arrived_at)
        elif not request.has_event:
            self._end(request, request.arrived_at)

    def _end(self, request, at, is_begun=False, is_refused=False):
        outcome = Outcome(at, request.parts, request.culprit, is_begun, is_refused)
        self.outcomes.append(outcome)

    def _gossip(self, node):
        if not node.is_live:
            self.after(SMALL_ROUND_SECONDS, self._gossip, node)
            return
        seconds = LARGE_ROUND_SECONDS if self.is_large else SMALL_ROUND_SECONDS
        self.after(seconds * self.random.uniform(0.8, 1.2), self._gossip, node)
        fanout = LARGE_FANOUT if self.is_large else SMALL_FANOUT
        peers = [p for p in self.nodes if p is not node and self._reaches(node, p)]
        digest = self._digest(node, relays=self.is_large)
        for peer in self.random.sample(peers, min(fanout, len(peers))):
            self._call(node, peer, digest, relays=self.is_large)

    def _reaches(self, node, peer):
        is_apart = (node in self.separated) != (peer in self.separated)
        return peer.is_live and not is_apart

    def _call(self, node, peer, digest, relays):
        def answer():
            self._receive(peer, digest)
            reply = self._digest(peer, relays)
            self.after(self.random.uniform(*CALL_SECONDS), self._receive, node, reply)

        self.after(self.random.uniform(*CALL_SECONDS), answer)

    def _digest(self, node, relays):
        node.sequence += 1
        decisions = node.decisions
        own = State(
            node.node_id,
            node.sequence,
            decisions.crashes(self.now, self._is_lowest(node)),
            decisions.sound_parts(self.now),
        )
        if not relays:
            return [own]
        since = self.now - RELAY_MAX_AGE_SECONDS
        return [own, *(s for s, at in node.state_by_id.values() if at >= since)]

    def _receive(self, node, digest):
        for state in digest:
            known = node.state_by_id.get(state.node_id)
            if state.node_id == node.node_id:
                continue
            if known is not None and known[0].sequence >= state.sequence:
                continue
            node.state_by_id[state.node_id] = (state, self.now)
            node.decisions.merge(state.crashes, state.sound_parts, self.now)

    def reference_at(self, culprit):
        """Return the time of the fifth crash by a culprit, or of its last one."""
        return self.crashed_at[culprit][:5][-1]

    def late_count(self, culprit):
        """Return how many requests with a culprit were sent after it must be known."""
        return len(self.late_times(culprit))

    def late_times(self, culprit):
        """Return when these requests were sent."""
        since = self.reference_at(culprit) + KNOWN_SECONDS
        return [at for at in self.sent_at[culprit] if at > since]

    def begun_share(self, since, until, is_of_group):
        """Return the share of a group's sound requests that began, and their count."""
        group = [
            outcome.is_begun
            for outcome in self.outcomes
            if since <= outcome.at < until
            and outcome.culprit is None
            and is_of_group(outcome.parts)
        ]
        return (sum(group) / len(group) if group else 1.0), len(group)

    def refused_share(self, since, until):
        """Return the share of sound requests that were refused for a part."""
        group = [
            outcome.is_refused
            for outcome in self.outcomes
            if since <= outcome.at < until and outcome.culprit is None
        ]
        return sum(group) / len(group) if group else 0.0
