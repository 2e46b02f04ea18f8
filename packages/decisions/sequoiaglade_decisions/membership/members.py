"""Soft view of the fleet's nodes, spread by gossip.

Each node asks a few random peers a second. An answer, or a question from the peer, is
proof of life; a question without an answer is a failure. Changes of a node's standing
spread as marks, each sent a bounded number of times, so that a node's messages do not
grow with the fleet. Evidence is compared by its time: a later proof of life outweighs
a failure and the other way round. Nothing strict rests on this view.
"""

import math
from dataclasses import dataclass

from ..outcomes import check_invariant
from .states import Mark, MarkKind, PeerState

FANOUT = 2
MARKS_PER_MESSAGE = 8
MARK_RESENDS = 3
SUSPECT_SECONDS = 3.0
STATE_KEEP_SECONDS = 5.0
FORGET_SECONDS = 60.0
DEAD_TARGET_PROBABILITY = 0.125
LONGEST_AGE_SECONDS = 86_400.0
NEVER = -math.inf


@dataclass
class Member:
    """What is known of one peer; times are those of this node's clock."""

    incarnation: int = 0
    alive_at: float = NEVER
    failed_at: float = NEVER
    failed_since: float = math.inf
    leaving: bool = False
    state: PeerState | None = None
    heard_at: float = NEVER

    @property
    def is_failed(self):
        """Whether the newest evidence speaks against the peer."""
        return self.failed_at > self.alive_at

    def is_dead(self, now):
        """Whether the peer has been failed for longer than a suspicion lasts."""
        return self.is_failed and now - self.failed_since >= SUSPECT_SECONDS


