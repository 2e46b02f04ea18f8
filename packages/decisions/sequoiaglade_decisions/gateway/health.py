"""Which endpoints are avoided after failures, and how fast each one is."""

from typing import NamedTuple

# How long an endpoint is avoided after its first failure in a row; doubled with each
# further one, up to the maximum. An endpoint is back some seconds after a crash.
AVOID_SECONDS = 0.5
AVOID_MAX_SECONDS = 4.0
# Weight of the newest pause between events in an endpoint's average.
PACE_WEIGHT = 0.1
# An endpoint counts as slow by at most this factor.
PACE_RATIO_MAX = 8.0
# An endpoint counts as fast by at least this factor.
PACE_RATIO_MIN = 0.5


class _Avoided(NamedTuple):
    failures: int
    until: float


class EndpointHealth:
    """Failures and pace of endpoints, as seen by those that call them.

    >>> health = EndpointHealth()
    >>> health.note_failure("a", now=0.0)
    >>> health.is_available("a", now=0.4), health.is_available("a", now=0.5)
    (False, True)
    """

    def __init__(self):
        self._avoided_by_id = {}
        self._pace_by_id = {}
        self._typical_pace = 0.0

    def note_success(self, endpoint_id):
        """Forget earlier failures of an endpoint that has answered."""
        self._avoided_by_id.pop(endpoint_id, None)

    def note_failure(self, endpoint_id, now):
        """Avoid an endpoint that could not be reached or broke off."""
        failures = self._avoided(endpoint_id).failures + 1
        seconds = min(AVOID_SECONDS * 2 ** (failures - 1), AVOID_MAX_SECONDS)
        self._avoided_by_id[endpoint_id] = _Avoided(failures, now + seconds)

    def note_full(self, endpoint_id, now):
        """Avoid for a moment an endpoint that refused for want of room."""
        avoided = self._avoided(endpoint_id)
        until = max(avoided.until, now + AVOID_SECONDS / 4)
        self._avoided_by_id[endpoint_id] = _Avoided(avoided.failures, until)

    def note_pace(self, endpoint_id, seconds):
        """Take the pause between two events of a stream."""
        pace = self._pace_by_id.get(endpoint_id, seconds)
        self._pace_by_id[endpoint_id] = pace + PACE_WEIGHT * (seconds - pace)
        paces = sorted(self._pace_by_id.values())
        self._typical_pace = paces[len(paces) // 2]

    def is_available(self, endpoint_id, now):
        """Return whether an endpoint is not avoided after failures."""
        return self._avoided(endpoint_id).until <= now

    def open_ones(self, endpoints, now, excluded=frozenset()):
        """Return the endpoints to choose from: all but `excluded` if none is open."""
        allowed = [e for e in endpoints if e.endpoint_id not in excluded]
        return [e for e in allowed if self.is_available(e.endpoint_id, now)] or allowed

    def pace_ratio(self, endpoint_id):
        """Return how many times slower an endpoint is than a typical one."""
        pace = self._pace_by_id.get(endpoint_id)
        if pace is None or len(self._pace_by_id) < 2 or self._typical_pace <= 0:
            return 1.0
        ratio = pace / self._typical_pace
        return min(max(ratio, PACE_RATIO_MIN), PACE_RATIO_MAX)

    def _avoided(self, endpoint_id):
        return self._avoided_by_id.get(endpoint_id, _Avoided(0, 0.0))
