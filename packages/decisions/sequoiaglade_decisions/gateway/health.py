"""Endpoints to avoid after failures, and the relative speed of endpoints."""

from typing import NamedTuple

# Time for which an endpoint is avoided after a first failure; it doubles with each
# consecutive failure up to the maximum. A crashed endpoint restarts within seconds.
AVOID_SECONDS = 0.5
AVOID_MAX_SECONDS = 4.0
# The maximum for an endpoint whose concurrent requests are limited after failures: it
# is tried again with one request instead of as many as it has slots.
AVOID_MAX_SECONDS_LIMITED = 1.0
# Time for which an endpoint is avoided after each report of a silence; reports are
# repeated within half of it while the silence lasts.
SILENCE_AVOID_SECONDS = 0.5
# Weight of the newest interval in the moving average of an endpoint's pace.
PACE_WEIGHT = 0.1
# Bounds of an endpoint's pace relative to a typical one.
PACE_RATIO_MAX = 8.0
PACE_RATIO_MIN = 0.5


class _Avoidance(NamedTuple):
    failures: int
    until: float


class EndpointHealth:
    """Failures and pace of endpoints, as observed by their callers.

    The pace of an endpoint is the mean interval between the events of its streams, in
    seconds.

    >>> health = EndpointHealth()
    >>> health.note_failure("a", now=0.0)
    >>> health.is_available("a", now=0.4), health.is_available("a", now=0.5)
    (False, True)
    """

    def __init__(self):
        self._avoidance_by_id = {}
        self._pace_by_id = {}
        self._typical_pace = 0.0

    def note_success(self, endpoint_id):
        """Reset the failures of an endpoint that has answered."""
        self._avoidance_by_id.pop(endpoint_id, None)

    def note_failure(self, endpoint_id, now, is_limited=False):
        """Avoid an endpoint that could not be reached or broke the connection.

        `is_limited` is whether its concurrent requests are limited from now on.
        """
        failures = self._avoidance(endpoint_id).failures + 1
        longest = AVOID_MAX_SECONDS_LIMITED if is_limited else AVOID_MAX_SECONDS
        seconds = min(AVOID_SECONDS * 2 ** (failures - 1), longest)
        self._avoidance_by_id[endpoint_id] = _Avoidance(failures, now + seconds)

    def note_full(self, endpoint_id, now):
        """Avoid an endpoint briefly that refused a request for lack of capacity."""
        self._avoid(endpoint_id, now + AVOID_SECONDS / 4)

    def note_silence(self, endpoint_id, now):
        """Avoid an endpoint briefly at which a request waits for data.

        It is not a failure: the endpoint may go on at any time.

        >>> health = EndpointHealth()
        >>> health.note_silence("a", now=0.0)
        >>> health.note_failure("a", now=0.0)
        >>> health.is_available("a", now=0.4), health.is_available("a", now=0.5)
        (False, True)
        """
        self._avoid(endpoint_id, now + SILENCE_AVOID_SECONDS)

    def note_pace(self, endpoint_id, seconds):
        """Add the interval between two events of a stream to the endpoint's pace."""
        pace = self._pace_by_id.get(endpoint_id, seconds)
        self._pace_by_id[endpoint_id] = pace + PACE_WEIGHT * (seconds - pace)
        paces = sorted(self._pace_by_id.values())
        self._typical_pace = paces[len(paces) // 2]

    def interval_ratio(self, seconds):
        """Return an interval between events divided by the median pace.

        It is 1 while too few endpoints are known to tell what is usual.
        """
        is_known = len(self._pace_by_id) > 2 and self._typical_pace > 0
        return seconds / self._typical_pace if is_known else 1.0

    def is_available(self, endpoint_id, now):
        """Return whether an endpoint is not being avoided."""
        return self._avoidance(endpoint_id).until <= now

    def candidates(self, endpoints, now, excluded=frozenset()):
        """Return the available endpoints not in `excluded`.

        If none of these is available, return all that are not in `excluded`.
        """
        allowed = [e for e in endpoints if e.endpoint_id not in excluded]
        return [e for e in allowed if self.is_available(e.endpoint_id, now)] or allowed

    def pace_ratio(self, endpoint_id):
        """Return an endpoint's pace divided by the median pace; above 1 is slower."""
        pace = self._pace_by_id.get(endpoint_id)
        if pace is None or len(self._pace_by_id) < 2 or self._typical_pace <= 0:
            return 1.0
        ratio = pace / self._typical_pace
        return min(max(ratio, PACE_RATIO_MIN), PACE_RATIO_MAX)

    def _avoid(self, endpoint_id, until):
        avoidance = self._avoidance(endpoint_id)
        until = max(avoidance.until, until)
        self._avoidance_by_id[endpoint_id] = _Avoidance(avoidance.failures, until)

    def _avoidance(self, endpoint_id):
        return self._avoidance_by_id.get(endpoint_id, _Avoidance(0, 0.0))
