"""Several dispatchers that exchange crash records, with poison requests among others.

Messages between nodes are delayed and reordered. Probe requests are answered by all
peers at once, since they are synchronous calls. An endpoint crashes some time after a
poison request started on it, which breaks all its requests.
"""

import time
from random import Random

from routing import TARGETS, make_document

from sequoiaglade_decisions.configuration import make_snapshot
from sequoiaglade_decisions.routing import (
    CrashConfirmed,
    CrashSuspected,
    Dispatcher,
    Granted,
    Priority,
    ProbeWanted,
    Quarantined,
    Recalled,
    Rejected,
    RunOutcome,
    Ticket,
)

NODES = 3
ENDPOINTS = 4
SLOTS = 4
STEP_SECONDS = 0.1
MAX_DELAY_STEPS = 2
DOWN_STEPS = 10
GOSSIP_STEPS = 10


def run(seed, minutes):
    """Drive fleets with successive seeds for `minutes`; return how many."""
    end = time.monotonic() + 60.0 * minutes
    count = 0
    while time.monotonic() < end:
        driver = PoisonDriver(Random(f"{seed}/{count}"))
        driver.run(300)
        assert driver.worst_crashes() <= 2, (seed, count)
        assert not driver.wrongly_quarantined, (seed, count)
        count += 1
    return count


