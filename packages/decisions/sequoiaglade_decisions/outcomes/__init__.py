"""Outcomes as values: failures of operations, refusals of requests, invariants."""

from .failures import Failure, FailureCode
from .invariants import InvariantError, check_invariant, set_invariant_handler
from .refusals import Execution, Refusal, RefusalCode

__all__ = [
    "Execution",
    "Failure",
    "FailureCode",
    "InvariantError",
    "Refusal",
    "RefusalCode",
    "check_invariant",
    "set_invariant_handler",
]
