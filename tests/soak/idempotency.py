"""Random simulations of the records of keyed calls on several nodes.

A simulated platform loses responses to writes that took effect, fails single calls and
has outages; nodes have skewed clocks, are paused between any two steps, and are
killed. The invariants: each key is dispatched at most once while its record is stored,
a call is not dispatched after its outcome was reported as unknown, and a call that was
dispatched is never refused as not run.
"""

import random
import time
from typing import NamedTuple

from sequoiaglade_decisions.idempotency import StoredResponse, record_name
from sequoiaglade_decisions.outcomes import (
    Execution,
    Failure,
    FailureCode,
    Refusal,
    check_invariant,
)
from sequoiaglade_node.online import IdempotencyGuard, ProcessIdentity, RecordWriter
from sequoiaglade_node.online.once import HeldClaim
from sequoiaglade_platform import StoredObject

NODE_COUNT = 4
KEY_COUNT = 10
SKEW_SECONDS = 1.0


class Submission(NamedTuple):
    """A call with the attributes that `IdempotencyGuard` reads."""

    workspace: str
    idempotency_key: str
    method: str = "POST"
    path: str = "/orders"
    body: bytes = b"{}"


class ModelPlatform:
    """In-memory platform whose calls fail at random."""

    def __init__(self, random):
        self._random = random
        self._versions = 0
        self.stored_by_name = {}
        self.is_down = False

    def get(self, kind, name):
        if self._fails():
            return Failure(FailureCode.UNAVAILABLE, "down")
        found = self.stored_by_name.get(name)
        return found or Failure(FailureCode.NOT_FOUND, name)

    def create(self, kind, name, value):
        return self._write(name, value, None)

    def update(self, kind, name, value, version):
        return self._write(name, value, version)

    def delete(self, kind, name, version):
        return self._write(name, None, version)

    def _write(self, name, value, version):
        if self._fails():
            return Failure(FailureCode.UNAVAILABLE, "down")
        found = self.stored_by_name.get(name)
        if (found and found.version) != version:
            return Failure(FailureCode.CONFLICT, name)
        self._versions += 1
        stored = StoredObject(name, self._versions, value, "")
        if value is None:
            del self.stored_by_name[name]
        else:
            self.stored_by_name[name] = stored
        if self._random.random() < 0.1:
            return Failure(FailureCode.UNKNOWN, "the response was lost")
        return stored if value is not None else None

    def _fails(self):
        return self.is_down or self._random.random() < 0.05


class ModelNode:
    """One node process: a guard with its own clocks, and the claims it holds."""

    def __init__(self, simulation, number):
        self._simulation = simulation
        self.number = number
        self.incarnation = 0
        self.skew = simulation.random.uniform(-SKEW_SECONDS, SKEW_SECONDS)
        self.start()

    def start(self):
        """Start a new process without the state of the previous one."""
        self.incarnation += 1
        self.queued = []
        self.claims = []
        self.running = []
        simulation = self._simulation
        holder = ProcessIdentity(
            f"node-{self.number}", str(self.number), self.incarnation
        )
        self.writer = RecordWriter(simulation.platform)
        self.guard = IdempotencyGuard(
            simulation.platform,
            self.writer,
            holder,
            self._is_gone,
            wall=lambda: simulation.now + self.skew,
            monotonic=lambda: simulation.now,
        )

    def _is_gone(self, record):
        node = self._simulation.node_by_id[record.node_id]
        return record.incarnation < node.incarnation


class Simulation:
    """Nodes, a platform, and counts of the calls sent to endpoints."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 1000.0
        self.platform = ModelPlatform(self.random)
        self.nodes = []
        self.node_by_id = {}
        for number in range(NODE_COUNT):
            node = ModelNode(self, number)
            self.nodes.append(node)
            self.node_by_id[f"node-{number}"] = node
        self.sent_count_by_key = {}
        self.reported_unknown = set()

    def step(self):
        """Carry out one random event."""
        node = self.random.choice(self.nodes)
        events = [
            *(self._submit, self._submit, self._claim, self._claim, self._dispatch),
            *(self._answer, self._retry, self._pass_time, self._pass_time),
            *(self._pause, self._kill, self._toggle_platform),
        ]
        self.random.choice(events)(node)

    def _submit(self, node):
        key = f"key-{self.random.randrange(KEY_COUNT)}"
        work = Submission("salina", key)
        found = node.guard.find(work)
        if found is not None:
            self._note_unknown(key, found)
            return
        node.queued.append(work)

    def _claim(self, node):
        if not node.queued:
            return
        work = node.queued.pop()
        claimed = node.guard.claim(work)
        if isinstance(claimed, HeldClaim):
            node.claims.append((work, claimed))

    def _note_unknown(self, key, found):
        if isinstance(found, Refusal) and found.code.code == "outcome_unknown":
            stored = self.platform.stored_by_name[record_name("salina", key)]
            self.reported_unknown.add((key, stored.version))

    def _dispatch(self, node):
        if not node.claims:
            return
        work, claim = node.claims.pop()
        if not claim.may_dispatch():
            claim.delete_record()
            return
        count = self.sent_count_by_key.get(work.idempotency_key, 0) + 1
        self.sent_count_by_key[work.idempotency_key] = count
        check_invariant(count <= 1, f"{work.idempotency_key} is sent once")
        is_late = (work.idempotency_key, claim.version) in self.reported_unknown
        check_invariant(not is_late, "no call is sent once reported as unknown")
        node.running.append((work, claim))

    def _answer(self, node):
        if not node.running:
            return
        work, claim = node.running.pop()
        if self.random.random() < 0.2:
            claim.mark_unknown()
            return
        claim.store_response(StoredResponse(200, (), work.idempotency_key.encode()))

    def check_refusals(self):
        """Check each node's current decision on the calls that were sent."""
        for node in self.nodes:
            for key in self.sent_count_by_key:
                found = node.guard.find(Submission("salina", key))
                is_platform = isinstance(found, Refusal) and (
                    found.code.code == "platform_unavailable"
                )
                if is_platform:
                    continue
                check_invariant(found is not None, f"the record of {key} is stored")
                if isinstance(found, Refusal):
                    is_unknown = found.execution is Execution.UNKNOWN
                    check_invariant(is_unknown, f"{key} was sent, so may have run")
                else:
                    check_invariant(found.body == key.encode(), "its own response")

    def _retry(self, node):
        node.writer.retry()

    def _pass_time(self, node):
        self.now += self.random.uniform(0.0, 2.0)

    def _pause(self, node):
        self.now += self.random.uniform(0.0, 80.0)

    def _kill(self, node):
        if self.random.random() < 0.3:
            node.start()

    def _toggle_platform(self, node):
        self.platform.is_down = self.random.random() < 0.3


def run_one(seed, steps=200):
    """Run one simulation, checking the invariants; return the number of sent calls."""
    simulation = Simulation(seed)
    for _ in range(steps):
        simulation.step()
        simulation.check_refusals()
    return sum(simulation.sent_count_by_key.values())


def run(seed, minutes):
    """Run random simulations for `minutes`; return the numbers of runs and calls."""
    deadline = time.monotonic() + minutes * 60.0
    runs = sent = 0
    while time.monotonic() < deadline:
        sent += run_one(seed + runs)
        runs += 1
    return {"runs": runs, "sent": sent}
