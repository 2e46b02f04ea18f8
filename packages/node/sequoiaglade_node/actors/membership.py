"""Owns the state of the other nodes."""

import random
import time

import pykka

from sequoiaglade_decisions.membership import FANOUT, Members, PeerState


class MembershipActor(pykka.ThreadingActor):
    """Keeps the known state of each peer and this node's own state."""

    def __init__(self, node_id, incarnation):
        super().__init__()
        self._node_id = node_id
        self._incarnation = incarnation
        self._members = Members(node_id, random.Random())
        self._sequence = 0
        self._leaving = False

    def leave(self):
        """Mark this node as leaving."""
        self._leaving = True

    def publish(self, report, in_flight_by_endpoint, paying_batch_targets=()):
        """Return this node's next `PeerState` and the marks to send with it."""
        self._sequence += 1
        state = PeerState(
            self._node_id,
            self._incarnation,
            self._sequence,
            self._leaving,
            report.revision,
            report.confirmed_age,
            in_flight_by_endpoint,
            report.failed_age,
            tuple(paying_batch_targets),
        )
        return state, self._members.marks(time.monotonic())

    def set_announced(self, node_ids):
        """Set the ids of the announced nodes."""
        self._members.set_announced(node_ids, time.monotonic())

    def observe_states(self, states, marks):
        """Record states and marks of peers."""
        now = time.monotonic()
        for state in states:
            self._members.observe_state(state, now)
        self._members.observe_marks(marks, now)

    def note_no_answer(self, node_ids, asked_at):
        """Record peers that did not answer."""
        now = time.monotonic()
        for node_id in node_ids:
            self._members.note_no_answer(node_id, asked_at, now)

    def choose_peers(self, count=FANOUT, include_dead=False):
        """Return the ids of the peers to ask next."""
        return self._members.choose_peers(time.monotonic(), count, include_dead)

    def live(self):
        """Return the states of the peers that are not dead."""
        return self._members.live(time.monotonic())

    def unusable(self):
        """Return the ids of the peers that callers should not use."""
        return self._members.unusable()

    def peers_with_revision(self, revision):
        """Return the ids of peers that have `revision` or a higher one."""
        return self._members.peers_with_revision(revision)

    def dead_since(self, seconds):
        """Return the ids of announced peers that have been dead for `seconds`."""
        return self._members.dead_since(seconds, time.monotonic())
