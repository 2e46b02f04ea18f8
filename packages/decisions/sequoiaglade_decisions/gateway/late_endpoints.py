"""Which endpoints answered late or refused a request last.

Load pattern: the load of a whole service grows, so that most of its endpoints are late
at the same time. With fewer requests at one of them none would answer sooner.
"""

# An endpoint whose last answer was late counts as late for this time, after which
# callers give a stream up.
LATE_SECONDS = 2.0


class LateEndpoints:
    """The endpoints whose last answer was late, or that refused a request since.

    >>> late = LateEndpoints()
    >>> late.note("a", now=0.0)
    >>> [late.is_late("a", now) for now in (0.0, LATE_SECONDS)]
    [True, False]
    >>> [late.are_most_late(ids, now=1.0) for ids in (["a"], ["a", "b"])]
    [True, False]
    """

    def __init__(self):
        self._late_at_by_id = {}

    def note(self, endpoint_id, now):
        """Note an answer that was late, or a refusal."""
        self._late_at_by_id[endpoint_id] = now

    def note_in_time(self, endpoint_id):
        """Note an answer in time."""
        self._late_at_by_id.pop(endpoint_id, None)

    def is_late(self, endpoint_id, now):
        """Return whether an endpoint is late."""
        late_at = self._late_at_by_id.get(endpoint_id, float("-inf"))
        return now - late_at < LATE_SECONDS

    def are_most_late(self, endpoint_ids, now):
        """Return whether more than half of a list of endpoints are late."""
        late = sum(self.is_late(i, now) for i in endpoint_ids)
        return 2 * late > len(endpoint_ids)

    def forget(self, listed_ids):
        """Drop the endpoints that are not in `listed_ids`."""
        for endpoint_id in set(self._late_at_by_id) - listed_ids:
            del self._late_at_by_id[endpoint_id]
