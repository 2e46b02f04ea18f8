"""Decides which revision is in force and whether it is recent enough to serve with.

Only the platform accepts changes, so a node may serve requests that need a key only
while it has evidence that its revision was the newest a short time ago. There are
three kinds of evidence, each valid as of some point in time:

- a read of the platform returned the node's own revision, as of the start of the read;
- a peer with the same revision has such evidence, as of the time of the node's query
  minus the age that the peer reports, so that clocks are never compared;
- most of the queried peers have found the platform to be failing, as of the oldest of
  these observations: while it fails for all nodes, no change can be accepted.

Evidence for a revision is void once a higher revision is known. Times are in seconds
of the node's monotonic clock.

Load pattern: reads that are late for a moment, as after a pause of the process or the
machine. A request that comes when the evidence has run out waits for the read that is
due, up to `CONFIRM_WAIT_SECONDS`, unless a read that began since has already ended.
"""

import math
from dataclasses import dataclass
from typing import NamedTuple

from ..outcomes import check_invariant

EVIDENCE_LIFETIME_SECONDS = 2.5
CONFIRM_INTERVAL_SECONDS = 1.0
CONFIRM_WAIT_SECONDS = 1.0
OUTAGE_SAMPLE = 8
OUTAGE_QUORUM = 0.75
NEVER = -math.inf


class PeerReport(NamedTuple):
    """A peer's revision, and the ages of its evidence and of its last failed read.

    `confirmed_age` is the age of its newest evidence, `failed_age` the time since the
    start of its last failed read of the platform; both are in seconds and may be
    infinite.
    """

    revision: int
    confirmed_age: float
    failed_age: float


@dataclass(frozen=True)
class _PeerQuery:
    """Time of the newest query to a peer and when that peer found the platform failing.

    `failing_at` is None if the peer did not answer or did not report a failure.
    """

    sent_at: float
    failing_at: float | None


class Follower:
    """State machine of one node's revision and of the evidence for it.

    `floor` is the highest revision known to be accepted. `read_at` is the time at which
    the newest read that has ended began.

    >>> follower = Follower()
    >>> follower.apply(3, asked_at=10.0)
    >>> follower.serve_until(peer_count=0)
    12.5
    >>> follower.platform_failed(asked_at=12.0)
    >>> follower.serve_until(peer_count=0), follower.serve_until(peer_count=None)
    (14.5, 12.5)
    """

    def __init__(self, floor=0):
        self.in_force = 0
        self.floor = floor
        self.confirmed_at = NEVER
        self.failed_at = NEVER
        self.read_at = NEVER
        self._peer_failure_at = NEVER
        self._query_by_peer = {}

    @property
    def is_failing(self):
        """Whether the platform has failed this node since its newest evidence."""
        return self.failed_at > self.confirmed_at

    @property
    def is_behind(self):
        """Whether a revision higher than the one in force is known to be accepted."""
        return self.floor > self.in_force

    def learn(self, revision):
        """Note that `revision` was accepted; return whether that raises the floor."""
        is_newer = revision > self.floor
        self.floor = max(self.floor, revision)
        return is_newer

    def apply(self, revision, asked_at):
        """Put a revision in force that was the platform's newest as of `asked_at`.

        Evidence for the previous revision remains valid: any accepted change that this
        revision lacks was lacking in the previous one too.
        """
        check_invariant(
            revision > self.in_force, "an applied revision is higher than the last"
        )
        self.in_force = revision
        self.learn(revision)
        self._confirm(revision, asked_at)

    def platform_gave(self, revision, asked_at):
        """Handle the revision returned by a platform read begun at `asked_at`."""
        self.learn(revision)
        self._confirm(revision, asked_at)

    def platform_failed(self, asked_at):
        """Handle the failure of a platform read begun at `asked_at`."""
        self.failed_at = max(self.failed_at, asked_at)

    def read_ended(self, asked_at):
        """Note that a read begun at `asked_at` has ended, with evidence or without."""
        self.read_at = max(self.read_at, asked_at)

    def peer_answered(self, peer, report, asked_at):
        """Handle a peer's `PeerReport` in response to a query sent at `asked_at`."""
        self.learn(report.revision)
        self._confirm(report.revision, asked_at - report.confirmed_age)
        is_failing = report.failed_age < report.confirmed_age
        failing_at = asked_at - report.failed_age if is_failing else None
        self._query_by_peer[peer] = _PeerQuery(asked_at, failing_at)
        if failing_at is not None:
            self._peer_failure_at = max(self._peer_failure_at, failing_at)

    def peer_silent(self, peer, asked_at):
        """Note that a peer did not respond to a query sent at `asked_at`."""
        self._query_by_peer[peer] = _PeerQuery(asked_at, None)

    def forget_before(self, time):
        """Discard queries sent before `time`."""
        queries = self._query_by_peer.items()
        self._query_by_peer = {p: q for p, q in queries if q.sent_at >= time}

    def serve_until(self, peer_count):
        """Return the time until which requests with a key may be served.

        `peer_count` is the number of other known nodes, or None while it is unknown;
        a failure of the platform is then never considered an outage for all nodes.
        """
        at = self.confirmed_at
        if not self.is_behind and self.in_force and peer_count is not None:
            at = max(at, self._outage_at(peer_count))
        return at + EVIDENCE_LIFETIME_SECONDS

    def is_read_due(self, now):
        """Whether the platform should be read again.

        A peer's report that the platform fails also makes a read due.
        """
        is_old = now - self.confirmed_at >= CONFIRM_INTERVAL_SECONDS
        return self.is_behind or is_old or self._peer_failure_at > self.confirmed_at

    def report(self, now):
        """Return the `PeerReport` of this node for its peers."""
        return PeerReport(self.in_force, now - self.confirmed_at, now - self.failed_at)

    def _confirm(self, revision, time):
        if revision == self.in_force and not self.is_behind:
            self.confirmed_at = max(self.confirmed_at, time)

    def _outage_at(self, peer_count):
        """Return the latest time at which the platform was failing for a quorum."""
        if not self.is_failing:
            return NEVER
        sample = min(peer_count, OUTAGE_SAMPLE)
        needed = math.ceil(OUTAGE_QUORUM * (sample + 1)) - 1
        recent = sorted(self._query_by_peer.values(), key=lambda q: -q.sent_at)[:sample]
        failing = [q.failing_at for q in recent if q.failing_at is not None]
        if len(recent) < sample or len(failing) < needed:
            return NEVER
        newest = sorted(failing, reverse=True)[:needed]
        return min([self.failed_at, *newest])
