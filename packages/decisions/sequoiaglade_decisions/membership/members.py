"""Eventually consistent view of the fleet's nodes, maintained by gossip.

Each node sends requests to a few random peers a second. A reply or a request from a
peer shows that it is alive; a request without a reply is a failure. Status changes of
nodes are disseminated as marks, each sent a bounded number of times, so that messages
do not grow with the fleet. Observations are compared by their time: a later sign of
life overrides a failure and vice versa. No strict guarantee depends on this view.
"""

import math
from dataclasses import dataclass

from ..outcomes import check_invariant
from .states import Mark, MarkKind, PeerState

FANOUT = 2
MARKS_PER_MESSAGE = 8
MARK_RESEND_FACTOR = 3
DEAD_AFTER_SECONDS = 3.0
STATE_LIFETIME_SECONDS = 5.0
FORGET_SECONDS = 60.0
DEAD_PEER_PROBABILITY = 0.125
MAX_AGE_SECONDS = 86_400.0
NEVER = -math.inf


@dataclass
class Member:
    """The known status of one peer; times are by this node's clock."""

    incarnation: int = 0
    alive_at: float = NEVER
    failed_at: float = NEVER
    failed_since: float = math.inf
    leaving: bool = False
    state: PeerState | None = None
    state_received_at: float = NEVER

    @property
    def is_failed(self):
        """Whether the latest observation of the peer is a failure."""
        return self.failed_at > self.alive_at

    def is_dead(self, now):
        """Whether the peer has been failed for at least `DEAD_AFTER_SECONDS`."""
        return self.is_failed and now - self.failed_since >= DEAD_AFTER_SECONDS


