"""Owns the dispatcher and passes its effects to waiting requests."""

import threading
import time

import pykka

from sequoiaglade_decisions.outcomes import check_invariant
from sequoiaglade_decisions.routing import (
    CrashSuspected,
    Granted,
    Preempted,
    Recalled,
    Rejected,
)

TICK_SECONDS = 0.1


class Grant:
    """Passes the dispatcher's decision on a ticket to the waiting request.

    `wait` returns an endpoint id or a `Refusal`. `preempted` is set when the run of a
    granted ticket has to stop now.
    """

    def __init__(self, ticket):
        self.ticket = ticket
        self.preempted = threading.Event()
        self._decided = threading.Event()
        self._outcome = None
        self._on_preempt = None

    def settle(self, outcome):
        """Set the outcome and wake the waiting request."""
        self._outcome = outcome
        self._decided.set()

    def wait(self, seconds):
        """Return the outcome, or None if it is not decided within `seconds`."""
        return self._outcome if self._decided.wait(seconds) else None

    def on_preempt(self, function):
        """Call `function` when the ticket is preempted."""
        self._on_preempt = function
        if self.preempted.is_set():
            function()

    def preempt(self):
        """Mark the ticket as preempted."""
        self.preempted.set()
        if self._on_preempt is not None:
            self._on_preempt()


class DispatchActor(pykka.ThreadingActor):
    """Serializes the events of the dispatcher.

    The attached `effect_executor` executes the effects that need the network: it is
    called with an effect such as `CrashSuspected`, `CrashConfirmed`, `ProbeWanted` or
    `Quarantined`, must not block, and responds by calling `confirm_crash` and
    `probe_answered`.
    """

    def __init__(self, journal, dispatcher):
        super().__init__()
        self._dispatcher = dispatcher
        self._grant_by_id = {}
        self._journal = journal
        self._effect_executor = None

    def attach(self, effect_executor):
        """Set the executor of effects that need the network."""
        self._effect_executor = effect_executor

    def configure(self, snapshot):
        """Apply the endpoints of a snapshot."""
        self._execute(self._dispatcher.configure(snapshot, time.monotonic()))

    def observe_peers(self, counts_by_endpoint):
        """Record the peers' (online, batch) ticket counts by endpoint id."""
        now = time.monotonic()
        self._execute(self._dispatcher.observe_peers(counts_by_endpoint, now))

    def observe_paying_batch(self, targets):
        """Record the targets for which paying batch tickets wait at peers."""
        now = time.monotonic()
        self._execute(self._dispatcher.observe_paying_batch(targets, now))

    def paying_batch_targets(self):
        """Return the targets of own paying batch tickets, waiting now or recently."""
        return self._dispatcher.paying_batch_targets(time.monotonic())

    def yield_batch(self, target, count):
        """Preempt batch for a peer's online tickets; return slots by endpoint id."""
        now = time.monotonic()
        effects, counts = self._dispatcher.yield_batch(target, count, now)
        self._execute(effects)
        return counts

    def peers_yielded(self, target, counts_by_endpoint):
        """Record the slots of a target that peers have yielded."""
        now = time.monotonic()
        self._execute(self._dispatcher.peers_yielded(target, counts_by_endpoint, now))

    def observe_report(self, endpoint_id, report):
        """Record the `LoadReport` of an endpoint."""
        total = report.running + report.queued
        effects = self._dispatcher.observe_report(
            endpoint_id, total, report.leaving, time.monotonic()
        )
        self._execute(effects)

    def set_leaving(self, endpoint_ids, source):
        """Replace the leaving marks of a source."""
        now = time.monotonic()
        self._execute(self._dispatcher.set_leaving(endpoint_ids, source, now))

    def learn_leaving(self, endpoint_ids):
        """Record that endpoints reported to a peer that they are leaving."""
        now = time.monotonic()
        self._execute(self._dispatcher.learn_leaving(endpoint_ids, now))

    def leaving_ids(self):
        """Return the endpoints that reported to this node that they are leaving."""
        return self._dispatcher.leaving_ids()

    def in_flight_by_endpoint(self):
        """Return own tickets in flight as (online, batch) by endpoint id."""
        return self._dispatcher.in_flight_by_endpoint()

    def waiting_by_target(self):
        """Return the waiting own online tickets by target."""
        return self._dispatcher.waiting_by_target()

    def submit(self, grant):
        """Queue the ticket of a `Grant`."""
        self._grant_by_id[grant.ticket.ticket_id] = grant
        self._execute(self._dispatcher.submit(grant.ticket, time.monotonic()))

    def release(self, ticket_id, outcome):
        """Release what the ticket holds and report its `RunOutcome`.

        Each submitted ticket is released once, including rejected ones.
        """
        grant = self._grant_by_id.pop(ticket_id, None)
        if grant is None:
            return
        now = time.monotonic()
        self._execute(self._dispatcher.release(ticket_id, outcome, now))

    def tick(self):
        """Advance the dispatcher to the current time."""
        self._execute(self._dispatcher.tick(time.monotonic()))

    def confirm_crash(self, suspected, is_crash):
        """Record whether the endpoint of a `CrashSuspected` has crashed."""
        now = time.monotonic()
        self._execute(self._dispatcher.confirm_crash(suspected, is_crash, now))

    def answer_probe(self, wanted, is_senior):
        """Return whether a peer may probe, and whether the request is quarantined."""
        now = time.monotonic()
        allowed, quarantined, effects = self._dispatcher.answer_probe(
            wanted, now, is_senior
        )
        self._execute(effects)
        return allowed, quarantined

    def probe_answered(self, wanted, is_allowed):
        """Record whether every reachable peer allowed a `ProbeWanted`."""
        now = time.monotonic()
        self._execute(self._dispatcher.probe_answered(wanted, is_allowed, now))

    def learn_crash(self, crash, fingerprints):
        """Record a crash that a peer observed."""
        now = time.monotonic()
        self._execute(self._dispatcher.learn_crash(crash, fingerprints, now))

    def learn_quarantine(self, fingerprints):
        """Record quarantined fingerprints."""
        now = time.monotonic()
        self._execute(self._dispatcher.learn_quarantine(fingerprints, now))

    def _execute(self, effects):
        for effect in effects:
            match effect:
                case Granted(endpoint_id=endpoint_id):
                    self._grant(effect).settle(endpoint_id)
                case Rejected(refusal=refusal):
                    self._grant(effect).settle(refusal)
                case Preempted(ticket_id=ticket_id):
                    self._journal.record(
                        "routing", ticket_id, "batch_yields", "preempted"
                    )
                    self._grant(effect).preempt()
                case Recalled():
                    self._grant(effect).preempt()
                case _:
                    self._send(effect)

    def _grant(self, effect):
        grant = self._grant_by_id.get(effect.ticket_id)
        check_invariant(grant is not None, "each effect belongs to a live ticket")
        return grant

    def _send(self, effect):
        if self._effect_executor is not None:
            self._effect_executor(effect)
        elif isinstance(effect, CrashSuspected):
            self.confirm_crash(effect, True)
