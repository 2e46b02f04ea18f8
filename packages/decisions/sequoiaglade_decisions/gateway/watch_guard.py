"""Whether a watch of the store has missed changes that another watch has told of.

The load pattern: the store is silent for a moment, too short for any call to time out,
while the watches of all nodes begin, as they do together after each change. These calls
are never answered, and a watch without an answer looks like one without changes.

Two others guard it. One ends often, so that it times out soon if it is lost as well,
but may read outdated data. The standby reads the newest data and is made once for each
change: watches that have waited their whole time begin at different times, and a short
silence takes few of them.
"""

from enum import Enum
from typing import NamedTuple

# How long one call of the guard that ends often waits. If the store did not receive it,
# it times out a second later; 3 seconds after a silence all changes have to be known.
GUARD_SECONDS = 1.8
# How much later than the guarded watch the standby begins. A silence that takes both
# takes a call of the other guard as well.
STANDBY_DELAY_SECONDS = GUARD_SECONDS
# How long only a guard may know a change. A change has to be known everywhere
# within 2 seconds; the rest is for the calls.
MISSED_SECONDS = 0.8


class WatchPosition(NamedTuple):
    """Up to which revision a watch has told changes, and since when its call waits.

    `waiting_since` is None while no call waits. `is_quiet` is whether the call before
    it waited its whole time without a change.
    """

    revision: int
    waiting_since: float | None
    is_quiet: bool = False


class GuardStep(Enum):
    """What to do about a change that a guard has told of."""

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


def standby_delay(position, covered_since, now):
    """Return in how many seconds the standby's call is due, None without one.

    `position` is the `WatchPosition` of the guarded watch, or None. `covered_since` is
    the `waiting_since` of the call that the last standby was made for.

    >>> round(standby_delay(WatchPosition(7, 4.0), None, now=5.0), 1)
    0.8
    >>> standby_delay(WatchPosition(7, 4.0), None, now=9.0)
    0.0
    >>> standby_delay(WatchPosition(7, 4.0), 4.0, now=9.0)
    >>> standby_delay(WatchPosition(7, 4.0, is_quiet=True), None, now=9.0)
    >>> standby_delay(WatchPosition(7, None), None, now=9.0)
    """
    if position is None or position.is_quiet:
        return None
    since = position.waiting_since
    if since is None or since == covered_since:
        return None
    return max(0.0, since + STANDBY_DELAY_SECONDS - now)