class PoisonDriver:
    """The nodes, the endpoints with their runs, and the delayed messages."""

    def __init__(self, random):
        self.random = random
        self.now = 0.0
        self.step = 0
        self.number = 0
        slots = {f"e{i}": SLOTS for i in range(ENDPOINTS * len(TARGETS))}
        snapshot = make_snapshot(1, make_document(slots))
        self.nodes = [Dispatcher("yard-a", random) for _ in range(NODES)]
        for node in self.nodes:
            node.configure(snapshot, self.now)
        self.running = {name: {} for name in slots}
        self.down_until = {}
        self.tickets = {}
        self.crashes = {}
        self.wrongly_quarantined = []
        self.delayed_calls = []

    def run(self, steps):
        for _ in range(steps):
            self.step += 1
            self.now += STEP_SECONDS
            for _ in range(self.random.randint(0, 3)):
                self.submit()
            self.deliver()
            self.run_endpoints()
            for index, node in enumerate(self.nodes):
                self.apply(index, node.tick(self.now))
            if self.step % GOSSIP_STEPS == 0:
                self.gossip()

    def gossip(self):
        """Tell each node what the others have in flight."""
        for index, node in enumerate(self.nodes):
            totals = {}
            for other in self.nodes[:index] + self.nodes[index + 1 :]:
                for name, counts in other.in_flight_by_endpoint().items():
                    known = totals.get(name, (0, 0))
                    totals[name] = (known[0] + counts[0], known[1] + counts[1])
            self.apply(index, node.observe_peers(totals, self.now))

    def worst_crashes(self):
        return max(self.crashes.values(), default=0)

    def submit(self):
        """Submit a new ordinary request, or one of two poison requests repeatedly."""
        rng = self.random
        self.number += 1
        is_poison = rng.random() < 0.3
        fingerprint = f"poison-{rng.randint(0, 1)}" if is_poison else f"f{self.number}"
        index = rng.randrange(NODES)
        self.submit_ticket(index, fingerprint, frozenset())

    def submit_ticket(self, index, fingerprint, excluded):
        self.number += 1
        ticket = Ticket(
            ticket_id=f"t{self.number}",
            workspace="hays",
            target=TARGETS[0],
            priority=Priority.PAYING_ONLINE,
            deadline=self.now + 10.0,
            fingerprint=fingerprint,
            excluded=excluded,
        )
        self.tickets[ticket.ticket_id] = (index, ticket)
        self.apply(index, self.nodes[index].submit(ticket, self.now))

    def deliver(self):
        due = [entry for entry in self.delayed_calls if entry[0] <= self.step]
        self.delayed_calls = [
            entry for entry in self.delayed_calls if entry[0] > self.step
        ]
        self.random.shuffle(due)
        for _, index, function in due:
            self.apply(index, function(self.nodes[index]))

    def broadcast(self, sender, function):
        for index in range(NODES):
            if index != sender:
                at = self.step + self.random.randint(0, MAX_DELAY_STEPS)
                self.delayed_calls.append((at, index, function))

    def run_endpoints(self):
        for name in self.running:
            for ticket_id in list(self.running[name]):
                if ticket_id not in self.running[name]:
                    continue
                self.running[name][ticket_id] -= 1
                if self.running[name][ticket_id] < 0:
                    self.end_run(name, ticket_id)

    def end_run(self, name, ticket_id):
        fingerprint = self.tickets[ticket_id][1].fingerprint
        if not fingerprint.startswith("poison"):
            del self.running[name][ticket_id]
            self.release(ticket_id, RunOutcome.DONE)
            return
        self.crashes[fingerprint] = self.crashes.get(fingerprint, 0) + 1
        self.down_until[name] = self.step + DOWN_STEPS
        victims, self.running[name] = self.running[name], {}
        for victim in sorted(victims):
            self.release(victim, RunOutcome.CRASHED, name)

    def release(self, ticket_id, outcome, endpoint_id=None):
        index, ticket = self.tickets.pop(ticket_id)
        self.apply(index, self.nodes[index].release(ticket_id, outcome, self.now))
        if outcome is not RunOutcome.DONE:
            excluded = ticket.excluded | ({endpoint_id} - {None})
            self.submit_ticket(index, ticket.fingerprint, excluded)

    def apply(self, index, effects):
        node = self.nodes[index]
        for effect in effects:
            match effect:
                case Granted(ticket_id=ticket_id, endpoint_id=endpoint_id):
                    self.start_run(ticket_id, endpoint_id)
                case Rejected(ticket_id=ticket_id, refusal=refusal):
                    ticket = self.tickets.pop(ticket_id)[1]
                    is_poison = ticket.fingerprint.startswith("poison")
                    if refusal.retry_after is None and not is_poison:
                        self.wrongly_quarantined.append(ticket)
                case CrashSuspected():
                    self.delayed_calls.append(
                        (
                            self.step + 1,
                            index,
                            lambda n, e=effect: n.confirm_crash(e, True, self.now),
                        )
                    )
                case CrashConfirmed(crash=crash, fingerprints=names):
                    self.broadcast(
                        index, lambda n: n.learn_crash(crash, names, self.now)
                    )
                case Quarantined(fingerprint=name):
                    self.broadcast(
                        index, lambda n: n.learn_quarantine([name], self.now)
                    )
                case ProbeWanted():
                    self.probe(index, node, effect)
                case Recalled(ticket_id=ticket_id):
                    self.recall(ticket_id)

    def recall(self, ticket_id):
        """Stop a run, unless it has ended, and submit its request again."""
        if not any(ticket_id in running for running in self.running.values()):
            return
        for running in self.running.values():
            running.pop(ticket_id, None)
        self.release(ticket_id, RunOutcome.PREEMPTED)

    def start_run(self, ticket_id, endpoint_id):
        """Start a run; on an endpoint that is down it breaks immediately."""
        if self.down_until.get(endpoint_id, 0) <= self.step:
            self.running[endpoint_id][ticket_id] = self.random.randint(0, 6)
            return
        index, ticket = self.tickets[ticket_id]

        def break_off(node):
            del self.tickets[ticket_id]
            return node.release(ticket_id, RunOutcome.CRASHED, self.now)

        self.delayed_calls.append((self.step, index, break_off))

    def probe(self, index, node, wanted):
        allowed = True
        for other, peer in enumerate(self.nodes):
            if other == index:
                continue
            answer = peer.answer_probe(wanted, self.now, index < other)
            self.apply(other, answer[2])
            if answer[1]:
                effects = node.learn_quarantine([wanted.fingerprint], self.now)
                self.apply(index, effects)
            allowed = allowed and answer[0]
        is_up = self.down_until.get(wanted.endpoint_id, 0) <= self.step
        allowed = allowed and is_up
        effects = node.probe_answered(wanted, allowed, self.now)
        self.apply(index, effects)
