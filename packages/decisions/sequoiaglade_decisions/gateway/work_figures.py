"""What endpoints state of how long their work takes now.

Load pattern: endpoints share their machines with other processes, which take processor
time in bursts, so that an endpoint is several times slower for a fraction of a second.
"""

from typing import NamedTuple

# A figure says nothing after this time: it changes many times a second.
FIGURE_SECONDS = 1.0
# Weight of the newest figure in the moving average of an endpoint's figures, that of
# the interval between events in its pace.
FIGURE_WEIGHT = 0.1
# Bounds of a figure relative to the average of its endpoint, so that no figure alone
# excludes an endpoint.
FIGURE_FACTOR_MAX = 4.0
# The figure of an endpoint whose work takes as long as usual.
USUAL_PERCENT = 100.0


class _Figure(NamedTuple):
    percent: float
    at: float
    average: float


class WorkFigures:
    """The latest figure of each endpoint, in per cent of the usual time, and its age.

    >>> figures = WorkFigures()
    >>> figures.note("a", 300.0, now=0.0)
    True
    >>> [figures.factor("a", now) for now in (0.0, 0.5, 1.0)]
    [2.5, 1.75, 1.0]
    """

    def __init__(self):
        self._figure_by_id = {}

    def __bool__(self):
        return bool(self._figure_by_id)

    def __contains__(self, endpoint_id):
        return endpoint_id in self._figure_by_id

    def note(self, endpoint_id, percent, now, age=0.0):
        """Note a figure that is `age` seconds old; return whether it is the first."""
        figure = self._figure_by_id.get(endpoint_id)
        average = USUAL_PERCENT if figure is None else figure.average
        average += FIGURE_WEIGHT * (percent - average)
        if figure is None or figure.at <= now - age:
            self._figure_by_id[endpoint_id] = _Figure(percent, now - age, average)
        return figure is None

    def factor(self, endpoint_id, now):
        """Return how much longer work takes now than on average at this endpoint.

        It is relative to the endpoint's own figures, so that it corrects the measured
        pace, and a constant figure loses its effect, true or not. It loses its effect
        with its age.
        """
        figure = self._figure_by_id.get(endpoint_id)
        if figure is None or now - figure.at >= FIGURE_SECONDS or not figure.average:
            return 1.0
        factor = figure.percent / figure.average
        factor = min(max(factor, 1 / FIGURE_FACTOR_MAX), FIGURE_FACTOR_MAX)
        return 1.0 + (factor - 1.0) * (1.0 - (now - figure.at) / FIGURE_SECONDS)

    def forget(self, listed_ids):
        """Drop the figures of endpoints that are not in `listed_ids`."""
        self._figure_by_id = {
            i: figure for i, figure in self._figure_by_id.items() if i in listed_ids
        }
