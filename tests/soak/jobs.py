"""Random simulations of the claims of one job by several nodes on one platform.

Nodes crash, freeze beyond their leases, have clocks of their own, read stale headers
and lose responses to writes that took effect. Each segment has one unrepeatable item.
The invariants: a final header never changes, each segment is committed once, an
unrepeatable item runs at most once, and the job ends once faults stop.
"""

import random
import time

from sequoiaglade_decisions.jobs import JobProgress, WorkHeader, WorkState
from sequoiaglade_decisions.outcomes import check_invariant

LEASE_SECONDS = 10.0
FAULT_FREE_STEPS_PER_NODE = 400


class ModelPlatform:
    """Versioned headers by segment, and the items that endpoints ran."""

    def __init__(self):
        self.entry_by_index = {}
        self.commits = {}
        self.runs = {}
        self._version = 0

    def write(self, index, header, expected):
        """Write a header if the current version is `expected` (None if absent).

        Return the new version, or None on a conflict.
        """
        known = self.entry_by_index.get(index)
        if (known[0] if known else None) != expected:
            return None
        if known is not None:
            check_invariant(not known[1].is_final, "final headers never change")
        if header.state == WorkState.COMMITTED.value:
            self.commits[index] = self.commits.get(index, 0) + 1
        self._version += 1
        self.entry_by_index[index] = (self._version, header)
        return self._version

    def run_once(self, index):
        """Record that the unrepeatable item of a segment was run."""
        self.runs[index] = self.runs.get(index, 0) + 1
        check_invariant(self.runs[index] == 1, "an unrepeatable item runs once")


class ModelNode:
    """One node with its own clock, its view of the job, and the claims it assumes."""

    def __init__(self, name, rng, platform, segment_count):
        self.name = name
        self._rng = rng
        self._platform = platform
        self._segment_count = segment_count
        self._skew = rng.uniform(-1000, 1000)
        self._drift = rng.uniform(0.9, 1.1)
        self._claims = 0
        self.frozen_until = 0.0
        self._start()

    def _start(self):
        self._progress = JobProgress("job", self._segment_count, self.name, 10.0)
        self._held = {}
        self._stale = None

    def act(self, now, is_fault_free):
        """Perform one random action at the time `now`."""
        if now < self.frozen_until:
            return
        actions = [self.refresh, self.refresh, self.claim, self.claim, self.renew]
        actions += [self.run_item, self.commit, self.commit, self.release]
        if not is_fault_free:
            actions += [self.crash] if self._rng.random() < 0.2 else []
            if self._rng.random() < 0.1:
                self.frozen_until = now + self._rng.uniform(1, 40)
        self._rng.choice(actions)(now, is_fault_free)

    def refresh(self, now, is_fault_free):
        """Read the headers, sometimes in the state of the previous read."""
        entries = dict(self._platform.entry_by_index)
        is_stale = not is_fault_free and self._stale and self._rng.random() < 0.2
        self._progress.observe(self._stale if is_stale else entries, self._clock(now))
        self._stale = entries

    def claim(self, now, is_fault_free):
        """Claim a segment; the response may be lost."""
        candidate = self._progress.begin_claim(self._clock(now))
        if candidate is None:
            return
        self._claims += 1
        base = candidate.header or WorkHeader("", "", WorkState.HELD.value)
        header = base._replace(
            claim_id=f"{self.name}-{self._claims}-{now}",
            node_id=self.name,
            state=WorkState.HELD.value,
        )
        version = self._platform.write(candidate.index, header, candidate.version)
        if version is None:
            self._progress.claim_lost(candidate.index)
        elif self._is_lost(is_fault_free):
            self._progress.claim_undecided(candidate.index)
        else:
            self._held[candidate.index] = (version, header)

    def renew(self, now, is_fault_free):
        """Renew the claims."""
        for index, (version, header) in list(self._held.items()):
            self._write(index, header, version, is_fault_free)

    def run_item(self, now, is_fault_free):
        """Run the unrepeatable items of held segments after marking them as started."""
        for index, (version, header) in list(self._held.items()):
            if 0 in header.started:
                continue
            marked = header._replace(started=(0,))
            if self._write(index, marked, version, is_fault_free):
                self._platform.run_once(index)

    def commit(self, now, is_fault_free):
        """Commit a held segment."""
        self._finish(now, is_fault_free, WorkState.COMMITTED)

    def release(self, now, is_fault_free):
        """Release a held segment, sometimes."""
        if self._rng.random() < 0.2:
            self._finish(now, is_fault_free, WorkState.RELEASED)

    def crash(self, now, is_fault_free):
        """Restart the node without its state."""
        self._start()

    def _finish(self, now, is_fault_free, state):
        if not self._held:
            return
        index = self._rng.choice(sorted(self._held))
        version, header = self._held[index]
        final = header._replace(state=state.value)
        if self._write(index, final, version, is_fault_free):
            version, header = self._held.pop(index)
            self._progress.claim_ended(index, version, header, self._clock(now))

    def _write(self, index, header, version, is_fault_free):
        written = self._platform.write(index, header, version)
        if written is not None and not self._is_lost(is_fault_free):
            self._held[index] = (written, header)
            return True
        found_version, found = self._platform.entry_by_index[index]
        if found.claim_id != header.claim_id:
            del self._held[index]
            self._progress.claim_lost(index)
            return False
        self._held[index] = (found_version, found)
        return found.encode() == header.encode()

    def _is_lost(self, is_fault_free):
        return not is_fault_free and self._rng.random() < 0.15

    def _clock(self, now):
        return self._skew + now * self._drift


def drive(rng, node_count=4, segment_count=6, step_count=300):
    """Run one job to its end, checking the invariants; return the platform model."""
    platform = ModelPlatform()
    nodes = [
        ModelNode(f"node-{number}", rng, platform, segment_count)
        for number in range(node_count)
    ]
    now = 0.0
    for step in range(step_count + FAULT_FREE_STEPS_PER_NODE * node_count):
        now += rng.uniform(0.05, 1.0)
        rng.choice(nodes).act(now, is_fault_free=step >= step_count)
        if len(platform.commits) == segment_count and step >= step_count:
            break
    check_invariant(
        platform.commits == {index: 1 for index in range(segment_count)},
        f"each segment is committed once: {platform.commits}",
    )
    return platform


def run(seed, minutes):
    """Run random jobs for `minutes`; return their number."""
    rng = random.Random(seed)
    deadline = time.monotonic() + minutes * 60
    count = 0
    while time.monotonic() < deadline:
        drive(rng, rng.randint(1, 8), rng.randint(1, 20), rng.randint(50, 1000))
        count += 1
    return count
