"""Metric counters of batch processing."""

_PREFIX = "sequoiaglade.batch"
_DESCRIPTION_BY_NAME = {
    "claims": "tries to claim a segment",
    "segments": "claims of segments that ended",
    "items": "items that ended",
    "attempts": "attempts of items that ended without a final result",
}


class BatchMeters:
    """Counters of claims, segments, items and attempts, each labelled by outcome.

    `counter` is a function that creates a counter from a name, unit and description.
    """

    def __init__(self, counter):
        self._counter_by_name = {
            name: counter(f"{_PREFIX}.{name}", f"{{{name[:-1]}}}", description)
            for name, description in _DESCRIPTION_BY_NAME.items()
        }

    def count(self, name, outcome, number=1):
        """Add `number` to the counter of ``claims``, ``segments`` or other events."""
        if number:
            self._counter_by_name[name].add(number, {"outcome": outcome})
