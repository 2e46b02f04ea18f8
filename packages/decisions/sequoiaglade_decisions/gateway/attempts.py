"""What follows an endpoint's answer or failure: pass it on, try again, or give up."""

from enum import Enum
from typing import NamedTuple

# Refusals for want of room that one request takes before it is refused itself: each
# costs a round trip, and by then the fleet is full.
REFUSALS_MAX = 4


class Fault(Enum):
    """How an attempt at an endpoint failed."""

    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    BROKEN = "broken"
    FAILED = "failed"
    LATE = "late"


class NextStep(Enum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    REFUSE = "refuse"
    FAIL = "fail"


class AttemptCounts(NamedTuple):
    """How far a request has come.

    `run_count` counts the endpoints that may have run it, `refusal_count` those that
    provably have not.
    """

    run_count: int
    refusal_count: int


def next_step(route, progress, fault, seconds_left):
    """Return the `Next` step after `fault`.

    Answers the load pattern of endpoints that crash, refuse or lose answers under
    load. A request is sent again if it provably has not run, or if its route allows
    repetition and attempts are left; it is refused only if it has not run at all.

    >>> from sequoiaglade_decisions.gateway import Route, RouteKind
    >>> once = Route("r", "h", "/", RouteKind.UNSAFE, (("s", 1),), 5.0, 0.3)
    >>> next_step(once, AttemptCounts(1, 0), Fault.BROKEN, 4.0).value
    'fail'
    >>> next_step(once, AttemptCounts(0, 1), Fault.NOT_RUN, 4.0).value
    'retry'
    """
    given_up = NextStep.FAIL if progress.run_count else NextStep.REFUSE
    if seconds_left <= 0:
        return given_up
    match fault:
        case Fault.NOT_SENT | Fault.NOT_RUN:
            if progress.refusal_count >= REFUSALS_MAX:
                return given_up
            return NextStep.RETRY
        case Fault.BROKEN | Fault.FAILED:
            if route.is_repeatable and progress.run_count < route.attempts:
                return NextStep.RETRY
            return given_up
        case Fault.LATE:
            return given_up
