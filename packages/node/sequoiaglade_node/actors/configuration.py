"""Owns the decision on which revision is in force and how recently it was confirmed."""

import time

import pykka
import structlog

from sequoiaglade_decisions.configuration import EVIDENCE_LIFETIME_SECONDS

from ..configuration.holder import RevisionInForce


class ConfigurationActor(pykka.ThreadingActor):
    """Passes events to the `Follower` and updates the snapshot holder.

    `wake` is set when the platform should be read now, and `listeners` are called with
    each newer snapshot.
    """

    def __init__(self, follower, holder, wake, listeners, journal, floor_file):
        super().__init__()
        self._holder = holder
        self._wake = wake
        self._listeners = listeners
        self._journal = journal
        self._floor_file = floor_file
        self._follower = follower
        self._peer_count = None

    def apply(self, held, asked_at):
        """Put `held` in force, unless the same or a higher revision is already."""
        if held.root.number <= self._follower.in_force:
            return
        self._follower.apply(held.root.number, asked_at)
        self._floor_file.write(held.root.number)
        self._decide(held)
        for listener in self._listeners:
            listener(held.snapshot)
        number = held.root.number
        subject = f"revision-{number}"
        change_id = held.revision.change_id
        self._journal.record(
            "configuration", subject, "newer_revision", "applied", change_id=change_id
        )
        structlog.get_logger().info("revision applied", revision=number)

    def learn(self, number):
        """Record that a revision is accepted; return whether that was unknown."""
        was_unknown = self._follower.learn(number)
        self._decide()
        return was_unknown

    def platform_gave(self, number, asked_at):
        """Record the revision number that a read of the root returned."""
        self._follower.platform_gave(number, asked_at)
        self._decide()

    def platform_failed(self, asked_at):
        """Record a failed read of the root."""
        self._follower.platform_failed(asked_at)
        self._decide()

    def read_ended(self, asked_at):
        """Record that a read of the root and what it led to have ended."""
        self._follower.read_ended(asked_at)
        self._decide()

    def peers_answered(self, report_by_peer, silent_peers, asked_at):
        """Record the answers to a gossip round that started at `asked_at`."""
        for peer, report in report_by_peer.items():
            self._follower.peer_answered(peer, report, asked_at)
        for peer in silent_peers:
            self._follower.peer_silent(peer, asked_at)
        self._follower.forget_before(asked_at - 4 * EVIDENCE_LIFETIME_SECONDS)
        self._decide()

    def set_peer_count(self, count):
        """Set the number of other known nodes."""
        self._peer_count = count
        self._decide()

    def report(self):
        """Return the current `PeerReport` for a peer."""
        return self._follower.report(time.monotonic())

    def is_read_due(self):
        """Return whether the platform should be read now."""
        return self._follower.is_read_due(time.monotonic())

    def is_behind(self):
        """Return whether a higher revision than the one in force is known."""
        return self._follower.is_behind

    def floor(self):
        """Return the highest revision known to be accepted."""
        return self._follower.floor

    def is_failing(self):
        """Return whether the platform has failed since the newest evidence."""
        return self._follower.is_failing

    def confirmed_age(self):
        """Return the age of the newest evidence, in seconds."""
        return time.monotonic() - self._follower.confirmed_at

    def _decide(self, held=None):
        serve_until = self._follower.serve_until(self._peer_count)
        self._holder.replace(
            RevisionInForce(
                held or self._holder.held, serve_until, self._follower.read_at
            )
        )
        if self._follower.is_read_due(time.monotonic()):
            self._wake.set()
