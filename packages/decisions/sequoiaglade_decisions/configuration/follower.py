"""Decides which revision is in force and whether it is known well enough to serve.

A change is accepted by the platform alone, so a node may serve a request by its key
only while it has evidence that its revision was the newest a short time ago. There are
three kinds of evidence, each with the time for which it speaks:

- the platform gave the node's own revision to a read, as of the start of the read;
- a peer with the same revision has such evidence, as of the node's own question minus
  the age that the peer's answer states, so that clocks are never compared;
- most of the peers asked have found the platform failing for themselves, as of the
  oldest of these findings: while it fails for everybody, nothing can be accepted.

Evidence for a revision below a known higher one is worth nothing. Times are of one
monotonic clock, in seconds.
"""

import math
from dataclasses import dataclass
from typing import NamedTuple

from ..outcomes import check_invariant

EVIDENCE_LIFETIME_SECONDS = 2.5
CONFIRM_INTERVAL_SECONDS = 1.0
OUTAGE_SAMPLE = 8
OUTAGE_QUORUM = 0.75
NEVER = -math.inf


class PeerReport(NamedTuple):
    """A peer's answer: its revision and the ages of its evidence and of its failure.

    `confirmed_age` is the age of its newest evidence and `failed_age` that of the
    start of its last failed read of the platform; both may be infinite.
    """

    revision: int
    confirmed_age: float
    failed_age: float


@dataclass(frozen=True)
class Asked:
    """The newest question to a peer: when it was asked, and when the platform was
    found failing by that peer (None if the peer did not answer so)."""

    at: float
    failing_at: float | None


class Follower:
    """State machine of one node's revision and of the evidence for it.

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
        self._doubted_at = NEVER
        self._asked_by_peer = {}

    @property
    def is_failing(self):
        """Whether the platform has failed this node since its newest evidence."""
        return self.failed_at > self.confirmed_at

    @property
    def is_behind(self):
        """Whether a revision above the one in force is known to be accepted."""
        return self.floor > self.in_force

    def learn(self, revision):
        """Note that `revision` has been accepted; return whether that is news."""
        is_news = revision > self.floor
        self.floor = max(self.floor, revision)
        return is_news

    def apply(self, revision, asked_at):
        """Put a revision in force that was the platform's newest as of `asked_at`.

        Evidence for a lower revision counts on: what was accepted since then and is
        missing was missing before.
        """
        check_invariant(revision > self.in_force, "a lower revision was applied")
        self.in_force = revision
        self.learn(revision)
        self._confirm(revision, asked_at)

    def platform_gave(self, revision, asked_at):
        """Take the revision that a read of the platform, begun at `asked_at`, gave."""
        self.learn(revision)
        self._confirm(revision, asked_at)

    def platform_failed(self, asked_at):
        """Note that a read of the platform, begun at `asked_at`, failed."""
        self.failed_at = max(self.failed_at, asked_at)

    def peer_answered(self, peer, report, asked_at):
        """Take a peer's answer to a question of `asked_at`."""
        self.learn(report.revision)
        self._confirm(report.revision, asked_at - report.confirmed_age)
        is_failing = report.failed_age < report.confirmed_age
        failing_at = asked_at - report.failed_age if is_failing else None
        self._asked_by_peer[peer] = Asked(asked_at, failing_at)
        if failing_at is not None:
            self._doubted_at = max(self._doubted_at, failing_at)

    def peer_silent(self, peer, asked_at):
        """Note that a peer gave no answer to a question of `asked_at`."""
        self._asked_by_peer[peer] = Asked(asked_at, None)

    def forget_before(self, time):
        """Drop questions asked before `time`."""
        asked = self._asked_by_peer.items()
        self._asked_by_peer = {p: a for p, a in asked if a.at >= time}

    def serve_until(self, peer_count):
        """Return the time until which requests with a key may be served.

        `peer_count` is the number of other nodes that are known to be there, or None
        while nothing is known of them: no outage is then taken for everybody's.
        """
        at = self.confirmed_at
        if not self.is_behind and self.in_force and peer_count is not None:
            at = max(at, self._outage_at(peer_count))
        return at + EVIDENCE_LIFETIME_SECONDS

    def is_read_due(self, now):
        """Whether the platform should be read again.

        A peer that finds the platform failing is a reason to look for oneself.
        """
        is_old = now - self.confirmed_at >= CONFIRM_INTERVAL_SECONDS
        return self.is_behind or is_old or self._doubted_at > self.confirmed_at

    def report(self, now):
        """Return the `PeerReport` that this node gives to its peers."""
        return PeerReport(self.in_force, now - self.confirmed_at, now - self.failed_at)

    def _confirm(self, revision, time):
        if revision == self.in_force and not self.is_behind:
            self.confirmed_at = max(self.confirmed_at, time)

    def _outage_at(self, peer_count):
        """Return the time at which the platform was failing for a quorum."""
        if not self.is_failing:
            return NEVER
        sample = min(peer_count, OUTAGE_SAMPLE)
        needed = math.ceil(OUTAGE_QUORUM * (sample + 1)) - 1
        asked = sorted(self._asked_by_peer.values(), key=lambda a: -a.at)[:sample]
        failing = [a.failing_at for a in asked if a.failing_at is not None]
        if len(asked) < sample or len(failing) < needed:
            return NEVER
        newest = sorted(failing, reverse=True)[:needed]
        return min([self.failed_at, *newest])
