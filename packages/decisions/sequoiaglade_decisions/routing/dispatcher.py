"""Grants slots of endpoints to tickets: by class, fairly, and where it runs best."""

from random import Random

from ..outcomes import check_invariant
from ..poison import PoisonLedger, Verdict
from . import refusals
from .effects import (
    Granted,
    LeavingSeen,
    Preempted,
    Quarantined,
    Rejected,
    YieldWanted,
)
from .held import Held, HeldTickets
from .slots import Slots
from .suspects import Suspects
from .tickets import Priority, RunOutcome
from .waiting import WaitingTickets

MAX_SKIPPED = 16
_ONLINE = tuple(p for p in Priority if not p.is_batch)
_BATCH = tuple(p for p in Priority if p.is_batch)


class Dispatcher:
    """Queues tickets per target and grants them slots of its endpoints.

    `domain` is the failure domain of the node, `random` a `random.Random`. Every event
    returns the effects that follow from it, in order.
    """

    def __init__(self, domain="", random=None, ledger=None):
        self.endpoints = Slots(domain, random or Random(0))
        self.ledger = ledger or PoisonLedger()
        self._held = HeldTickets()
        self._suspects = Suspects(self.endpoints, self._held, self.ledger)
        self._waiting = WaitingTickets()

    # Events of configuration and load

    def configure(self, snapshot, now):
        """Take over the endpoints of a configuration snapshot."""
        return self._reconsider(self.endpoints.configure(snapshot, now), now)

    def observe_peers(self, counts_by_endpoint, now):
        """Take over the pairs of online and batch tickets that peers have in flight."""
        return self._dispatch_all(
            self.endpoints.observe_peers(counts_by_endpoint, now), now
        )

    def observe_paying_batch(self, targets, now):
        """Take over the targets for which paying batch tickets wait at peers.

        Answers the load pattern of a trial job at one node beside a paying job at
        another: trial tickets wait here while paying ones find no slot there.
        """
        return self._dispatch_all(self.endpoints.observe_paying_batch(targets), now)

    def observe_report(self, endpoint_id, total, leaving, now):
        """Take over an endpoint's lagged report of the requests that it holds."""
        targets = self.endpoints.observe_report(endpoint_id, total, now)
        if not leaving:
            return self._dispatch_all(targets, now)
        effects = self._note_leaving(endpoint_id, now)
        return effects + self._reconsider(targets, now)

    def set_leaving(self, endpoint_ids, source, now):
        """Replace the leaving marks of a source, ``LISTED`` or ``GOSSIPED``."""
        return self._reconsider(
            self.endpoints.set_leaving(endpoint_ids, source, now), now
        )

    def learn_leaving(self, endpoint_ids, now):
        """Take over that endpoints told a peer that they are leaving."""
        return self._reconsider(self.endpoints.mark_refused(endpoint_ids, now), now)

    # Events of tickets

    def submit(self, ticket, now):
        """Queue a ticket and return the effects that follow."""
        is_new = ticket.ticket_id not in self._waiting
        is_new = is_new and ticket.ticket_id not in self._held
        check_invariant(is_new, f"ticket {ticket.ticket_id} is submitted once")
        pool = self.endpoints.pool(ticket.target)
        refusal = self._refuse_early(ticket, pool, now)
        if refusal is not None:
            return [Rejected(ticket.ticket_id, refusal)]
        self._waiting.add(ticket)
        if not ticket.priority.is_batch:
            pool.note_online(now)
        self._enqueue(pool, ticket)
        return self._dispatch(pool, now)

    def release(self, ticket_id, outcome, now):
        """Free the slot or the place in the queue of a ticket."""
        held = self._held.pop(ticket_id)
        if held is None:
            ticket = self._withdraw(ticket_id, now)
            return [] if ticket is None else self._dispatch_all([ticket.target], now)
        state = held.state
        pool = self.endpoints.pool(held.ticket.target)
        is_batch = held.ticket.priority.is_batch
        state.count(is_batch, -1, now)
        pool.forget_grant(held.ticket)
        if outcome is RunOutcome.DONE:
            pool.note_service(is_batch, now - held.granted_at)
        effects, is_news = self._suspects.judge(held, outcome, now)
        self.endpoints.note_outcome(state, outcome, now)
        if outcome is RunOutcome.LEAVING:
            effects += self._note_leaving(state.endpoint_id, now)
            is_news = True
        if is_news:
            return effects + self._reconsider(self.endpoints.pool_by_target, now)
        return effects + self._dispatch_all({pool.target, state.target}, now)

    def tick(self, now):
        """Reject what is past its deadline; let ejections and holds run out."""
        effects = self._reject_late(now)
        targets = self.endpoints.expire(now)
        pools = self.endpoints.pool_by_target.items()
        targets.update(
            name for name, pool in pools if pool.suspects or pool.waiting_online()
        )
        for _, pool in pools:
            pool.paying_batch_waited(now)
        if self.ledger.forget_old(now):
            effects += self._reconsider(self.endpoints.pool_by_target, now)
        effects += self._dispatch_all(targets, now)
        return effects + self._suspects.ask(now)

    # Events of yielding

    def yield_batch(self, target, count, now):
        """Preempt up to `count` batch tickets for a peer's online tickets.

        Returns the effects and the yielded slots by endpoint id.
        """
        pool = self.endpoints.pool(target)
        effects = self._preempt(pool, count)
        counts = {}
        for effect in effects:
            endpoint_id = pool.batch_grants[effect.ticket_id].endpoint_id
            counts[endpoint_id] = counts.get(endpoint_id, 0) + 1
        self.endpoints.note_promised(counts, now)
        return effects, counts

    def peers_yielded(self, target, counts_by_endpoint, now):
        """Take over the slots of a target that peers have yielded, by endpoint id."""
        self.endpoints.forget_yielded(counts_by_endpoint, now)
        pool = self.endpoints.pool(target)
        pool.note_yielded(sum(counts_by_endpoint.values()))
        return self._dispatch(pool, now)

    # Events of suspects

    def answer_probe(self, wanted, now, is_senior):
        """Answer a peer's `ProbeWanted`; return (allowed, quarantined, effects).

        A senior peer goes first where both want to probe the same.
        """
        fingerprint = wanted.fingerprint
        effects = []
        for crash in wanted.crashes:
            effects += self.learn_crash(crash, (fingerprint,), now)
        if self.ledger.verdict(fingerprint) is Verdict.QUARANTINED:
            return False, True, effects
        endpoint_id = wanted.endpoint_id
        allowed = self._suspects.answer(fingerprint, endpoint_id, now, is_senior)
        return allowed, False, effects

    def probe_answered(self, wanted, is_allowed, now):
        """Grant a `ProbeWanted` that every reachable peer has allowed.

        The endpoint has to have answered right before, so that a run that breaks off
        there tells of a crash and not of an endpoint that was down already.
        """
        ticket_id = wanted.ticket_id
        probe = self._suspects.probe(ticket_id)
        if probe is None or probe.is_granted:
            return []
        if probe.state.endpoint_id != wanted.endpoint_id:
            return []
        if not is_allowed or not self._suspects.is_ready(probe):
            return self._dispatch(self.endpoints.pool(probe.ticket.target), now)
        probe.is_granted = True
        pool = self.endpoints.pool(probe.ticket.target)
        pool.suspects.pop(ticket_id, None)
        grant = self._grant(probe.ticket, probe.state, now, is_alone=True)
        return [grant, *self._dispatch(pool, now)]

    def confirm_crash(self, suspected, is_crash, now):
        """Take over whether the endpoint of a `CrashSuspected` has really crashed."""
        effects = self._suspects.confirm(suspected, is_crash, now)
        state = self.endpoints.state_by_id.get(suspected.crash.endpoint_id)
        if state is not None and not is_crash:
            self.endpoints.readmit(state, now)
        return effects + self._reconsider(self.endpoints.pool_by_target, now)

    def learn_crash(self, crash, fingerprints, now):
        """Take over a crash that a peer saw."""
        effects = []
        for fingerprint in fingerprints:
            if not self.ledger.suspect(fingerprint, crash):
                continue
            verdict = self.ledger.convict(fingerprint, now, is_alone=False)
            if verdict is Verdict.QUARANTINED:
                effects.append(Quarantined(fingerprint))
        effects += self._suspects.recall(fingerprints, crash.endpoint_id)
        state = self.endpoints.state_by_id.get(crash.endpoint_id)
        if state is not None and state.health.cap is None:
            self.endpoints.note_outcome(state, RunOutcome.CRASHED, now)
        return effects + self._reconsider(self.endpoints.pool_by_target, now)

    def learn_quarantine(self, fingerprints, now):
        """Take over quarantines from peers or from the platform."""
        news = [f for f in fingerprints if self.ledger.quarantine(f, now)]
        if not news:
            return []
        effects = self._suspects.recall(news, None)
        return effects + self._reconsider(self.endpoints.pool_by_target, now)

    # Views

    def leaving_ids(self):
        """Return the endpoints that are known to have said that they are leaving."""
        return self.endpoints.refused_ids()

    def in_flight_by_endpoint(self):
        """Return this node's tickets in flight as (online, batch) by endpoint id."""
        return self._held.counts()

    def waiting_by_target(self):
        """Return how many online tickets wait, by target."""
        pools = self.endpoints.pool_by_target.items()
        return {name: n for name, pool in pools if (n := pool.waiting_online())}

    def paying_batch_targets(self, now):
        """Return the targets for which paying batch waits or did lately, sorted."""
        pools = self.endpoints.pool_by_target.items()
        return sorted(name for name, pool in pools if pool.paying_batch_waited(now))

    @property
    def waiting_count(self):
        """How many tickets wait."""
        return len(self._waiting)

    # Queueing

    def _note_leaving(self, endpoint_id, now):
        is_new = endpoint_id not in self.endpoints.refused_ids()
        self.endpoints.mark_refused((endpoint_id,), now)
        return [LeavingSeen(endpoint_id)] if is_new else []

    def _enqueue(self, pool, ticket):
        if self._verdict(ticket) is Verdict.SUSPECT:
            pool.suspects[ticket.ticket_id] = ticket
        else:
            pool.queues[ticket.priority].push(ticket)

    def _withdraw(self, ticket_id, now):
        ticket = self._waiting.pop(ticket_id)
        if ticket is None:
            return None
        pool = self.endpoints.pool(ticket.target)
        pool.suspects.pop(ticket_id, None)
        pool.queues[ticket.priority].remove(ticket_id)
        self._suspects.end(ticket_id, now)
        return ticket

    def _refuse_early(self, ticket, pool, now):
        refusal = self._final_refusal(ticket)
        if refusal is not None:
            return refusal
        if ticket.deadline <= now:
            return refusals.late(ticket.target)
        if ticket.priority.is_batch or pool.open:
            return None
        wait = pool.expected_wait(ticket)
        if now + wait > ticket.deadline:
            return refusals.late(ticket.target, wait)
        return None

    def _verdict(self, ticket):
        if ticket.fingerprint is None:
            return Verdict.UNKNOWN
        return self.ledger.verdict(ticket.fingerprint)

    def _reject(self, ticket, refusal, now):
        self._withdraw(ticket.ticket_id, now)
        return Rejected(ticket.ticket_id, refusal)

    def _reject_late(self, now):
        return [
            self._reject(ticket, refusals.late(ticket.target), now)
            for ticket in self._waiting.take_late(now)
        ]

    def _reconsider(self, targets, now):
        """Judge all waiting tickets anew after a rare change, then dispatch."""
        effects = []
        targets = set(targets)
        for ticket in self._waiting.tickets():
            if ticket.target not in targets:
                continue
            refusal = self._final_refusal(ticket)
            if refusal is not None:
                effects.append(self._reject(ticket, refusal, now))
            else:
                self._sort_in(ticket, now)
        return effects + self._dispatch_all(targets, now)

    def _final_refusal(self, ticket):
        if self._verdict(ticket) is Verdict.QUARANTINED:
            return refusals.quarantined()
        if self.endpoints.pool(ticket.target).is_served(ticket.excluded):
            return None
        return refusals.unserved(ticket.target)

    def _sort_in(self, ticket, now):
        """Move a ticket between its queue and the suspects as its verdict says."""
        pool = self.endpoints.pool(ticket.target)
        is_suspect = self._verdict(ticket) is Verdict.SUSPECT
        if is_suspect == (ticket.ticket_id in pool.suspects):
            return
        pool.suspects.pop(ticket.ticket_id, None)
        pool.queues[ticket.priority].remove(ticket.ticket_id)
        self._suspects.end(ticket.ticket_id, now)
        self._enqueue(pool, ticket)

    # Granting

    def _dispatch_all(self, targets, now):
        effects = []
        for target in sorted(targets):
            effects += self._dispatch(self.endpoints.pool(target), now)
        return effects

    def _dispatch(self, pool, now):
        self._suspects.reserve(pool, now)
        effects = []
        if pool.has_batch():
            effects += self._grant_from(pool, _ONLINE, now)
            effects += self._make_room(pool, now)
        if not pool.awaits_peers(now):
            may_queue = pool.short_of_slots()
            effects += self._grant_from(pool, _ONLINE, now, may_queue)
        effects += self._make_room(pool, now)
        return effects + self._grant_from(pool, _BATCH, now)

    def _grant_from(self, pool, priorities, now, may_queue=0):
        """Grant free slots, or let up to `may_queue` tickets queue at the engines."""
        effects = []
        skipped = []
        limit = may_queue or pool.free_total
        while pool.open and len(skipped) < MAX_SKIPPED and len(effects) < limit:
            ticket = self._next(pool, priorities, now)
            if ticket is None:
                break
            state = pool.choose(ticket, self._allowed(ticket), may_queue > 0)
            if state is None:
                skipped.append(ticket)
                continue
            effects.append(self._grant(ticket, state, now))
        for ticket in reversed(skipped):
            pool.queues[ticket.priority].put_back(ticket)
        return effects

    def _next(self, pool, priorities, now):
        if priorities is _BATCH and not pool.may_grant_batch(now):
            return None
        for priority in priorities:
            if pool.holds_back(priority):
                continue
            ticket = pool.queues[priority].pop()
            if ticket is not None:
                return ticket
        return None

    def _allowed(self, ticket):
        """Return the endpoints that may run the ticket; None for all.

        Copies of a request that has never ended well stay on one endpoint, so that a
        poison request sent many times at once can't crash more of them.
        """
        if self._verdict(ticket) is not Verdict.UNKNOWN:
            return None
        copies = self._held.copies_of(ticket.fingerprint)
        return {held.state.endpoint_id for held in copies} or None

    def _grant(self, ticket, state, now, is_alone=False):
        check_invariant(not state.leaving_sources, "no grant to a leaving endpoint")
        is_free = state.own == 0 if is_alone else state.own < state.slots
        check_invariant(is_free, "no more grants than slots")
        is_batch = ticket.priority.is_batch
        self._waiting.pop(ticket.ticket_id)
        state.count(is_batch, 1, now)
        self._held.add(Held(ticket, state, now, is_alone))
        self.endpoints.pool(ticket.target).note_grant(ticket, state)
        self.endpoints.refresh(state, now)
        return Granted(ticket.ticket_id, state.endpoint_id)

    def _make_room(self, pool, now):
        """Preempt own batch for each online ticket that waits, then ask the peers."""
        effects = self._preempt(pool, pool.short_of_slots())
        missing = pool.short_of_slots()
        if missing and pool.may_ask_peers(now):
            pool.note_asked(missing, now)
            effects.append(YieldWanted(pool.target, missing))
        return effects

    def _preempt(self, pool, count):
        """Preempt up to `count` batch tickets, the latest granted first."""
        effects = []
        for ticket_id, state in reversed(pool.batch_grants.items()):
            if len(effects) >= count:
                break
            if ticket_id not in pool.preempted and state.is_usable:
                effects.append(Preempted(ticket_id))
        pool.preempted.update(effect.ticket_id for effect in effects)
        return effects
