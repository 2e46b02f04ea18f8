"""What schedulers told a node of endpoints' limits, for their successors.

Load pattern: a scheduler is replaced while it limits endpoints that have just started.
Its successor knows no limit, and would fill them up at once.
"""

from typing import NamedTuple

from .pace_limits import PaceLimit

# What schedulers told of limits is repeated to their successors within this time, which
# is longer than nodes take to agree on a successor.
TOLD_SECONDS = 5.0


class _Told(NamedTuple):
    pace: PaceLimit
    at: float


class ToldLimits:
    """The latest `PaceLimit` that schedulers told of each endpoint, and of when it is.

    >>> told = ToldLimits()
    >>> told.note(PaceLimit("a", 2.5), at=1.0)
    >>> [(p.endpoint_id, p.age_seconds) for p in told.notices(now=3.0)]
    [('a', 2.0)]
    >>> told.notices(now=1.0 + TOLD_SECONDS)
    ()
    """

    def __init__(self):
        self._told_by_id = {}

    def note(self, pace, at):
        """Note what a scheduler told, as of the time `at` of this node's clock."""
        self._told_by_id[pace.endpoint_id] = _Told(pace, at)

    def told_at(self, endpoint_id):
        """Return the time as of which a scheduler told last, minus infinity for never.

        That an endpoint has no limit counts as well.
        """
        told = self._told_by_id.get(endpoint_id)
        return float("-inf") if told is None else told.at

    def notices(self, now):
        """Return the limits that were told lately, with their ages; drop older ones."""
        if not self._told_by_id:
            return ()
        self._told_by_id = {
            endpoint_id: told
            for endpoint_id, told in self._told_by_id.items()
            if now - told.at < TOLD_SECONDS
        }
        return tuple(
            told.pace._replace(age_seconds=now - told.at)
            for told in self._told_by_id.values()
            if told.pace.requests
        )
