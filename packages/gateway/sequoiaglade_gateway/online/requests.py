"""A request on its way through the attempts, and the stream that answers it."""

from typing import NamedTuple

from sequoiaglade_decisions.gateway import EventSplitter, Route

from ..endpoint_calls import EventStreamResponse
from ..interface import IncomingCall


class AdmittedRequest(NamedTuple):
    """An admitted request; `arrived_at` and `end_at` are monotonic time in seconds.

    `arrival_wait_seconds` is the time from its arrival until its handling began.
    `regions` are those in which it may be handled, empty for all.
    """

    call: IncomingCall
    body: bytes
    route: Route
    workspace: str | None
    priority: int
    service: str | None
    fingerprint: str
    arrived_at: float
    arrival_wait_seconds: float
    end_at: float
    version: int
    regions: frozenset[str] = frozenset()


class StartedStream(NamedTuple):
    """An event stream whose first events have been read."""

    answer: EventStreamResponse
    splitter: EventSplitter
    chunks: object
    events: list
