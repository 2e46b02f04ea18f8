"""Decisions of the gateway: routes, placement, quotas, nodes, retries and batch jobs.

Everything here is free of input and output. Times are seconds of the monotonic clock
unless a name says otherwise, and come in as arguments.
"""

from .attempts import Fault, Next, Progress, next_step
from .endpoints import Endpoint, EndpointDirectory
from .events import Event, EventSplitter
from .exclusive import Contacts
from .hashing import rank
from .jobs import Batch, Item, ItemEnd, JobSpec, Result, job_key
from .nodes import JobNote, NodeState, NodeTable, job_holder
from .orphans import Orphans
from .pages import ResultPages
from .placement import DEFAULT_SLOTS, Full, Loads, Placed
from .quarantine import Quarantine
from .quotas import FleetQuotas
from .routes import (
    FleetConfiguration,
    Route,
    RouteKind,
    Service,
    Workspace,
)
from .shares import RESERVE_SLOTS, batch_allowance, batch_targets

__all__ = [
    "DEFAULT_SLOTS",
    "RESERVE_SLOTS",
    "Batch",
    "Contacts",
    "Endpoint",
    "EndpointDirectory",
    "Event",
    "EventSplitter",
    "Fault",
    "FleetConfiguration",
    "FleetQuotas",
    "Full",
    "Item",
    "ItemEnd",
    "JobNote",
    "JobSpec",
    "Loads",
    "Next",
    "NodeState",
    "NodeTable",
    "Orphans",
    "Placed",
    "Progress",
    "Quarantine",
    "Result",
    "ResultPages",
    "Route",
    "RouteKind",
    "Service",
    "Workspace",
    "batch_allowance",
    "batch_targets",
    "job_holder",
    "job_key",
    "next_step",
    "rank",
]