class Members:
    """The peers of `node_id`; `rng` chooses whom to ask."""

    def __init__(self, node_id, rng):
        self._node_id = node_id
        self._rng = rng
        self._announced = frozenset()
        self._member_by_id = {}
        self._sent_by_id = {}

    def set_announced(self, node_ids, now):
        """Take the ids of the announced nodes."""
        self._announced = frozenset(node_ids) - {self._node_id}
        for node_id in self._announced:
            if node_id not in self._member_by_id:
                self._member_by_id[node_id] = Member()
        for node_id, member in list(self._member_by_id.items()):
            gone = now - max(member.alive_at, member.failed_at) > FORGET_SECONDS
            if gone and node_id not in self._announced:
                self._drop(node_id)

    def observe_state(self, state, now):
        """Take a peer's own state as proof of life; return whether it is newer."""
        if state.node_id == self._node_id:
            return False
        member = self._member(state.node_id, state.incarnation)
        if member is None:
            return False
        self._prove(state.node_id, member, now)
        if state.leaving and not member.leaving:
            member.leaving = True
            self._spread(state.node_id)
        known = member.state
        if known is not None and state.sequence <= known.sequence:
            return False
        member.state, member.heard_at = state, now
        return True

    def note_no_answer(self, node_id, asked_at, now):
        """Note that a peer did not answer a question of `asked_at`."""
        member = self._member_by_id.get(node_id)
        if member is not None:
            self._fail(node_id, member, asked_at, now)

    def observe_marks(self, marks, now):
        """Take marks of third nodes."""
        for mark in marks:
            if mark.node_id == self._node_id:
                continue
            member = self._member(mark.node_id, mark.incarnation)
            if member is not None:
                self._hear_mark(mark, member, now)

    def marks(self, now):
        """Return the marks to send next, those sent least often first.

        One more names some failed or leaving node again, so that nodes which started
        later hear of it and those which know better say so.
        """
        limit = MARK_RESENDS * math.ceil(math.log2(len(self._member_by_id) + 2))
        by_count = sorted(self._sent_by_id, key=lambda i: (self._sent_by_id[i], i))
        chosen = by_count[: MARKS_PER_MESSAGE - 1]
        for node_id in chosen:
            self._sent_by_id[node_id] += 1
        marks = [self._mark(node_id, now) for node_id in chosen]
        others = sorted(self.unusable() & self._announced - set(chosen))
        if others:
            marks.append(self._mark(self._rng.choice(others), now))
        for node_id in chosen:
            if self._sent_by_id[node_id] >= limit:
                del self._sent_by_id[node_id]
        check_invariant(len(marks) <= MARKS_PER_MESSAGE, "marks are bounded")
        return marks

    def choose_peers(self, now, count=FANOUT, include_dead=False):
        """Return up to `count` peers to ask, at random.

        Dead ones are asked now and then, so that a healed partition is noticed;
        with `everybody` they are as likely as the others.
        """
        dead = [i for i, m in sorted(self._member_by_id.items()) if m.is_dead(now)]
        if include_dead:
            pool = sorted(self._announced)
        else:
            pool = sorted(set(self._member_by_id).difference(dead))
        chosen = self._rng.sample(pool, min(count, len(pool)))
        if dead and not include_dead and self._rng.random() < DEAD_TARGET_PROBABILITY:
            chosen = [*chosen[: count - 1], self._rng.choice(dead)]
        return chosen

    def live(self, now):
        """Return the states of the peers that are not dead, ordered by node id.

        A peer not heard itself lately has a state without work in flight.
        """
        return [
            self._state(node_id, member, now)
            for node_id, member in sorted(self._member_by_id.items())
            if not member.is_dead(now)
        ]

    def unusable(self):
        """Return the ids of the peers that callers should not be sent to."""
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
        """Return the ids of peers that said to have `revision` or a higher one."""
        return sorted(
            node_id
            for node_id, member in self._member_by_id.items()
            if member.state is not None and member.state.revision >= revision
        )

    def _member(self, node_id, incarnation):
        """Return the member if the incarnation isn't outdated; start a newer one."""
        member = self._member_by_id.get(node_id)
        if member is None:
            member = self._member_by_id[node_id] = Member(incarnation)
        if incarnation < member.incarnation:
            return None
        if incarnation > member.incarnation:
            was_left = member.leaving
            member = self._member_by_id[node_id] = Member(
                incarnation, member.alive_at, member.failed_at, member.failed_since
            )
            if was_left:
                self._spread(node_id)
        return member

    def _hear_mark(self, mark, member, now):
        at = now - mark.age
        match mark.kind:
            case MarkKind.ALIVE:
                self._prove(mark.node_id, member, at)
            case MarkKind.FAILED if at <= member.alive_at:
                self._spread(mark.node_id, again=False)
            case MarkKind.FAILED:
                self._fail(mark.node_id, member, at, at)
            case MarkKind.LEAVING if not member.leaving:
                member.leaving = True
                self._spread(mark.node_id)

    def _prove(self, node_id, member, at):
        was_failed = member.is_failed
        member.alive_at = max(member.alive_at, at)
        if was_failed and not member.is_failed:
            member.failed_since = math.inf
            self._spread(node_id)

    def _fail(self, node_id, member, at, since):
        was_failed = member.is_failed
        member.failed_at = max(member.failed_at, at)
        if member.is_failed and not was_failed:
            member.failed_since = since
            self._spread(node_id)

    def _spread(self, node_id, again=True):
        if again or node_id not in self._sent_by_id:
            self._sent_by_id[node_id] = 0

    def _mark(self, node_id, now):
        member = self._member_by_id[node_id]
        if member.leaving:
            return Mark(node_id, member.incarnation, MarkKind.LEAVING, 0.0)
        kind = MarkKind.FAILED if member.is_failed else MarkKind.ALIVE
        at = member.failed_at if member.is_failed else member.alive_at
        age = min(max(0.0, now - at), LONGEST_AGE_SECONDS)
        return Mark(node_id, member.incarnation, kind, age)

    def _state(self, node_id, member, now):
        if member.state is None:
            return PeerState(
                node_id, member.incarnation, 0, member.leaving, 0, math.inf, {}
            )
        if now - member.heard_at > STATE_KEEP_SECONDS:
            return member.state._replace(
                in_flight_by_endpoint={},
                leaving=member.leaving,
                paying_batch_targets=(),
            )
        return member.state._replace(leaving=member.leaving)

    def _drop(self, node_id):
        del self._member_by_id[node_id]
        self._sent_by_id.pop(node_id, None)
