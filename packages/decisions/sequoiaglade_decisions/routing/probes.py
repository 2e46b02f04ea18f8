"""Probe runs: suspect tickets run alone, each on an endpoint free of other work."""

from ..poison import Crash, Verdict
from .effects import (
    CrashConfirmed,
    CrashSuspected,
    ProbeWanted,
    Quarantined,
    Recalled,
)
from .tickets import RunOutcome

PROBE_RETRY_SECONDS = 0.25
HOLD_SECONDS = 2.0
HOLD_RENEW_SECONDS = 0.5
ENDPOINTS_PER_RESERVATION = 3


class Probe:
    """A suspect ticket and the endpoint reserved for its run."""

    __slots__ = ("ticket", "state", "asked_at", "is_granted")

    def __init__(self, ticket, state):
        self.ticket = ticket
        self.state = state
        self.asked_at = float("-inf")
        self.is_granted = False


class ProbeScheduler:
    """The probes of a node, and the effect of runs on the crash records.

    At most one in `ENDPOINTS_PER_RESERVATION` usable endpoints of a target is reserved
    at a time, and at least one. A fingerprint has one probe at a time; further tickets
    with it wait for the verdict.
    """

    def __init__(self, endpoints, held, crash_tracker):
        self._endpoints = endpoints
        self._held = held
        self._crash_tracker = crash_tracker
        self._probe_by_ticket = {}
        self._ticket_by_fingerprint = {}
        self._crashed_at = {}
        self._unconfirmed = {}

    def probe(self, ticket_id):
        """Return the `Probe` of a ticket, or None."""
        return self._probe_by_ticket.get(ticket_id)

    def reserve_endpoints(self, pool, now):
        """Reserve endpoints for the waiting suspect tickets of a pool."""
        if not pool.suspect_tickets:
            return
        self._drop_unusable(now)
        usable = [s for s in pool.state_by_id.values() if s.is_usable]
        reserved = sum(1 for state in usable if state.reserved_for is not None)
        room = max(1, len(usable) // ENDPOINTS_PER_RESERVATION) - reserved
        for ticket in list(pool.suspect_tickets.values()):
            if room <= 0:
                return
            if self._is_pending(ticket.fingerprint):
                continue
            if ticket.priority.is_batch and pool.waiting_online():
                continue
            state = _least_loaded(usable, ticket.excluded, now)
            if state is not None:
                self._add(ticket, state, now)
                room -= 1

    def due_requests(self, now):
        """Return the `ProbeWanted` effects that are due at `now`.

        A probe asks the peers once this node has nothing in flight at its endpoint. It
        repeats the request while it runs, because the peers' hold on the endpoint
        expires after `HOLD_SECONDS`.
        """
        effects = []
        for ticket_id, probe in self._probe_by_ticket.items():
            interval = HOLD_RENEW_SECONDS if probe.is_granted else PROBE_RETRY_SECONDS
            may_ask = probe.is_granted or self.is_ready(probe)
            if may_ask and now - probe.asked_at >= interval:
                probe.asked_at = now
                fingerprint = probe.ticket.fingerprint
                crashes = self._crash_tracker.crashes_of(fingerprint)
                endpoint_id = probe.state.endpoint_id
                wanted = ProbeWanted(ticket_id, fingerprint, endpoint_id, crashes)
                effects.append(wanted)
        return effects

    def is_ready(self, probe):
        """Return whether the endpoint is usable and this node has no conflicting run.

        Conflicting are any request at the endpoint and copies of the suspect request.
        """
        copies = self._held.copies_of(probe.ticket.fingerprint)
        return (
            probe.state.own_in_flight == 0
            and self._is_endpoint_usable(probe)
            and not copies
        )

    def answer_peer(self, fingerprint, endpoint_id, now, is_senior):
        """Answer a peer that wants to probe; return whether it may.

        This node then holds the endpoint, granting no slots there for `HOLD_SECONDS`.
        The peer has to wait while this node has requests at the endpoint, runs a copy
        of the request, has an unconfirmed crash of it, or probes the same fingerprint
        or endpoint. A senior peer takes precedence over a probe not granted yet.
        """
        if self._held.copies_of(fingerprint) or fingerprint in self._unconfirmed:
            return False
        state = self._endpoints.state_by_id.get(endpoint_id)
        conflicting = {self._ticket_by_fingerprint.get(fingerprint)}
        conflicting.add(state.reserved_for if state is not None else None)
        for ticket_id in conflicting - {None}:
            if self._probe_by_ticket[ticket_id].is_granted or not is_senior:
                return False
            self.end_probe(ticket_id, now)
        if state is None:
            return True
        self._endpoints.hold(state, now + HOLD_SECONDS, now)
        return state.own_in_flight == 0

    def end_probe(self, ticket_id, now):
        """End the probe of a ticket, if it has one, and its reservation."""
        probe = self._probe_by_ticket.pop(ticket_id, None)
        if probe is None:
            return
        del self._ticket_by_fingerprint[probe.ticket.fingerprint]
        probe.state.reserved_for = None
        self._endpoints.refresh(probe.state, now)

    def record_run(self, held, outcome, now):
        """Record how a run ended; return effects and whether a verdict changed."""
        fingerprint = held.ticket.fingerprint
        effects, is_changed = [], False
        if outcome is RunOutcome.CRASHED:
            effects = self._record_crash(held, now)
            is_changed = bool(effects)
        elif fingerprint is not None and _proves_harmless(held, outcome):
            is_changed = self._crash_tracker.verdict(fingerprint) is Verdict.SUSPECT
            self._crash_tracker.clear(fingerprint)
        self.end_probe(held.ticket.ticket_id, now)
        return effects, is_changed

    def settle_crash(self, suspected, is_crash, now):
        """Apply whether an endpoint has really crashed; return the effects."""
        crash = suspected.crash
        implicated, quarantined = [], []
        for fingerprint in suspected.fingerprints:
            self._remove_unconfirmed(fingerprint)
            if not is_crash and self._crash_tracker.retract(fingerprint, crash):
                continue
            implicated.append(fingerprint)
            verdict = self._crash_tracker.quarantine_if_proven(
                fingerprint, now, suspected.is_alone
            )
            if verdict is Verdict.QUARANTINED:
                quarantined.append(Quarantined(fingerprint))
        if not implicated:
            return []
        return [CrashConfirmed(crash, tuple(implicated)), *quarantined]

    def recall(self, fingerprints, crashed_id):
        """Return `Recalled` effects for copies that run on other endpoints.

        A copy that runs alone as a probe is not recalled.
        """
        return [
            Recalled(held.ticket.ticket_id)
            for fingerprint in fingerprints
            for held in self._held.copies_of(fingerprint)
            if held.state.endpoint_id != crashed_id and not held.is_alone
        ]

    def _record_crash(self, held, now):
        endpoint_id = held.state.endpoint_id
        known_at = self._crashed_at.get(endpoint_id)
        if known_at is not None and held.granted_at <= known_at:
            return []
        self._crashed_at[endpoint_id] = now
        crash = Crash(endpoint_id, now)
        in_flight = [held, *self._held.on_endpoint(endpoint_id)]
        fingerprints = {each.ticket.fingerprint for each in in_flight} - {None}
        for fingerprint in sorted(fingerprints):
            self._crash_tracker.record_crash(fingerprint, crash)
            count = self._unconfirmed.get(fingerprint, 0)
            self._unconfirmed[fingerprint] = count + 1
        names = tuple(sorted(fingerprints))
        suspected = CrashSuspected(crash, names, held.is_alone)
        return [suspected, *self.recall(names, endpoint_id)]

    def _remove_unconfirmed(self, fingerprint):
        count = self._unconfirmed.pop(fingerprint, 0)
        if count > 1:
            self._unconfirmed[fingerprint] = count - 1

    def _is_endpoint_usable(self, probe):
        state = probe.state
        is_configured = self._endpoints.state_by_id.get(state.endpoint_id) is state
        return is_configured and state.is_usable

    def _drop_unusable(self, now):
        """End the waiting probes whose endpoints may no longer get requests."""
        for ticket_id, probe in list(self._probe_by_ticket.items()):
            if not probe.is_granted and not self._is_endpoint_usable(probe):
                self.end_probe(ticket_id, now)

    def _is_pending(self, fingerprint):
        is_probed = fingerprint in self._ticket_by_fingerprint
        return is_probed or fingerprint in self._unconfirmed

    def _add(self, ticket, state, now):
        state.reserved_for = ticket.ticket_id
        self._probe_by_ticket[ticket.ticket_id] = Probe(ticket, state)
        self._ticket_by_fingerprint[ticket.fingerprint] = ticket.ticket_id
        self._endpoints.refresh(state, now)


def _proves_harmless(held, outcome):
    """Return whether the run shows that the request does not crash endpoints.

    That is one that succeeded, or that failed while it ran alone without a crash.
    """
    if outcome is RunOutcome.DONE:
        return True
    return held.is_alone and outcome is RunOutcome.FAILED


def _least_loaded(states, excluded, now):
    free = [
        state
        for state in states
        if state.reserved_for is None
        and state.endpoint_id not in excluded
        and state.held_until <= now
    ]
    return min(
        free,
        key=lambda state: state.own_in_flight + state.estimated_others,
        default=None,
    )
