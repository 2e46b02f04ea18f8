"""One node's view of a job's segments, which decides the segment to claim next.

A claim counts as expired once the observing node has seen the same header version for
the length of the lease on its own clock; clocks of other nodes are never used. The
time between two observations counts at most half a lease, so that leases don't expire
during an outage of the platform, when no holder can renew.
"""

import random
from typing import NamedTuple

from ..outcomes import check_invariant
from .work import WorkHeader, WorkState, sum_headers


class Candidate(NamedTuple):
    """A segment to claim; `version` and `header` are None for its first claim."""

    index: int
    version: int | None
    header: WorkHeader | None


class _Observation(NamedTuple):
    version: int
    header: WorkHeader
    observed_at: float
    unchanged_seconds: float


class JobProgress:
    """Segments of one job as last observed by this node.

    Each node goes through the segments in its own random order, so that two nodes
    rarely try to claim the same one.
    """

    def __init__(self, job_id, segment_count, node_id, lease_seconds):
        self.segment_count = segment_count
        self._lease_seconds = lease_seconds
        self._order = list(range(segment_count))
        random.Random(f"{node_id} {job_id}").shuffle(self._order)
        self._observation_by_index = {}
        self._own_claims = set()
        self._held_elsewhere = set()

    def observe(self, entry_by_index, now):
        """Update the view from pairs of version and `WorkHeader` by segment index."""
        self._held_elsewhere.clear()
        for index, (version, header) in entry_by_index.items():
            check_invariant(
                0 <= index < self.segment_count,
                "the segment index of a header is within the job",
            )
            self._record(index, version, header, now)

    def begin_claim(self, now):
        """Return the next `Candidate` and mark its claim as started, or None."""
        for index in self._order:
            candidate = self._candidate_for(index, now)
            if candidate is not None:
                self._own_claims.add(index)
                return candidate
        return None

    def claim_lost(self, index):
        """Note that another node holds the segment.

        It is not a candidate again before the next `observe`.
        """
        self._own_claims.discard(index)
        self._held_elsewhere.add(index)

    def claim_undecided(self, index):
        """Note that it is unknown whether the claim of a segment took effect."""
        self._own_claims.discard(index)

    def claim_ended(self, index, version, header, now):
        """Record the header with which this node's own claim ended."""
        self._own_claims.discard(index)
        self._record(index, version, header, now)

    @property
    def has_unclaimed(self):
        """Whether there are segments not known to be claimed by any node."""
        known = (
            self._own_claims | self._held_elsewhere | self._observation_by_index.keys()
        )
        return len(known) < self.segment_count

    @property
    def unfinished_count(self):
        """Number of segments that are not known to be final."""
        final = sum(s.header.is_final for s in self._observation_by_index.values())
        return self.segment_count - final

    @property
    def is_finished(self):
        """Whether all segments are final."""
        return self.unfinished_count == 0

    @property
    def totals(self):
        """`Totals` of the final segments."""
        return sum_headers(s.header for s in self._observation_by_index.values())

    def closable_segments(self, now):
        """Return the `Candidate` values of segments to close in a cancelled job.

        These are the released segments and those whose claim has expired.
        """
        return [
            Candidate(index, observation.version, observation.header)
            for index, observation in self._observation_by_index.items()
            if index not in self._own_claims and self._is_claimable(observation)
        ]

    @property
    def has_holders(self):
        """Whether a segment is held by this node or was last observed as held."""
        return bool(self._own_claims) or any(
            observation.header.state == WorkState.HELD.value
            for observation in self._observation_by_index.values()
        )

    def _record(self, index, version, header, now):
        known = self._observation_by_index.get(index)
        unchanged_seconds = 0.0
        if known is not None:
            if version < known.version:
                return
            check_invariant(
                not known.header.is_final or version == known.version,
                "the header of a final segment never changes",
            )
            if version == known.version:
                gap = min(now - known.observed_at, self._lease_seconds / 2)
                unchanged_seconds = known.unchanged_seconds + gap
        self._observation_by_index[index] = _Observation(
            version, header, now, unchanged_seconds
        )

    def _candidate_for(self, index, now):
        if index in self._own_claims or index in self._held_elsewhere:
            return None
        observation = self._observation_by_index.get(index)
        if observation is None:
            return Candidate(index, None, None)
        if not self._is_claimable(observation):
            return None
        return Candidate(index, observation.version, observation.header)

    def _is_claimable(self, observation):
        match WorkState(observation.header.state):
            case WorkState.RELEASED:
                return True
            case WorkState.HELD:
                return observation.unchanged_seconds >= self._lease_seconds
        return False
