"""Retry policy: what to do after an attempt at an endpoint has failed."""

from enum import Enum
from typing import NamedTuple

# A request is refused after this many refusals by endpoints without free capacity. Each
# costs a round trip, and after this many the whole fleet is likely to be full.
REFUSALS_MAX = 4


class Fault(Enum):
    """How an attempt at an endpoint failed.

    `NO_PATH` and `PATH_BROKEN` are failures on the way to the endpoint, not its own:
    with the former it did not get the request, with the latter it may have run it.
    """

    NO_PATH = "no path"
    PATH_BROKEN = "path broken"
    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    BROKEN = "broken"
    SILENT = "silent"
    FAILED = "failed"
    LATE = "late"


class NextStep(Enum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    REFUSE = "refuse"
    FAIL = "fail"


class AttemptCounts(NamedTuple):
    """Numbers of endpoints that a request has been sent to.

    `run_count` counts the endpoints that may have run the request, `refusal_count`
    those that certainly have not.
    """

    run_count: int
    refusal_count: int


def next_step(route, counts, fault, seconds_left):
    """Return the `NextStep` after `fault`.

    Endpoints crash, refuse requests or lose responses under load. A request is retried
    if it certainly has not run, or if its route allows repetition and attempts are
    left. It is refused only if no endpoint can have run it.

    >>> from sequoiaglade_decisions.gateway import Route, RouteKind
    >>> once = Route("r", "h", "/", RouteKind.UNSAFE, (("s", 1),), 5.0, 0.3)
    >>> next_step(once, AttemptCounts(1, 0), Fault.BROKEN, 4.0).value
    'fail'
    >>> next_step(once, AttemptCounts(0, 1), Fault.NOT_RUN, 4.0).value
    'retry'
    """
    final_step = NextStep.FAIL if counts.run_count else NextStep.REFUSE
    if seconds_left <= 0:
        return final_step
    match fault:
        case Fault.NO_PATH | Fault.NOT_SENT | Fault.NOT_RUN:
            if counts.refusal_count >= REFUSALS_MAX:
                return final_step
            return NextStep.RETRY
        case Fault.PATH_BROKEN | Fault.BROKEN | Fault.SILENT | Fault.FAILED:
            if route.is_repeatable and counts.run_count < route.attempts:
                return NextStep.RETRY
            return final_step
        case Fault.LATE:
            return final_step
