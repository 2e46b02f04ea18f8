"""Random events for one dispatcher, checked against a simple model of its state."""

import time
from random import Random

from sequoiaglade_decisions.configuration import Document, make_snapshot
from sequoiaglade_decisions.routing import (
    LISTED,
    CrashConfirmed,
    CrashSuspected,
    Dispatcher,
    Granted,
    LeavingSeen,
    Preempted,
    Priority,
    ProbeWanted,
    Quarantined,
    Recalled,
    Rejected,
    RunOutcome,
    Ticket,
    YieldWanted,
)

TARGETS = ("writer", "stock")
OUTCOMES = tuple(o for o in RunOutcome if o is not RunOutcome.NOT_GRANTED)


def run(seed, minutes):
    """Drive dispatchers with successive seeds for `minutes`; return how many."""
    end = time.monotonic() + 60.0 * minutes
    count = 0
    while time.monotonic() < end:
        DispatcherDriver(Random(f"{seed}/{count}")).run(1000)
        count += 1
    return count


def make_document(slots_by_endpoint, leaving=()):
    endpoints = {
        name: {
            "url": f"http://{name}",
            "failure_domain": "yard-a",
            "model": TARGETS[index % len(TARGETS)],
            "slots": slots,
            "leaving": name in leaving,
        }
        for index, (name, slots) in enumerate(slots_by_endpoint.items())
    }
    models = {target: {} for target in TARGETS}
    return Document.model_validate({"models": models, "endpoints": endpoints})


