"""Policy for endpoints that send nothing for a while within a request."""

from enum import Enum

from .placement import QUEUE_ALLOWANCE

# An endpoint counts as silent after this time without a byte. The slowest endpoints
# that the sites describe need a third of it between two events.
SILENT_AFTER_SECONDS = 1.0
# Interval of further checks whether a place has become free at another endpoint.
SILENCE_CHECK_SECONDS = 0.25
# An endpoint that is silent for longer is unlikely to go on, so that a place in another
# endpoint's queue is better. Callers give a stream up after two seconds or more.
QUEUE_AFTER_SECONDS = 1.7


class SilenceStep(Enum):
    """What to do about a silent endpoint."""

    WAIT = "wait"
    FIND_PLACE = "find place"
    MOVE = "move"


def silence_step(route, run_count, seconds_left, has_place=None):
    """Return the `SilenceStep` for a request at a silent endpoint.

    A silent endpoint may go on at any time, or never. A request is only moved to a
    place that is already reserved at another endpoint; otherwise waiting is better.
    `run_count` is the number of endpoints that have run the request, with the silent
    one. `has_place` states whether a place is reserved, None if none has been sought.

    >>> from sequoiaglade_decisions.gateway import Route, RouteKind
    >>> route = Route("r", "h", "/", RouteKind.SAFE, (("s", 1),), 5.0, 0.3, attempts=2)
    >>> silence_step(route, 1, 4.0).value, silence_step(route, 2, 4.0).value
    ('find place', 'wait')
    >>> silence_step(route, 1, 4.0, has_place=True).value
    'move'
    >>> silence_step(route, 1, 4.0, has_place=False).value
    'wait'
    """
    may_move = route.is_repeatable and run_count < route.attempts and seconds_left > 0
    match has_place:
        case _ if not may_move:
            return SilenceStep.WAIT
        case None:
            return SilenceStep.FIND_PLACE
        case True:
            return SilenceStep.MOVE
    return SilenceStep.WAIT


def move_headroom(silent_seconds, priority):
    """Return the headroom with which to seek a place at another endpoint.

    The place is a free slot, or that of a batch item, and after a longer silence one in
    a queue, as for a new request of that priority.

    >>> move_headroom(1.0, 0), move_headroom(2.0, 0)
    (2, 0)
    """
    if silent_seconds < QUEUE_AFTER_SECONDS:
        return max(QUEUE_ALLOWANCE, priority)
    return priority
