"""Assigns endpoint slots to tickets by priority, fair share and endpoint load."""

from random import Random

from ..outcomes import check_invariant
from ..poison import CrashTracker, Verdict
from . import refusals
from .effects import (
    Granted,
    LeavingSeen,
    PayingBatchWaits,
    Preempted,
    Quarantined,
    Rejected,
    YieldWanted,
)
from .endpoint_table import EndpointTable
from .held import HeldTicket, HeldTicketIndex
from .probes import ProbeScheduler
from .tickets import Priority, RunOutcome
from .waiting import WaitingTickets

MAX_SKIPPED_TICKETS = 16
_ONLINE = tuple(p for p in Priority if not p.is_batch)
_BATCH = tuple(p for p in Priority if p.is_batch)


class Dispatcher:
    """Queues tickets per target and grants them slots of its endpoints.

    `domain` is the failure domain of the node, `random` a `random.Random`. Every event
    method returns its effects in order; the owner carries them out.
    """

    def __init__(self, domain="", random=None, crash_tracker=None):
        self.endpoints = EndpointTable(domain, random or Random(0))
        self.crash_tracker = crash_tracker or CrashTracker()
        self._held = HeldTicketIndex()
        self._probes = ProbeScheduler(self.endpoints, self._held, self.crash_tracker)
        self._waiting = WaitingTickets()
        self._paying_targets = set()

    # Events of configuration and load

    def configure(self, snapshot, now):
        """Apply the endpoints of a configuration snapshot."""
        return self._reevaluate(self.endpoints.configure(snapshot, now), now)

    def observe_peers(self, counts_by_endpoint, now):
        """Apply the (online, batch) counts that peers have in flight, by endpoint."""
        return self._dispatch_all(
            self.endpoints.observe_peers(counts_by_endpoint, now), now
        )

    def observe_paying_batch(self, targets, now):
        """Apply the targets for which paying batch tickets wait at peers.

        Trial batch tickets of these targets wait here while paying ones find no slot
        there: otherwise a trial job at one node would run ahead of a paying job at
        another.
        """
        return self._dispatch_all(self.endpoints.observe_paying_batch(targets), now)

    def observe_report(self, endpoint_id, total, leaving, now):
        """Apply an endpoint's lagged report of how many requests it has in flight."""
        targets = self.endpoints.observe_report(endpoint_id, total, now)
        if not leaving:
            return self._dispatch_all(targets, now)
        effects = self._note_leaving(endpoint_id, now)
        return effects + self._reevaluate(targets, now)

    def set_leaving(self, endpoint_ids, source, now):
        """Set the endpoints that a source, such as ``LISTED``, marks as leaving."""
        return self._reevaluate(
            self.endpoints.set_leaving(endpoint_ids, source, now), now
        )

    def learn_leaving(self, endpoint_ids, now):
        """Mark endpoints as leaving that refused a peer's request for this reason."""
        return self._reevaluate(self.endpoints.mark_refused(endpoint_ids, now), now)

    # Events of tickets

    def submit(self, ticket, now):
        """Queue a ticket and return the effects."""
        is_new = ticket.ticket_id not in self._waiting
        is_new = is_new and ticket.ticket_id not in self._held
        check_invariant(is_new, f"ticket {ticket.ticket_id} is submitted once")
        pool = self.endpoints.pool(ticket.target)
        refusal = self._early_refusal(ticket, pool, now)
        if refusal is not None:
            return [Rejected(ticket.ticket_id, refusal)]
        self._waiting.add(ticket)
        if not ticket.priority.is_batch:
            pool.note_online(now)
        self._enqueue(pool, ticket)
        return self._dispatch(pool, now)

    def release(self, ticket_id, outcome, now):
        """Free the slot of a ticket, or withdraw it from its queue."""
        held = self._held.pop(ticket_id)
        if held is None:
            ticket = self._withdraw(ticket_id, now)
            return [] if ticket is None else self._dispatch_all([ticket.target], now)
        state = held.state
        pool = self.endpoints.pool(held.ticket.target)
        is_batch = held.ticket.priority.is_batch
        state.add_in_flight(is_batch, -1, now)
        pool.forget_grant(held.ticket)
        if outcome is RunOutcome.DONE:
            pool.note_service(is_batch, now - held.granted_at)
        effects, must_reevaluate = self._probes.record_run(held, outcome, now)
        self.endpoints.note_outcome(state, outcome, now)
        if outcome is RunOutcome.LEAVING:
            effects += self._note_leaving(state.endpoint_id, now)
            must_reevaluate = True
        if must_reevaluate:
            return effects + self._reevaluate(self.endpoints.pool_by_target, now)
        return effects + self._dispatch_all({pool.target, state.target}, now)

    def tick(self, now):
        """Reject expired tickets, end elapsed ejections and holds, and dispatch."""
        effects = self._reject_expired(now)
        targets = self.endpoints.expire(now)
        pools = self.endpoints.pool_by_target.items()
        targets.update(
            name
            for name, pool in pools
            if pool.suspect_tickets or pool.waiting_online()
        )
        effects += self._note_paying_batch(now)
        if self.crash_tracker.drop_expired(now):
            effects += self._reevaluate(self.endpoints.pool_by_target, now)
        effects += self._dispatch_all(targets, now)
        return effects + self._probes.due_requests(now)

    # Events of yielding

    def yield_batch(self, target, count, now):
        """Preempt up to `count` batch tickets for a peer's online tickets.

        Return the effects and the number of yielded slots by endpoint id.
        """
        pool = self.endpoints.pool(target)
        effects = self._preempt(pool, count)
        counts = {}
        for effect in effects:
            endpoint_id = pool.batch_grants[effect.ticket_id].endpoint_id
            counts[endpoint_id] = counts.get(endpoint_id, 0) + 1
        self.endpoints.add_yielded_to_peer(counts, now)
        return effects, counts

    def peers_yielded(self, target, counts_by_endpoint, now):
        """Apply the numbers of slots that peers have yielded, by endpoint id."""
        self.endpoints.subtract_yielded_by_peers(counts_by_endpoint, now)
        pool = self.endpoints.pool(target)
        pool.note_yielded(sum(counts_by_endpoint.values()))
        return self._dispatch(pool, now)

    # Events of suspect requests

    def answer_probe(self, wanted, now, is_senior):
        """Answer a peer's `ProbeWanted`; return (allowed, quarantined, effects).

        If both nodes want to probe the same fingerprint or endpoint, a senior peer has
        precedence.
        """
        fingerprint = wanted.fingerprint
        effects = []
        for crash in wanted.crashes:
            effects += self.learn_crash(crash, (fingerprint,), now)
        if self.crash_tracker.verdict(fingerprint) is Verdict.QUARANTINED:
            return False, True, effects
        endpoint_id = wanted.endpoint_id
        allowed = self._probes.answer_peer(fingerprint, endpoint_id, now, is_senior)
        return allowed, False, effects

    def probe_answered(self, wanted, is_allowed, now):
        """Grant the ticket of a `ProbeWanted` that every reachable peer has allowed.

        The caller checks just before that the endpoint answers, so that a broken run
        means a crash and not an endpoint that was down already.
        """
        ticket_id = wanted.ticket_id
        probe = self._probes.probe(ticket_id)
        if probe is None or probe.is_granted:
            return []
        if probe.state.endpoint_id != wanted.endpoint_id:
            return []
        if not is_allowed or not self._probes.is_ready(probe):
            return self._dispatch(self.endpoints.pool(probe.ticket.target), now)
        probe.is_granted = True
        pool = self.endpoints.pool(probe.ticket.target)
        pool.suspect_tickets.pop(ticket_id, None)
        grant = self._grant(probe.ticket, probe.state, now, is_alone=True)
        return [grant, *self._dispatch(pool, now)]

    def confirm_crash(self, suspected, is_crash, now):
        """Apply whether the endpoint of a `CrashSuspected` has really crashed."""
        effects = self._probes.settle_crash(suspected, is_crash, now)
        state = self.endpoints.state_by_id.get(suspected.crash.endpoint_id)
        if state is not None and not is_crash:
            self.endpoints.readmit(state, now)
        return effects + self._reevaluate(self.endpoints.pool_by_target, now)

    def learn_crash(self, crash, fingerprints, now):
        """Record a crash that a peer observed with these fingerprints in flight."""
        effects = []
        for fingerprint in fingerprints:
            if not self.crash_tracker.record_crash(fingerprint, crash):
                continue
            verdict = self.crash_tracker.quarantine_if_proven(
                fingerprint, now, is_alone=False
            )
            if verdict is Verdict.QUARANTINED:
                effects.append(Quarantined(fingerprint))
        effects += self._probes.recall(fingerprints, crash.endpoint_id)
        state = self.endpoints.state_by_id.get(crash.endpoint_id)
        if state is not None and state.health.cap is None:
            self.endpoints.note_outcome(state, RunOutcome.CRASHED, now)
        return effects + self._reevaluate(self.endpoints.pool_by_target, now)

    def learn_quarantine(self, fingerprints, now):
        """Apply quarantined fingerprints from peers or from the platform."""
        added = [f for f in fingerprints if self.crash_tracker.quarantine(f, now)]
        if not added:
            return []
        effects = self._probes.recall(added, None)
        return effects + self._reevaluate(self.endpoints.pool_by_target, now)

    # Views

    def leaving_ids(self):
        """Return the ids of endpoints that refused requests because they leave."""
        return self.endpoints.refused_ids()

    def in_flight_by_endpoint(self):
        """Return this node's (online, batch) counts in flight by endpoint id."""
        return self._held.counts()

    def waiting_by_target(self):
        """Return the number of waiting online tickets by target."""
        pools = self.endpoints.pool_by_target.items()
        return {name: n for name, pool in pools if (n := pool.waiting_online())}

    def paying_batch_targets(self, now):
        """Return the sorted targets for which paying batch waits or recently waited."""
        pools = self.endpoints.pool_by_target.items()
        return sorted(
            name for name, pool in pools if pool.has_waiting_paying_batch(now)
        )

    @property
    def waiting_count(self):
        """The number of waiting tickets."""
        return len(self._waiting)

    def _note_paying_batch(self, now):
        targets = set(self.paying_batch_targets(now))
        begun, self._paying_targets = targets - self._paying_targets, targets
        return [PayingBatchWaits(target) for target in sorted(begun)]

    # Queueing

    def _note_leaving(self, endpoint_id, now):
        is_new = endpoint_id not in self.endpoints.refused_ids()
        self.endpoints.mark_refused((endpoint_id,), now)
        return [LeavingSeen(endpoint_id)] if is_new else []

    def _enqueue(self, pool, ticket):
        if self._verdict(ticket) is Verdict.SUSPECT:
            pool.suspect_tickets[ticket.ticket_id] = ticket
        else:
            pool.queues[ticket.priority].push(ticket)

    def _withdraw(self, ticket_id, now):
        ticket = self._waiting.pop(ticket_id)
        if ticket is None:
            return None
        pool = self.endpoints.pool(ticket.target)
        pool.suspect_tickets.pop(ticket_id, None)
        pool.queues[ticket.priority].remove(ticket_id)
        self._probes.end_probe(ticket_id, now)
        return ticket

    def _early_refusal(self, ticket, pool, now):
        refusal = self._final_refusal(ticket)
        if refusal is not None:
            return refusal
        if ticket.deadline <= now:
            return refusals.no_slot_in_time(ticket.target)
        if ticket.priority.is_batch or pool.available:
            return None
        wait = pool.expected_wait(ticket)
        if now + wait > ticket.deadline:
            return refusals.no_slot_in_time(ticket.target, wait)
        return None

    def _verdict(self, ticket):
        if ticket.fingerprint is None:
            return Verdict.UNKNOWN
        return self.crash_tracker.verdict(ticket.fingerprint)

    def _reject(self, ticket, refusal, now):
        self._withdraw(ticket.ticket_id, now)
        return Rejected(ticket.ticket_id, refusal)

    def _reject_expired(self, now):
        return [
            self._reject(ticket, refusals.no_slot_in_time(ticket.target), now)
            for ticket in self._waiting.take_expired(now)
        ]

    def _reevaluate(self, targets, now):
        """Check all waiting tickets of the targets again, then dispatch.

        This visits every waiting ticket and is meant for rare changes.
        """
        effects = []
        targets = set(targets)
        for ticket in self._waiting.tickets():
            if ticket.target not in targets:
                continue
            refusal = self._final_refusal(ticket)
            if refusal is not None:
                effects.append(self._reject(ticket, refusal, now))
            else:
                self._requeue(ticket, now)
        return effects + self._dispatch_all(targets, now)

    def _final_refusal(self, ticket):
        if self._verdict(ticket) is Verdict.QUARANTINED:
            return refusals.quarantined()
        if self.endpoints.pool(ticket.target).is_served(ticket.excluded):
            return None
        return refusals.no_endpoint(ticket.target)

    def _requeue(self, ticket, now):
        """Move a ticket to its queue or the suspect tickets, based on its verdict."""
        pool = self.endpoints.pool(ticket.target)
        is_suspect = self._verdict(ticket) is Verdict.SUSPECT
        if is_suspect == (ticket.ticket_id in pool.suspect_tickets):
            return
        pool.suspect_tickets.pop(ticket.ticket_id, None)
        pool.queues[ticket.priority].remove(ticket.ticket_id)
        self._probes.end_probe(ticket.ticket_id, now)
        self._enqueue(pool, ticket)

    # Granting

    def _dispatch_all(self, targets, now):
        effects = []
        for target in sorted(targets):
            effects += self._dispatch(self.endpoints.pool(target), now)
        return effects

    def _dispatch(self, pool, now):
        self._probes.reserve_endpoints(pool, now)
        effects = []
        if pool.has_batch():
            effects += self._grant_from(pool, _ONLINE, now)
            effects += self._free_batch_slots(pool, now)
        if not pool.awaits_yield(now):
            may_queue = pool.missing_slots()
            effects += self._grant_from(pool, _ONLINE, now, may_queue)
        effects += self._free_batch_slots(pool, now)
        return effects + self._grant_from(pool, _BATCH, now)

    def _grant_from(self, pool, priorities, now, may_queue=0):
        """Grant free slots, or let up to `may_queue` tickets queue at the endpoints."""
        effects = []
        skipped = []
        limit = may_queue or pool.free_total
        while (
            pool.available
            and len(skipped) < MAX_SKIPPED_TICKETS
            and len(effects) < limit
        ):
            ticket = self._next_ticket(pool, priorities, now)
            if ticket is None:
                break
            state = pool.choose(ticket, self._allowed_endpoints(ticket), may_queue > 0)
            if state is None:
                skipped.append(ticket)
                continue
            effects.append(self._grant(ticket, state, now))
        for ticket in reversed(skipped):
            pool.queues[ticket.priority].put_back(ticket)
        return effects

    def _next_ticket(self, pool, priorities, now):
        if priorities is _BATCH and not pool.may_grant_batch(now):
            return None
        for priority in priorities:
            if pool.holds_back(priority):
                continue
            ticket = pool.queues[priority].pop()
            if ticket is not None:
                return ticket
        return None

    def _allowed_endpoints(self, ticket):
        """Return the ids of endpoints that may run the ticket; None for all.

        Copies of a request that has never succeeded stay on one endpoint, so that a
        poison request sent many times in parallel can't crash several endpoints.
        """
        if self._verdict(ticket) is not Verdict.UNKNOWN:
            return None
        copies = self._held.copies_of(ticket.fingerprint)
        return {held.state.endpoint_id for held in copies} or None

    def _grant(self, ticket, state, now, is_alone=False):
        check_invariant(not state.leaving_sources, "no grant to a leaving endpoint")
        is_free = (
            state.own_in_flight == 0 if is_alone else state.own_in_flight < state.slots
        )
        check_invariant(is_free, "no more grants than slots")
        is_batch = ticket.priority.is_batch
        self._waiting.pop(ticket.ticket_id)
        state.add_in_flight(is_batch, 1, now)
        self._held.add(HeldTicket(ticket, state, now, is_alone))
        self.endpoints.pool(ticket.target).note_grant(ticket, state)
        self.endpoints.refresh(state, now)
        return Granted(ticket.ticket_id, state.endpoint_id)

    def _free_batch_slots(self, pool, now):
        """Preempt own batch for waiting online tickets, then ask peers for the rest."""
        effects = self._preempt(pool, pool.missing_slots())
        missing = pool.missing_slots()
        if missing and pool.may_ask_peers(now):
            pool.note_yield_request(missing, now)
            effects.append(YieldWanted(pool.target, missing))
        return effects

    def _preempt(self, pool, count):
        """Preempt up to `count` batch tickets, most recently granted first."""
        effects = []
        for ticket_id, state in reversed(pool.batch_grants.items()):
            if len(effects) >= count:
                break
            if ticket_id not in pool.preempted and state.is_usable:
                effects.append(Preempted(ticket_id))
        pool.preempted.update(effect.ticket_id for effect in effects)
        return effects
