"""Failures of operations inside the system."""

from enum import Enum
from typing import NamedTuple


class FailureCode(Enum):
    """Why an operation on the platform, an endpoint or a peer gave no result."""

    CONFLICT = "conflict"
    EXPIRED = "expired"
    INVALID = "invalid"
    NOT_FOUND = "not_found"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class Failure(NamedTuple):
    """A failed operation, returned in place of its result.

    ``EXPIRED`` states that a watch asked for changes that are no longer kept.
    ``UNAVAILABLE`` states that the operation had no effect, ``UNKNOWN`` that it may
    have had one.

    >>> Failure(FailureCode.NOT_FOUND, "no object jobs/j-1").reason
    'no object jobs/j-1'
    """

    code: FailureCode
    reason: str