class DispatcherDriver:
    """A dispatcher, a model of its tickets, and the random events."""

    def __init__(self, random, dispatcher=None):
        self.random = random
        self.dispatcher = dispatcher or Dispatcher("yard-a", random)
        self.now = 0.0
        self.waiting = {}
        self.held = {}
        self.preempted = set()
        self.leaving = set()
        self.slots = {f"e{i}": random.randint(1, 4) for i in range(6)}
        self.number = 0
        self.configure()

    def run(self, steps):
        """Apply random events, then let all tickets end."""
        events = (
            *(self.submit,) * 6,
            *(self.release,) * 5,
            self.tick,
            self.configure,
            self.observe_peers,
            self.yield_batch,
            self.set_leaving,
            self.send_report,
        )
        for _ in range(steps):
            self.random.choice(events)()
            self.check()
        self.finish()

    def submit(self):
        self.number += 1
        rng = self.random
        excluded = frozenset(rng.sample(sorted(self.slots), rng.choice((0, 0, 0, 1))))
        ticket = Ticket(
            ticket_id=f"t{self.number}",
            workspace=f"w{rng.randint(0, 3)}",
            target=rng.choice(TARGETS),
            priority=rng.choice(list(Priority)),
            deadline=self.now + rng.choice((0.0, 1.0, 10.0)),
            weight=rng.choice((1.0, 3.0)),
            excluded=excluded,
            due=float(rng.randint(0, 3)),
            fingerprint=rng.choice((None, f"f{rng.randint(0, 9)}")),
        )
        self.waiting[ticket.ticket_id] = ticket
        self.apply(self.dispatcher.submit(ticket, self.now))

    def release(self):
        known = [*self.held, *list(self.waiting)[:1]]
        if not known:
            return
        ticket_id = self.random.choice(known)
        outcome = self.random.choice(OUTCOMES)
        self.forget(ticket_id)
        self.apply(self.dispatcher.release(ticket_id, outcome, self.now))

    def forget(self, ticket_id):
        self.waiting.pop(ticket_id, None)
        self.held.pop(ticket_id, None)
        self.preempted.discard(ticket_id)

    def tick(self):
        self.now += self.random.choice((0.01, 0.1, 1.0, 3.0))
        self.apply(self.dispatcher.tick(self.now))

    def configure(self):
        names = self.random.sample(sorted(self.slots), self.random.randint(2, 6))
        document = make_document({name: self.slots[name] for name in names})
        snapshot = make_snapshot(1, document)
        self.apply(self.dispatcher.configure(snapshot, self.now))

    def observe_peers(self):
        rng = self.random
        counts = {n: (rng.randint(0, 2), rng.randint(0, 2)) for n in self.slots}
        self.apply(self.dispatcher.observe_peers(counts, self.now))

    def yield_batch(self):
        target = self.random.choice(TARGETS)
        effects, counts = self.dispatcher.yield_batch(target, 2, self.now)
        assert sum(counts.values()) == len(effects) <= 2, effects
        self.apply(effects)

    def set_leaving(self):
        self.leaving = set(self.random.sample(sorted(self.slots), 2))
        leaving = frozenset(self.leaving)
        self.apply(self.dispatcher.set_leaving(leaving, LISTED, self.now))

    def send_report(self):
        name = self.random.choice(sorted(self.slots))
        total = self.random.randint(0, 4)
        effects = self.dispatcher.observe_report(name, total, False, self.now)
        self.apply(effects)

    def apply(self, effects):
        for effect in effects:
            match effect:
                case Granted(ticket_id=ticket_id, endpoint_id=endpoint_id):
                    ticket = self.waiting.pop(ticket_id)
                    self.held[ticket_id] = (ticket, endpoint_id)
                    assert endpoint_id not in self.leaving, effect
                    assert endpoint_id not in ticket.excluded, effect
                    on_endpoint = [h for h in self.held.values() if h[1] == endpoint_id]
                    assert len(on_endpoint) <= self.slots[endpoint_id], effect
                case Rejected(ticket_id=ticket_id):
                    del self.waiting[ticket_id]
                case Preempted(ticket_id=ticket_id):
                    assert self.held[ticket_id][0].priority.is_batch, effect
                    assert ticket_id not in self.preempted, effect
                    self.preempted.add(ticket_id)
                case CrashSuspected():
                    is_crash = self.random.random() < 0.8
                    self.apply(
                        self.dispatcher.confirm_crash(effect, is_crash, self.now)
                    )
                case ProbeWanted():
                    allowed = self.random.random() < 0.8
                    self.apply(
                        self.dispatcher.probe_answered(effect, allowed, self.now)
                    )
                case Recalled(ticket_id=ticket_id):
                    assert ticket_id in self.held, effect
                case YieldWanted(target=target, count=count):
                    slots = {name: 1 for name in list(self.slots)[:count]}
                    self.apply(self.dispatcher.peers_yielded(target, slots, self.now))
                case CrashConfirmed() | Quarantined() | LeavingSeen():
                    pass

    def check(self):
        assert self.dispatcher.waiting_count == len(self.waiting)
        counts = {}
        for ticket, endpoint_id in self.held.values():
            online, batch = counts.get(endpoint_id, (0, 0))
            is_batch = ticket.priority.is_batch
            counts[endpoint_id] = (online + (not is_batch), batch + is_batch)
        assert self.dispatcher.in_flight_by_endpoint() == counts
        for target, waiting in self.dispatcher.waiting_by_target().items():
            self.check_yield(target, waiting)

    def check_yield(self, target, waiting):
        """Check that as many batch tickets are preempted as online ones wait.

        Fewer are allowed only if no preemptible one is left on a usable endpoint.
        """
        pool = self.dispatcher.endpoints.pool(target)
        usable = {s.endpoint_id for s in pool.state_by_id.values() if s.is_usable}
        left = [
            ticket_id
            for ticket_id, (ticket, endpoint_id) in self.held.items()
            if ticket.priority.is_batch
            and ticket.target == target
            and endpoint_id in usable
            and ticket_id not in self.preempted
        ]
        asked = [i for i in self.preempted if self.held[i][0].target == target]
        assert not left or len(asked) >= waiting, (target, waiting, left, asked)

    def finish(self):
        """Let deadlines pass and runs end; no ticket may remain."""
        for _ in range(400):
            for ticket_id in list(self.held):
                self.forget(ticket_id)
                self.apply(
                    self.dispatcher.release(ticket_id, RunOutcome.DONE, self.now)
                )
            self.now += 0.1
            self.apply(self.dispatcher.tick(self.now))
        assert not self.waiting and not self.held, (self.waiting, self.held)
