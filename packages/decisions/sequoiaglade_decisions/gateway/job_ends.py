"""Whether an item may be sent, by the age of the knowledge that its job has not ended.

The load pattern: after a burst or an outage, items wait for slots long after their job
was accepted, and the job is ended meanwhile. A watch of the store tells nothing while
it waits, and its response may be lost.
"""

from enum import Enum

# An item has to reach its endpoint within 3 seconds of the acknowledged end of its job;
# the rest is for the way to the endpoint.
KNOWN_AGE_MAX_SECONDS = 2.0
# Interval of questions to a store that does not answer. Ends cannot be acknowledged
# during an outage of the store.
FAILED_AGE_MAX_SECONDS = 1.0
# Maximum age of what a node tells its peers, so that they know it for another second.
TOLD_AGE_MAX_SECONDS = 1.0


class SendDecision(Enum):
    """What to do with an item that is about to be sent."""

    SEND = "send"
    ASK = "ask the store for ends first"
    SEND_UNCONFIRMED = "send, since the store answers no node"


def may_know_ends(state):
    """Return whether the node of a `NodeState` may be asked for ends.

    >>> from sequoiaglade_decisions.gateway import NodeState
    >>> may_know_ends(NodeState("a", 1, 1))
    True
    >>> may_know_ends(NodeState("a", 1, 1, is_store_reachable=False))
    False
    """
    return state.is_store_reachable and not state.is_leaving


class EndsKnowledge:
    """Until when a node knows of all ends of jobs.

    Times are in seconds of a clock that also advances while the machine is suspended.

    >>> knowledge = EndsKnowledge()
    >>> knowledge.decide(accepted_at=10.0, now=11.0), knowledge.decide(None, now=11.0)
    (<SendDecision.SEND: 'send'>, <SendDecision.ASK: 'ask the store for ends first'>)
    >>> knowledge.note_answer(asked_at=20.0)
    >>> knowledge.decide(accepted_at=10.0, now=21.9).name
    'SEND'
    >>> knowledge.decide(accepted_at=10.0, now=22.1).name
    'ASK'
    >>> knowledge.note_failure(now=22.2)
    >>> knowledge.decide(accepted_at=10.0, now=22.5).name
    'SEND_UNCONFIRMED'
    >>> knowledge.decide(accepted_at=10.0, now=23.3).name
    'ASK'
    """

    def __init__(self):
        self._answered_at = None
        self._failed_at = None

    def note_answer(self, asked_at):
        """Record that all ends before a question are known.

        The store is asked, or a peer, which tells what it knew before the question.
        """
        self._failed_at = None
        if self._answered_at is None or asked_at > self._answered_at:
            self._answered_at = asked_at

    def note_failure(self, now):
        """Record that neither the store nor a peer answered a question."""
        self._failed_at = now

    def told_age(self, now):
        """Return the age in seconds of what a peer may be told, None if too old.

        >>> knowledge = EndsKnowledge()
        >>> knowledge.note_answer(asked_at=20.0)
        >>> knowledge.told_age(now=20.5), knowledge.told_age(now=21.5)
        (0.5, None)
        """
        age = self.age(None, now)
        return None if age is None or age > TOLD_AGE_MAX_SECONDS else age

    def has_failed(self, now):
        """Return whether the last question was not answered, and was asked just now."""
        if self._failed_at is None:
            return False
        return now - self._failed_at <= FAILED_AGE_MAX_SECONDS

    def age(self, accepted_at, now):
        """Return the seconds since a job was known not to have ended, None if never.

        `accepted_at` is when this node stored the job, None if another node did.
        """
        times = [t for t in (accepted_at, self._answered_at) if t is not None]
        return now - max(times) if times else None

    def decide(self, accepted_at, now):
        """Return the `SendDecision` for an item of a job that is not known as ended."""
        age = self.age(accepted_at, now)
        if age is not None and age <= KNOWN_AGE_MAX_SECONDS:
            return SendDecision.SEND
        if self.has_failed(now):
            return SendDecision.SEND_UNCONFIRMED
        return SendDecision.ASK
