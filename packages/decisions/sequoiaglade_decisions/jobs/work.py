"""Work headers: the holder of a segment of a job and the location of its results."""

from enum import Enum
from typing import NamedTuple

from .records import JsonRecord, Usage


class WorkState(str, Enum):
    """State of a segment that was claimed at least once.

    ``HELD``: a node holds the segment. ``RELEASED``: it may be claimed without waiting
    for a lease to expire, and has partial results. ``COMMITTED``: it has all its
    results. ``CLOSED``: its job was cancelled, and it accepts no further results.
    """

    HELD = "held"
    RELEASED = "released"
    COMMITTED = "committed"
    CLOSED = "closed"

    @property
    def is_final(self):
        """Whether the segment never changes again."""
        return self in (WorkState.COMMITTED, WorkState.CLOSED)


class _WorkFields(NamedTuple):
    claim_id: str
    node_id: str
    state: str
    started: tuple = ()
    output_parts: tuple = ()
    error_parts: tuple = ()
    completed: int = 0
    failed: int = 0
    usage: tuple = (0, 0)


class WorkHeader(JsonRecord, _WorkFields):
    """Header of the work on a segment, without the results themselves.

    `started` lists the numbers of unrepeatable items that may have been dispatched;
    `output_parts` and `error_parts` are the names of the objects with the results.
    """

    @property
    def is_final(self):
        """Whether the segment never changes again."""
        return WorkState(self.state).is_final


class Totals(NamedTuple):
    """Counts of a job's final results, summed over its segments."""

    completed: int = 0
    failed: int = 0
    usage: Usage = Usage()


def sum_headers(headers):
    """Return the `Totals` over those headers that are final.

    >>> header = WorkHeader("c", "n", "committed", completed=2, usage=(1, 5))
    >>> sum_headers([header, header]).usage
    Usage(prompt_tokens=2, completion_tokens=10)
    """
    totals = Totals()
    for header in headers:
        if header.is_final:
            totals = Totals(
                totals.completed + header.completed,
                totals.failed + header.failed,
                totals.usage.plus(header.usage),
            )
    return totals