class Members:
    """The peers of `node_id`; `rng` is a `random.Random` that selects peers."""

    def __init__(self, node_id, rng):
        self._node_id = node_id
        self._rng = rng
        self._announced = frozenset()
        self._member_by_id = {}
        self._send_count_by_id = {}

    def set_announced(self, node_ids, now):
        """Set the ids of the announced nodes.

        Other peers are forgotten `FORGET_SECONDS` after the last observation of them.
        """
        self._announced = frozenset(node_ids) - {self._node_id}
        for node_id in self._announced:
            if node_id not in self._member_by_id:
                self._member_by_id[node_id] = Member()
        for node_id, member in list(self._member_by_id.items()):
            gone = now - max(member.alive_at, member.failed_at) > FORGET_SECONDS
            if gone and node_id not in self._announced:
                self._drop(node_id)

    def observe_state(self, state, now):
        """Apply a peer's own state, a sign of life; return whether it is newer."""
        if state.node_id == self._node_id:
            return False
        member = self._member(state.node_id, state.incarnation)
        if member is None:
            return False
        self._note_alive(state.node_id, member, now)
        if state.leaving and not member.leaving:
            member.leaving = True
            self._queue_mark(state.node_id)
        known = member.state
        if known is not None and state.sequence <= known.sequence:
            return False
        member.state, member.state_received_at = state, now
        return True

    def note_no_answer(self, node_id, asked_at, now):
        """Record that a peer did not answer a request sent at `asked_at`."""
        member = self._member_by_id.get(node_id)
        if member is not None:
            self._note_failed(node_id, member, asked_at, now)

    def observe_marks(self, marks, now):
        """Apply marks about other nodes."""
        for mark in marks:
            if mark.node_id == self._node_id:
                continue
            member = self._member(mark.node_id, mark.incarnation)
            if member is not None:
                self._apply_mark(mark, member, now)

    def marks(self, now):
        """Return the marks to send next, least often sent first.

        One more mark repeats the status of a random failed or leaving node, so that
        nodes started later learn of it and nodes with later observations correct it.
        """
        limit = MARK_RESEND_FACTOR * math.ceil(math.log2(len(self._member_by_id) + 2))
        by_count = sorted(
            self._send_count_by_id, key=lambda i: (self._send_count_by_id[i], i)
        )
        chosen = by_count[: MARKS_PER_MESSAGE - 1]
        for node_id in chosen:
            self._send_count_by_id[node_id] += 1
        marks = [self._make_mark(node_id, now) for node_id in chosen]
        others = sorted(self.unusable() & self._announced - set(chosen))
        if others:
            marks.append(self._make_mark(self._rng.choice(others), now))
        for node_id in chosen:
            if self._send_count_by_id[node_id] >= limit:
                del self._send_count_by_id[node_id]
        check_invariant(len(marks) <= MARKS_PER_MESSAGE, "marks are bounded")
        return marks

    def choose_peers(self, now, count=FANOUT, include_dead=False):
        """Return up to `count` random peers to send requests to.

        A dead peer is included with `DEAD_PEER_PROBABILITY`, so that a healed partition
        is detected. With `include_dead` all announced peers are equally likely.
        """
        dead = [i for i, m in sorted(self._member_by_id.items()) if m.is_dead(now)]
        if include_dead:
            pool = sorted(self._announced)
        else:
            pool = sorted(set(self._member_by_id).difference(dead))
        chosen = self._rng.sample(pool, min(count, len(pool)))
        if dead and not include_dead and self._rng.random() < DEAD_PEER_PROBABILITY:
            chosen = [*chosen[: count - 1], self._rng.choice(dead)]
        return chosen

    def live(self, now):
        """Return the states of the peers that are not dead, ordered by node id.

        A state older than `STATE_LIFETIME_SECONDS` is returned without requests in
        flight and without waiting batch.
        """
        return [
            self._state_of(node_id, member, now)
            for node_id, member in sorted(self._member_by_id.items())
            if not member.is_dead(now)
        ]

    def unusable(self):
        """Return the ids of failed or leaving peers, not to be given to callers."""
        return frozenset(
            node_id
            for node_id, member in self._member_by_id.items()
            if member.is_failed or member.leaving
        )

    def dead_since(self, seconds, now):
        """Return the ids of announced peers that have been dead for `seconds`."""
        return sorted(
            node_id
            for node_id in self._announced
            if self._member_by_id[node_id].is_failed
            and now - self._member_by_id[node_id].failed_since >= seconds
        )

    def peers_with_revision(self, revision):
        """Return the ids of peers that reported `revision` or a higher one."""
        return sorted(
            node_id
            for node_id, member in self._member_by_id.items()
            if member.state is not None and member.state.revision >= revision
        )

    def _member(self, node_id, incarnation):
        """Return the member, or None if the incarnation is outdated.

        A newer incarnation replaces the member.
        """
        member = self._member_by_id.get(node_id)
        if member is None:
            member = self._member_by_id[node_id] = Member(incarnation)
        if incarnation < member.incarnation:
            return None
        if incarnation > member.incarnation:
            was_leaving = member.leaving
            member = self._member_by_id[node_id] = Member(
                incarnation, member.alive_at, member.failed_at, member.failed_since
            )
            if was_leaving:
                self._queue_mark(node_id)
        return member

    def _apply_mark(self, mark, member, now):
        at = now - mark.age
        match mark.kind:
            case MarkKind.ALIVE:
                self._note_alive(mark.node_id, member, at)
            case MarkKind.FAILED if at <= member.alive_at:
                self._queue_mark(mark.node_id, restart=False)
            case MarkKind.FAILED:
                self._note_failed(mark.node_id, member, at, at)
            case MarkKind.LEAVING if not member.leaving:
                member.leaving = True
                self._queue_mark(mark.node_id)

    def _note_alive(self, node_id, member, at):
        was_failed = member.is_failed
        member.alive_at = max(member.alive_at, at)
        if was_failed and not member.is_failed:
            member.failed_since = math.inf
            self._queue_mark(node_id)

    def _note_failed(self, node_id, member, at, since):
        was_failed = member.is_failed
        member.failed_at = max(member.failed_at, at)
        if member.is_failed and not was_failed:
            member.failed_since = since
            self._queue_mark(node_id)

    def _queue_mark(self, node_id, restart=True):
        if restart or node_id not in self._send_count_by_id:
            self._send_count_by_id[node_id] = 0

    def _make_mark(self, node_id, now):
        member = self._member_by_id[node_id]
        if member.leaving:
            return Mark(node_id, member.incarnation, MarkKind.LEAVING, 0.0)
        kind = MarkKind.FAILED if member.is_failed else MarkKind.ALIVE
        at = member.failed_at if member.is_failed else member.alive_at
        age = min(max(0.0, now - at), MAX_AGE_SECONDS)
        return Mark(node_id, member.incarnation, kind, age)

    def _state_of(self, node_id, member, now):
        if member.state is None:
            return PeerState(
                node_id, member.incarnation, 0, member.leaving, 0, math.inf, {}
            )
        if now - member.state_received_at > STATE_LIFETIME_SECONDS:
            return member.state._replace(
                in_flight_by_endpoint={},
                leaving=member.leaving,
                paying_batch_targets=(),
            )
        return member.state._replace(leaving=member.leaving)

    def _drop(self, node_id):
        del self._member_by_id[node_id]
        self._send_count_by_id.pop(node_id, None)
