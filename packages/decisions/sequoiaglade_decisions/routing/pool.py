"""Endpoints, queues and measures of one model or service."""

import math
from functools import partial

from .queues import FairQueue
from .ring import Ring
from .tickets import Priority

RING_CANDIDATES = 2
SAMPLED_CANDIDATES = 8
REPORT_AGE_SECONDS = 4.0
YIELD_PAUSE_SECONDS = 0.1
YIELD_ANSWER_SECONDS = 0.05
OTHER_DOMAIN_COST = 0.1
HEADROOM_MAX_SHARE = 0.25
YIELD_SECONDS = 0.05
ARRIVAL_WINDOW_SECONDS = 1.0
SERVICE_SMOOTHING = 0.1
SERVICE_MINIMUM_SAMPLES = 5
# Trial batch of other nodes is held back for this long after paying batch last waited,
# in seconds. News takes up to two rounds of gossip each way: with less than a few times
# that, trial items would fill the slots of each short gap between paying ones.
PAYING_WAIT_MEMORY_SECONDS = 6.0


class TargetPool:
    """The endpoints that serve one target and the tickets that wait for it.

    `open` lists the endpoints that may take a ticket. It is kept as slots come and go,
    so that a choice looks at a handful of them, however many there are.
    """

    def __init__(self, target, domain, random):
        self.target = target
        self.queues = [FairQueue() for _ in Priority]
        self.state_by_id = {}
        self.open = []
        self.free_total = 0
        self.own_room_total = 0
        self.others_total = 0
        self.slot_total = 0
        self.batch_grants = {}
        self.preempted = set()
        self.suspects = {}
        self.online_held = 0
        self.is_paying_awaited = False
        self._paying_waited_at = -math.inf
        self._peer_batch = 0
        self._asked_at = float("-inf")
        self._asked_count = 0
        self._domain = domain
        self._random = random
        self._ring = Ring(())
        self._returning = {}
        self._mean_others = 0.0
        self._known_weight = 1.0
        self._service_seconds = {False: 0.0, True: 0.0}
        self._service_samples = {False: 0, True: 0}
        self._arrival_rate = 0.0
        self._arrived_at = 0.0

    def close(self):
        """Take all endpoints off the list of open ones."""
        for state in list(self.open):
            self._close(state)

    def replace(self, states, now):
        """Take over the endpoints that serve the target, after `close`."""
        ids_changed = {s.endpoint_id for s in states} != set(self.state_by_id)
        self.state_by_id = {state.endpoint_id: state for state in states}
        self.free_total = self.slot_total = 0
        self.own_room_total = 0
        for state in states:
            state.counted_free = 0
            state.counted_own_room = 0
            self.slot_total += state.slots
            self.refresh(state, now)
        if ids_changed:
            self._ring = Ring(self.state_by_id)

    def refresh(self, state, now):
        """Take over a changed number of free slots of an endpoint."""
        free = state.free(now)
        self.free_total += free - state.counted_free
        state.counted_free = free
        own_room = state.own_room(now)
        self.own_room_total += own_room - state.counted_own_room
        state.counted_own_room = own_room
        is_open = free > 0 or state.may_overcommit(now)
        if is_open and not state.is_open:
            state.position = len(self.open)
            state.is_open = True
            self.open.append(state)
        elif not is_open and state.is_open:
            self._close(state)
        if state.is_open and state.health.cap is not None:
            self._returning[state.endpoint_id] = state
        else:
            self._returning.pop(state.endpoint_id, None)

    def estimate_others(self, now):
        """Estimate what other nodes have in flight, after news of any endpoint.

        Of the requests last heard of only those that take long still run; the others
        have been replaced, and where to is not known. So the figure of an endpoint
        counts by the share that still runs, and the mean of all by the rest. Taking
        the old figures as they are would send all nodes to the same endpoints at once.
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
        self._known_weight = math.exp(-REPORT_AGE_SECONDS / service) if service else 1.0
        for state in self.state_by_id.values():
            self.estimate_others_of(state, now)

    def estimate_others_of(self, state, now):
        """Estimate anew for one endpoint, with the mean of the last full estimate."""
        mean = self._mean_others * state.slots
        weight = self._known_weight
        state.others = weight * state.last_known_others + (1.0 - weight) * mean
        self.refresh(state, now)

    def is_served(self, excluded=frozenset()):
        """Return whether an endpoint outside `excluded` may get work now or later."""
        return any(
            not state.leaving_sources and endpoint_id not in excluded
            for endpoint_id, state in self.state_by_id.items()
        )

    def choose(self, ticket, allowed=None, may_queue=True):
        """Return an open endpoint for the ticket, or None.

        Without `may_queue` only an endpoint with a free slot is taken.

        A ticket with a digest goes to the less loaded of its two first endpoints on
        the ring. Requests with the same start so meet a warm prefix cache, and copies
        of one request go to two endpoints at most while these have slots, whichever
        nodes they came to and whatever those know of the load. Otherwise the least
        loaded of a few random endpoints is taken. An endpoint that returns after an
        ejection gets the few requests that its cap allows before all others, since
        nothing else would show that it is well.
        """
        fits = partial(_may_run, ticket=ticket, allowed=allowed, may_queue=may_queue)
        state = next(filter(fits, self._returning.values()), None)
        if state is None:
            state = self._by_digest(ticket, fits)
        if state is None:
            state = self._least_loaded(fits)
        is_bound = ticket.excluded or allowed is not None or not may_queue
        if state is None and is_bound:
            state = next(filter(fits, self.open), None)
        return state

    def waiting_online(self):
        """Return how many online tickets wait."""
        return sum(len(self.queues[p]) for p in Priority if not p.is_batch)

    def waiting(self):
        """Return how many tickets wait in the queues."""
        return sum(len(queue) for queue in self.queues)

    def paying_batch_waited(self, now):
        """Return whether batch tickets of paying workspaces wait, or did lately."""
        if len(self.queues[Priority.PAYING_BATCH]):
            self._paying_waited_at = now
        return now - self._paying_waited_at < PAYING_WAIT_MEMORY_SECONDS

    def holds_back(self, priority):
        """Return whether tickets of a class wait for paying ones of other nodes."""
        return priority is Priority.TRIAL_BATCH and self.is_paying_awaited

    def may_grant_batch(self, now):
        """Return whether batch leaves enough free slots for online tickets."""
        if self.waiting_online():
            return False
        return self.room() - 1 >= self.headroom(now)

    def room(self):
        """Return the free slots of all endpoints as estimated.

        What others have in flight is counted over all endpoints at once: the sum of
        the larger figure of each, or of rounded ones, would be off by many slots.
        """
        return self.own_room_total - self.others_total

    def headroom(self, now):
        """Return the slots to keep free for online tickets.

        As many come at the recent rate while batch yields a slot.
        """
        wanted = int(self._recent_rate(now) * YIELD_SECONDS)
        return min(wanted, int(self.slot_total * HEADROOM_MAX_SHARE))

    def note_online(self, now):
        """Note the arrival of an online ticket, for the headroom."""
        rate = self._recent_rate(now)
        self._arrival_rate = rate + 1.0 / ARRIVAL_WINDOW_SECONDS
        self._arrived_at = now

    def _recent_rate(self, now):
        age = max(0.0, now - self._arrived_at)
        return self._arrival_rate * math.exp(-age / ARRIVAL_WINDOW_SECONDS)

    def note_grant(self, ticket, state):
        """Note that a ticket holds a slot of an endpoint."""
        if not ticket.priority.is_batch:
            self.online_held += 1
        elif ticket.preemptible:
            self.batch_grants[ticket.ticket_id] = state

    def forget_grant(self, ticket):
        """Note that a ticket holds its slot no longer."""
        if not ticket.priority.is_batch:
            self.online_held -= 1
        elif ticket.preemptible:
            del self.batch_grants[ticket.ticket_id]
            self.preempted.discard(ticket.ticket_id)

    def may_ask_peers(self, now):
        """Return whether peers may be asked to yield, at most once in a while."""
        return now - self._asked_at >= YIELD_PAUSE_SECONDS

    def note_asked(self, count, now):
        """Note that peers are asked to yield so many slots."""
        self._asked_at = now
        self._asked_count = count

    def note_yielded(self, count):
        """Note how many slots peers have yielded; fewer than asked were all."""
        is_all = count < self._asked_count
        self._peer_batch = 0 if is_all else max(0, self._peer_batch - count)
        self._asked_count = 0

    def has_batch(self):
        """Return whether batch that could yield runs here or, as told, elsewhere."""
        return bool(self.batch_grants) or self._peer_batch > 0

    def awaits_peers(self, now):
        """Return whether batch of peers is about to make room."""
        is_asked = self._asked_count > 0 and self._peer_batch > 0
        return is_asked and now - self._asked_at < YIELD_ANSWER_SECONDS

    def short_of_slots(self):
        """Return how many online tickets wait beyond the slots that batch yields."""
        return max(0, self.waiting_online() - len(self.preempted))

    def note_service(self, is_batch, seconds):
        """Note how long a ticket held its slot."""
        self._service_samples[is_batch] += 1
        if self._service_samples[is_batch] == 1:
            self._service_seconds[is_batch] = seconds
            return
        old = self._service_seconds[is_batch]
        self._service_seconds[is_batch] = old + SERVICE_SMOOTHING * (seconds - old)

    def expected_wait(self, ticket):
        """Return the seconds after which a new ticket would get a slot.

        Ahead of it are the more urgent classes and, inside its own, what its workspace
        has waiting, stretched by the workspace's share. 0 while nothing is known.
        """
        if self._service_samples[False] < SERVICE_MINIMUM_SAMPLES:
            return 0.0
        urgent = sum(len(self.queues[p]) for p in Priority if p < ticket.priority)
        queue = self.queues[ticket.priority]
        own = queue.waiting_of(ticket.workspace)
        share = queue.share_of(ticket.workspace, ticket.weight)
        ahead = urgent + min(len(queue), own / share)
        return ahead * self._service_seconds[False] / max(1, self.online_held)

    def _by_digest(self, ticket, fits):
        digest = ticket.affinity or ticket.fingerprint
        if digest is None:
            return None
        ids = self._ring.first(digest, RING_CANDIDATES)
        usable = filter(fits, map(self.state_by_id.get, ids))
        return min(usable, key=lambda state: state.load(), default=None)

    def _least_loaded(self, fits):
        best = None
        best_cost = math.inf
        for _ in range(min(SAMPLED_CANDIDATES, len(self.open))):
            state = self.open[int(self._random.random() * len(self.open))]
            if not fits(state):
                continue
            cost = state.load()
            if state.domain != self._domain:
                cost += OTHER_DOMAIN_COST
            if cost < best_cost:
                best, best_cost = state, cost
        return best

    def _close(self, state):
        if not state.is_open:
            return
        last = self.open.pop()
        if last is not state:
            self.open[state.position] = last
            last.position = state.position
        state.is_open = False
        state.position = -1
        self._returning.pop(state.endpoint_id, None)


def _may_run(state, ticket, allowed, may_queue):
    if not state.is_open or state.endpoint_id in ticket.excluded:
        return False
    if not may_queue and not state.counted_free:
        return False
    return allowed is None or state.endpoint_id in allowed
