"""Endpoints, queues and load estimates of one model or service."""

import math
from functools import partial

from .queues import FairQueue
from .ring import HashRing
from .tickets import Priority

RING_CANDIDATES = 2
SAMPLED_CANDIDATES = 8
REPORT_AGE_SECONDS = 4.0  # assumed age of the figures from peers and endpoints
YIELD_REQUEST_INTERVAL_SECONDS = 0.1
YIELD_REPLY_TIMEOUT_SECONDS = 0.05
OTHER_DOMAIN_COST = 0.1  # added to the load of endpoints in other failure domains
HEADROOM_MAX_SHARE = 0.25
YIELD_DURATION_SECONDS = 0.05
ARRIVAL_WINDOW_SECONDS = 1.0
SERVICE_SMOOTHING = 0.1
SERVICE_MINIMUM_SAMPLES = 5
# Trial batch of other nodes is held back for this long after paying batch last waited.
# Gossip takes up to two rounds each way: with less than a few times that, trial items
# would fill the slots in each short gap between paying ones.
PAYING_BATCH_PRIORITY_SECONDS = 6.0


class TargetPool:
    """The endpoints that serve one target and the tickets that wait for it.

    `available` lists the endpoints that may take a ticket. It is updated as slots
    change, so that a choice examines a few of them, however many there are.
    """

    def __init__(self, target, domain, random):
        self.target = target
        self.queues = [FairQueue() for _ in Priority]
        self.state_by_id = {}
        self.available = []
        self.free_total = 0
        self.own_free_total = 0
        self.others_total = 0
        self.slot_total = 0
        self.batch_grants = {}
        self.preempted = set()
        self.suspect_tickets = {}
        self.online_in_flight = 0
        self.has_paying_batch_at_peers = False
        self._paying_waited_at = -math.inf
        self._peer_batch = 0
        self._yield_requested_at = float("-inf")
        self._yield_requested_count = 0
        self._domain = domain
        self._random = random
        self._ring = HashRing(())
        self._recovering = {}
        self._mean_others = 0.0
        self._report_weight = 1.0
        self._service_seconds = {False: 0.0, True: 0.0}
        self._service_samples = {False: 0, True: 0}
        self._arrival_rate = 0.0
        self._arrived_at = 0.0

    def clear_available(self):
        """Remove all endpoints from the list of available ones."""
        for state in list(self.available):
            self._remove_available(state)

    def set_endpoints(self, states, now):
        """Set the endpoints that serve the target, after `clear_available`."""
        ids_changed = {s.endpoint_id for s in states} != set(self.state_by_id)
        self.state_by_id = {state.endpoint_id: state for state in states}
        self.free_total = self.slot_total = 0
        self.own_free_total = 0
        for state in states:
            state.counted_free = 0
            state.counted_own_free = 0
            self.slot_total += state.slots
            self.refresh(state, now)
        if ids_changed:
            self._ring = HashRing(self.state_by_id)

    def refresh(self, state, now):
        """Update the counts and lists after a change of an endpoint's free slots."""
        free = state.free_slots(now)
        self.free_total += free - state.counted_free
        state.counted_free = free
        own_free = state.own_free_slots(now)
        self.own_free_total += own_free - state.counted_own_free
        state.counted_own_free = own_free
        is_available = free > 0 or state.may_overcommit(now)
        if is_available and not state.is_available:
            state.available_index = len(self.available)
            state.is_available = True
            self.available.append(state)
        elif not is_available and state.is_available:
            self._remove_available(state)
        if state.is_available and state.health.cap is not None:
            self._recovering[state.endpoint_id] = state
        else:
            self._recovering.pop(state.endpoint_id, None)

    def estimate_others(self, now):
        """Estimate what other nodes have in flight, after new counts of any endpoint.

        Of the requests last reported only the long ones still run; the others have
        been replaced by requests at unknown endpoints. So an endpoint's own figure is
        weighted by the share that still runs, and the mean over all endpoints by the
        rest. Outdated figures alone would send all nodes to the same endpoints.
        """
        usable = [s for s in self.state_by_id.values() if s.is_usable]
        self._peer_batch = sum(state.peer_batch for state in usable)
        self.others_total = max(
            sum(state.peer_count for state in usable),
            sum(state.reported_others for state in usable),
        )
        slots = sum(state.slots for state in usable)
        known = sum(state.last_known_others for state in usable)
        self._mean_others = known / max(1, slots)
        service = self._service_seconds[False]
        self._report_weight = (
            math.exp(-REPORT_AGE_SECONDS / service) if service else 1.0
        )
        for state in self.state_by_id.values():
            self.estimate_others_of(state, now)

    def estimate_others_of(self, state, now):
        """Update one endpoint's estimate with the mean of the last full estimate."""
        mean = self._mean_others * state.slots
        weight = self._report_weight
        state.estimated_others = (
            weight * state.last_known_others + (1.0 - weight) * mean
        )
        self.refresh(state, now)

    def is_served(self, excluded=frozenset()):
        """Return whether an endpoint outside `excluded` is not leaving."""
        return any(
            not state.leaving_sources and endpoint_id not in excluded
            for endpoint_id, state in self.state_by_id.items()
        )

    def choose(self, ticket, allowed=None, may_queue=True):
        """Return an available endpoint for the ticket, or None.

        Without `may_queue` the endpoint has a free slot.

        A ticket with a digest goes to the less loaded of its first two endpoints on the
        hash ring. Requests with the same prefix thus find a warm prefix cache, and
        copies of one request go to at most two endpoints while these have slots,
        whichever nodes received them and whatever load these assume. Otherwise the
        least loaded of a few random endpoints is taken. An endpoint that recovers from
        an ejection has precedence for the few requests that its cap allows, since only
        requests can show that it is healthy.
        """
        is_eligible = partial(
            _is_eligible, ticket=ticket, allowed=allowed, may_queue=may_queue
        )
        state = next(filter(is_eligible, self._recovering.values()), None)
        if state is None:
            state = self._by_digest(ticket, is_eligible)
        if state is None:
            state = self._least_loaded(is_eligible)
        is_bound = ticket.excluded or allowed is not None or not may_queue
        if state is None and is_bound:
            state = next(filter(is_eligible, self.available), None)
        return state

    def waiting_online(self):
        """Return the number of waiting online tickets."""
        return sum(len(self.queues[p]) for p in Priority if not p.is_batch)

    def waiting(self):
        """Return the number of tickets in the queues."""
        return sum(len(queue) for queue in self.queues)

    def has_waiting_paying_batch(self, now):
        """Return whether paying batch waits or has waited recently.

        Recently means within `PAYING_BATCH_PRIORITY_SECONDS`.
        """
        if len(self.queues[Priority.PAYING_BATCH]):
            self._paying_waited_at = now
        return now - self._paying_waited_at < PAYING_BATCH_PRIORITY_SECONDS

    def holds_back(self, priority):
        """Return whether tickets of a priority wait for paying ones of other nodes."""
        return priority is Priority.TRIAL_BATCH and self.has_paying_batch_at_peers

    def may_grant_batch(self, now):
        """Return whether batch leaves enough free slots for online tickets."""
        if self.waiting_online():
            return False
        return self.estimated_free_slots() - 1 >= self.headroom(now)

    def estimated_free_slots(self):
        """Return the estimated free slots of all endpoints.

        Other nodes' requests are counted over all endpoints together: a sum of the
        larger figure per endpoint, or of rounded figures, would be off by many slots.
        """
        return self.own_free_total - self.others_total

    def headroom(self, now):
        """Return the number of slots to keep free for online tickets.

        It is the number that arrive at the recent rate in the time in which batch
        yields a slot, at most `HEADROOM_MAX_SHARE` of all slots.
        """
        wanted = int(self._recent_rate(now) * YIELD_DURATION_SECONDS)
        return min(wanted, int(self.slot_total * HEADROOM_MAX_SHARE))

    def note_online(self, now):
        """Record the arrival of an online ticket, for the headroom."""
        rate = self._recent_rate(now)
        self._arrival_rate = rate + 1.0 / ARRIVAL_WINDOW_SECONDS
        self._arrived_at = now

    def _recent_rate(self, now):
        age = max(0.0, now - self._arrived_at)
        return self._arrival_rate * math.exp(-age / ARRIVAL_WINDOW_SECONDS)

    def note_grant(self, ticket, state):
        """Record that a ticket holds a slot of an endpoint."""
        if not ticket.priority.is_batch:
            self.online_in_flight += 1
        elif ticket.preemptible:
            self.batch_grants[ticket.ticket_id] = state

    def forget_grant(self, ticket):
        """Record that a ticket no longer holds its slot."""
        if not ticket.priority.is_batch:
            self.online_in_flight -= 1
        elif ticket.preemptible:
            del self.batch_grants[ticket.ticket_id]
            self.preempted.discard(ticket.ticket_id)

    def may_ask_peers(self, now):
        """Return whether the interval between yield requests to peers has passed."""
        return now - self._yield_requested_at >= YIELD_REQUEST_INTERVAL_SECONDS

    def note_yield_request(self, count, now):
        """Record that peers are asked to yield `count` slots."""
        self._yield_requested_at = now
        self._yield_requested_count = count

    def note_yielded(self, count):
        """Record how many slots peers have yielded.

        Fewer than requested means that the peers have no more batch to preempt.
        """
        is_all = count < self._yield_requested_count
        self._peer_batch = 0 if is_all else max(0, self._peer_batch - count)
        self._yield_requested_count = 0

    def has_batch(self):
        """Return whether preemptible batch runs here or, by gossip, at peers."""
        return bool(self.batch_grants) or self._peer_batch > 0

    def awaits_yield(self, now):
        """Return whether a yield request to peers is still unanswered."""
        is_asked = self._yield_requested_count > 0 and self._peer_batch > 0
        return is_asked and now - self._yield_requested_at < YIELD_REPLY_TIMEOUT_SECONDS

    def missing_slots(self):
        """Return how many online tickets wait beyond the slots being preempted."""
        return max(0, self.waiting_online() - len(self.preempted))

    def note_service(self, is_batch, seconds):
        """Record how long a ticket held its slot."""
        self._service_samples[is_batch] += 1
        if self._service_samples[is_batch] == 1:
            self._service_seconds[is_batch] = seconds
            return
        old = self._service_seconds[is_batch]
        self._service_seconds[is_batch] = old + SERVICE_SMOOTHING * (seconds - old)

    def expected_wait(self, ticket):
        """Return the expected seconds until a new ticket gets a slot.

        Ahead of it are the more urgent priorities and, within its own, the waiting
        tickets of its workspace divided by the workspace's share. The result is 0 until
        `SERVICE_MINIMUM_SAMPLES` runs have been timed.
        """
        if self._service_samples[False] < SERVICE_MINIMUM_SAMPLES:
            return 0.0
        urgent = sum(len(self.queues[p]) for p in Priority if p < ticket.priority)
        queue = self.queues[ticket.priority]
        own = queue.waiting_of(ticket.workspace)
        share = queue.share_of(ticket.workspace, ticket.weight)
        ahead = urgent + min(len(queue), own / share)
        return ahead * self._service_seconds[False] / max(1, self.online_in_flight)

    def _by_digest(self, ticket, is_eligible):
        digest = ticket.affinity or ticket.fingerprint
        if digest is None:
            return None
        ids = self._ring.successors(digest, RING_CANDIDATES)
        usable = filter(is_eligible, map(self.state_by_id.get, ids))
        return min(usable, key=lambda state: state.load(), default=None)

    def _least_loaded(self, is_eligible):
        best = None
        best_cost = math.inf
        for _ in range(min(SAMPLED_CANDIDATES, len(self.available))):
            state = self.available[int(self._random.random() * len(self.available))]
            if not is_eligible(state):
                continue
            cost = state.load()
            if state.domain != self._domain:
                cost += OTHER_DOMAIN_COST
            if cost < best_cost:
                best, best_cost = state, cost
        return best

    def _remove_available(self, state):
        if not state.is_available:
            return
        last = self.available.pop()
        if last is not state:
            self.available[state.available_index] = last
            last.available_index = state.available_index
        state.is_available = False
        state.available_index = -1
        self._recovering.pop(state.endpoint_id, None)


def _is_eligible(state, ticket, allowed, may_queue):
    if not state.is_available or state.endpoint_id in ticket.excluded:
        return False
    if not may_queue and not state.counted_free:
        return False
    return allowed is None or state.endpoint_id in allowed
