"""Whether a watch of the store has missed changes that a second watch has told of.

The load pattern: the store is silent for a moment, too short for any call to time out,
while the watches of all nodes begin, as they do together after each change. These calls
are never answered, and a watch without an answer looks like one without changes.
"""

from enum import Enum
from typing import NamedTuple

# How long one call of the second watch waits. If the store did not receive the call, it
# times out a second later, and 3 seconds after a silence all changes have to be known.
GUARD_SECONDS = 1.8
# How long only the second watch may know a change. A change has to be known everywhere
# within 2 seconds; the rest is for the calls.
MISSED_SECONDS = 0.8


class WatchPosition(NamedTuple):
    """Up to which revision a watch has told changes, and since when its call waits.

    `waiting_since` is None while no call waits.
    """

    revision: int
    waiting_since: float | None


class GuardStep(Enum):
    """What to do about a change that the second watch has told of."""

    KNOWN = "known"
    WAIT = "wait"
    RENEW = "renew"


def guard_step(asked_revision, told_at, position, now):
    """Return the `GuardStep` for changes after `asked_revision`, told of at `told_at`.

    `position` is the `WatchPosition` of the guarded watch. A call of it that began
    after the changes is answered at once, unless it is lost as well.

    >>> guard_step(7, 10.0, WatchPosition(9, 10.1), now=10.2)
    <GuardStep.KNOWN: 'known'>
    >>> guard_step(7, 10.0, WatchPosition(7, 4.0), now=10.2)
    <GuardStep.WAIT: 'wait'>
    >>> guard_step(7, 10.0, WatchPosition(7, 4.0), now=10.8)
    <GuardStep.RENEW: 'renew'>
    >>> guard_step(7, 10.0, WatchPosition(7, 10.4), now=10.8)
    <GuardStep.WAIT: 'wait'>
    >>> guard_step(7, 10.0, WatchPosition(7, None), now=10.8)
    <GuardStep.WAIT: 'wait'>
    """
    if position.revision > asked_revision:
        return GuardStep.KNOWN
    since = position.waiting_since
    if since is None or now - max(since, told_at) < MISSED_SECONDS:
        return GuardStep.WAIT
    return GuardStep.RENEW
