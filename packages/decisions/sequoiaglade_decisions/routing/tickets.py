"""Tickets: requests and batch items that need a slot at an endpoint."""

from enum import Enum, IntEnum
from math import inf
from typing import NamedTuple


class Priority(IntEnum):
    """Priorities of tickets, the most urgent first."""

    PAYING_ONLINE = 0
    TRIAL_ONLINE = 1
    PAYING_BATCH = 2
    TRIAL_BATCH = 3

    @property
    def is_batch(self):
        """Whether tickets of this priority yield to online requests."""
        return self >= Priority.PAYING_BATCH


class RunOutcome(Enum):
    """How a ticket ended, reported to the dispatcher on its release.

    ``DONE``: the complete answer arrived. ``REFUSED``: the endpoint refused before
    running. ``LEAVING``: it refused because it is leaving. ``UNREACHABLE``: no
    connection, no byte sent. ``FAILED``: an error, a timeout or an incomplete answer
    from an endpoint that still runs. ``CRASHED``: the connection broke while the
    request was in flight. ``HUNG_UP``: the caller disconnected or the job was
    cancelled. ``PREEMPTED``: the ticket yielded its slot. ``NOT_GRANTED``: it was
    rejected or withdrawn while waiting.
    """

    DONE = "done"
    REFUSED = "refused"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    FAILED = "failed"
    CRASHED = "crashed"
    HUNG_UP = "hung_up"
    PREEMPTED = "preempted"
    NOT_GRANTED = "not_granted"


class Ticket(NamedTuple):
    """A request or batch item that needs one slot.

    `target` names the model or service, `weight` is the share of the workspace within
    its priority, `deadline` the time by which it has to be granted, `excluded` the ids
    of endpoints on which it has already failed, and `affinity` a digest of the prompt's
    prefix for endpoints that cache prefixes. `due` orders the tickets of a workspace,
    the earliest first. `fingerprint` identifies requests that crash endpoints (see
    `poison`). A batch ticket is `preemptible` if its run may be stopped and repeated.
    Ids are unique over the lifetime of a node process.
    """

    ticket_id: str
    workspace: str
    target: str
    priority: Priority
    deadline: float
    weight: float = 1.0
    excluded: frozenset = frozenset()
    affinity: str | None = None
    due: float = inf
    fingerprint: str | None = None
    preemptible: bool = True
