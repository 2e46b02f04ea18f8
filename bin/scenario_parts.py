"""Divides the scenarios among processes and decides which of these starts next."""

import math
from typing import NamedTuple

# Longer features are divided, so that no process is left over at the end of a run.
PART_SECONDS = 45.0
# Load average by processor above which a machine is busy with other work.
BUSY_LOAD = 2.0
BUSY_WORKERS = 3


class Estimate(NamedTuple):
    """What one feature took in an earlier run, with all of its processes."""

    seconds: float
    processor_seconds: float


class Part(NamedTuple):
    """Scenarios of one feature that run in one process, by their lines.

    `seconds` and `processors` are expected values; the latter is the mean number of
    processors in use.
    """

    feature: str
    lines: tuple
    seconds: float
    processors: float


def divide(lines_by_feature, estimate_by_feature):
    """Return the parts of all features, the longest first.

    Features without an estimate come first, undivided. Each scenario is in one part.

    >>> parts = divide({"a": [3, 9, 12], "b": [4]}, {"a": Estimate(90.0, 45.0)})
    >>> [(part.feature, part.lines, part.processors) for part in parts]
    [('b', (4,), 1.0), ('a', (3, 12), 0.5), ('a', (9,), 0.5)]
    """
    unknown = Estimate(math.inf, math.inf)
    parts = []
    for feature, lines in lines_by_feature.items():
        estimate = estimate_by_feature.get(feature, unknown)
        parts += _divide_feature(feature, lines, estimate)
    return sorted(parts, key=lambda part: -part.seconds)


def _divide_feature(feature, lines, estimate):
    if not math.isfinite(estimate.seconds) or estimate.seconds <= 0.0:
        return [Part(feature, tuple(lines), math.inf, 1.0)]
    count = max(1, min(len(lines), math.ceil(estimate.seconds / PART_SECONDS)))
    processors = estimate.processor_seconds / estimate.seconds
    # Rows of an outline take about the same time; every part gets some of them.
    shares = [tuple(lines[number::count]) for number in range(count)]
    per_line = estimate.seconds / max(1, len(lines))
    return [Part(feature, share, per_line * len(share), processors) for share in shares]


def next_part(waiting, running, processors):
    """Return the part to start now, or None while those that run need the processors.

    It is the first that fits beside those that run into the given number of processors;
    beside nothing any part fits.

    >>> heavy, light = Part("a", (3,), 50.0, 2.0), Part("b", (4,), 20.0, 0.2)
    >>> next_part([heavy, light], [heavy], 3.0).feature
    'b'
    """
    if not running:
        return next(iter(waiting), None)
    free = processors - sum(part.processors for part in running)
    return next((part for part in waiting if part.processors <= free), None)


def allowed_workers(workers, load, processors):
    """Return how many processes may run at once at a load average.

    A machine that is busy with other work gets no more of them than it can bear, since
    scenarios with tight bounds would fail.

    >>> allowed_workers(6, load=9.0, processors=8)
    6
    >>> allowed_workers(6, load=30.0, processors=8)
    3
    """
    return min(workers, BUSY_WORKERS) if load > BUSY_LOAD * processors else workers
