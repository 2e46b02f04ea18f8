"""Fakes for the interfaces of the limits state machines: network and platform."""

from typing import NamedTuple

from sequoiaglade_decisions.limits import Allotment

POLL_TIMEOUT_SECONDS = 0.4
GRANT_TIMEOUT_SECONDS = 0.15


class Outcome(NamedTuple):
    """Outcome of one request; `at` is the simulated time in seconds."""

    at: float
    node_id: str
    workspace: str
    admitted: bool


class FakeNetwork:
    """Simulated calls between nodes, with lost, delayed and partitioned messages.

    A call that has no answer within the caller's timeout fails, and its late answer is
    dropped. Messages to a frozen node are queued until it resumes.
    """

    def __init__(self, events, random):
        self._events = events
        self._random = random
        self.node_by_id = {}
        self.cut_pairs = set()
        self.loss = 0.0
        self.slow_fraction = 0.0

    def call(self, caller, node_id, function, on_answer, on_failure, timeout):
        """Call `function` with the node; pass its value to `on_answer`."""
        call = _Call(on_answer, on_failure)
        sent_at = self._events.now
        self._events.after(timeout, self._expire, caller, call)
        if self._is_lost(caller.node_id, node_id):
            return
        delay = self._delay()
        self._events.after(
            delay, self._arrive, caller, node_id, function, call, sent_at + timeout
        )

    def _arrive(self, caller, node_id, function, call, deadline):
        node = self.node_by_id.get(node_id)
        if node is None:
            return
        if node.frozen:
            node.waiting.append(
                lambda: self._arrive(caller, node_id, function, call, deadline)
            )
            return
        value = function(node)
        if self._is_lost(node_id, caller.node_id):
            return
        self._events.after(self._delay(), self._return, caller, call, value, deadline)

    def _return(self, caller, call, value, deadline):
        if caller.frozen:
            caller.waiting.append(lambda: self._return(caller, call, value, deadline))
            return
        if call.is_pending and self._events.now <= deadline and caller.alive:
            call.is_pending = False
            call.on_answer(value)

    def _expire(self, caller, call):
        if caller.frozen:
            caller.waiting.append(lambda: self._expire(caller, call))
            return
        if call.is_pending and caller.alive:
            call.is_pending = False
            call.on_failure()

    def _is_lost(self, sender, receiver):
        is_cut = frozenset((sender, receiver)) in self.cut_pairs
        return is_cut or self._random.random() < self.loss

    def _delay(self):
        if self._random.random() < self.slow_fraction:
            return self._random.uniform(0.0, 3.0)
        return self._random.uniform(0.001, 0.004)


class _Call:
    def __init__(self, on_answer, on_failure):
        self.is_pending = True
        self.on_answer = on_answer
        self.on_failure = on_failure


class FakePlatform:
    """One allotment with a version, and the list of instances.

    While `down` is set, all calls fail; calls of the nodes in `cut_ids` always fail.
    `lost_answers` is the fraction of writes that take effect but return no answer.
    """

    def __init__(self, random):
        self._random = random
        self._data = Allotment({}).encode()
        self._version = 0
        self.down = False
        self.cut_ids = set()
        self.lost_answers = 0.0
        self.instances = set()
        self.calls = 0

    def replace(self, allotment):
        """Replace the stored allotment."""
        self._data = allotment.encode()
        self._version += 1

    def size(self):
        """Return the size of the stored allotment in bytes."""
        return len(self._data)

    def read(self, node_id):
        """Return the allotment, its version and the instances, or None on failure."""
        self.calls += 2
        if self.down or node_id in self.cut_ids:
            return None
        return Allotment.decode(self._data), self._version, frozenset(self.instances)

    def write(self, node_id, allotment, version):
        """Return the new version, or None if the write fails or its answer is lost."""
        self.calls += 1
        if self.down or node_id in self.cut_ids or version != self._version:
            return None
        self._data = allotment.encode()
        self._version += 1
        is_lost = self._random.random() < self.lost_answers
        return None if is_lost else self._version


class OverrunCheck:
    """Checks admissions against burst + rate x time over every window.

    Each admission takes one token from a bucket that starts full and refills at the
    rate. A level below zero proves that some window had too many admissions.
    """

    def __init__(self, rate, burst):
        self._rate = rate
        self._burst = burst
        self._level = float(burst)
        self._updated_at = 0.0
        self.max_overrun = 0.0

    def admit(self, now):
        """Record an admission at `now`."""
        refill = (now - self._updated_at) * self._rate
        self._level = min(self._burst, self._level + refill) - 1
        self._updated_at = now
        self.max_overrun = max(self.max_overrun, -self._level)
