"""Dispatching: which request runs next, and on which endpoint."""

from .dispatcher import Dispatcher
from .effects import (
    CrashConfirmed,
    CrashSuspected,
    Granted,
    LeavingSeen,
    PayingBatchWaits,
    Preempted,
    ProbeWanted,
    Quarantined,
    Recalled,
    Rejected,
    YieldWanted,
)
from .endpoint_table import GOSSIPED, LISTED
from .tickets import Priority, RunOutcome, Ticket

__all__ = [
    "GOSSIPED",
    "LISTED",
    "CrashConfirmed",
    "CrashSuspected",
    "Dispatcher",
    "Granted",
    "LeavingSeen",
    "PayingBatchWaits",
    "Preempted",
    "ProbeWanted",
    "Quarantined",
    "Recalled",
    "Rejected",
    "Priority",
    "RunOutcome",
    "Ticket",
    "YieldWanted",
]
