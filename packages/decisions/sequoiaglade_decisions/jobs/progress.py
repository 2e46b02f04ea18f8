"""One node's view of a job: which segment it may claim next.

Leases are judged by the observer alone: a claim has run out when the observer has
seen the same version for the lease on its own clock. No clock of another node is
read. The time between two sightings counts at most half a lease, so that an outage of
the platform, in which nobody can renew, does not let leases run out.
"""

import random
from typing import NamedTuple

from ..outcomes import check_invariant
from .work import WorkHeader, WorkState, sum_headers


class Candidate(NamedTuple):
    """A segment to claim: at `version` with its header, or for the first time."""

    index: int
    version: int | None
    header: WorkHeader | None


class _Sighting(NamedTuple):
    version: int
    header: WorkHeader
    seen_at: float
    unchanged_seconds: float


class JobProgress:
    """Segments of one job as this node has last seen them.

    Nodes go through the segments in different orders, so that they seldom ask for
    the same one.
    """

    def __init__(self, job_id, segment_count, node_id, lease_seconds):
        self.segment_count = segment_count
        self._lease_seconds = lease_seconds
        self._order = list(range(segment_count))
        random.Random(f"{node_id} {job_id}").shuffle(self._order)
        self._sighting_by_index = {}
        self._in_hand = set()
        self._taken = set()

    def observe(self, entry_by_index, now):
        """Take over headers by segment, each a pair of version and `WorkHeader`."""
        self._taken.clear()
        for index, (version, header) in entry_by_index.items():
            check_invariant(
                0 <= index < self.segment_count, "headers belong to known segments"
            )
            self._see(index, version, header, now)

    def begin_claim(self, now):
        """Return the next `Candidate` and mark it as in hand, or None."""
        for index in self._order:
            candidate = self._candidate(index, now)
            if candidate is not None:
                self._in_hand.add(index)
                return candidate
        return None

    def claim_lost(self, index):
        """Note that somebody else has the segment; it is asked for after a refresh."""
        self._in_hand.discard(index)
        self._taken.add(index)

    def claim_undecided(self, index):
        """Note that the claim of a segment was not decided."""
        self._in_hand.discard(index)

    def claim_ended(self, index, version, header, now):
        """Note how this node's own claim ended."""
        self._in_hand.discard(index)
        self._see(index, version, header, now)

    @property
    def has_unclaimed(self):
        """Whether there are segments that nobody is known to have claimed."""
        known = self._in_hand | self._taken | self._sighting_by_index.keys()
        return len(known) < self.segment_count

    @property
    def unfinished_count(self):
        """Number of segments that are not known to be final."""
        final = sum(s.header.is_final for s in self._sighting_by_index.values())
        return self.segment_count - final

    @property
    def is_finished(self):
        """Whether each segment is final."""
        return self.unfinished_count == 0

    @property
    def totals(self):
        """The `Totals` of the final segments."""
        return sum_headers(s.header for s in self._sighting_by_index.values())

    def closable_segments(self, now):
        """Return `Candidate` values of claims to close once the job is cancelled."""
        return [
            Candidate(index, sighting.version, sighting.header)
            for index, sighting in self._sighting_by_index.items()
            if index not in self._in_hand and self._may_steal(sighting)
        ]

    @property
    def has_holders(self):
        """Whether a segment is held by this node or by one seen within its lease."""
        return bool(self._in_hand) or any(
            sighting.header.state == WorkState.HELD.value
            for sighting in self._sighting_by_index.values()
        )

    def _see(self, index, version, header, now):
        known = self._sighting_by_index.get(index)
        unchanged_seconds = 0.0
        if known is not None:
            if version < known.version:
                return
            check_invariant(
                not known.header.is_final or version == known.version,
                "a final segment never changes",
            )
            if version == known.version:
                gap = min(now - known.seen_at, self._lease_seconds / 2)
                unchanged_seconds = known.unchanged_seconds + gap
        self._sighting_by_index[index] = _Sighting(
            version, header, now, unchanged_seconds
        )

    def _candidate(self, index, now):
        if index in self._in_hand or index in self._taken:
            return None
        sighting = self._sighting_by_index.get(index)
        if sighting is None:
            return Candidate(index, None, None)
        if not self._may_steal(sighting):
            return None
        return Candidate(index, sighting.version, sighting.header)

    def _may_steal(self, sighting):
        match WorkState(sighting.header.state):
            case WorkState.RELEASED:
                return True
            case WorkState.HELD:
                return sighting.unchanged_seconds >= self._lease_seconds
        return False
