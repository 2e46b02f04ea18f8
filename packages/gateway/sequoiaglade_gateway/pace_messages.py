"""Messages to the coordinator about the pace of endpoints."""

from typing import NamedTuple


class FirstEventObserved(NamedTuple):
    """The first event of an attempt arrived, `seconds` after it was sent.

    `lateness` is this time as a multiple of the route's latency objective.
    """

    endpoint_id: str
    seconds: float
    lateness: float


class WorkTimeNamed(NamedTuple):
    """An endpoint stated how long its work takes now, in per cent of the usual time."""

    endpoint_id: str
    percent: float
