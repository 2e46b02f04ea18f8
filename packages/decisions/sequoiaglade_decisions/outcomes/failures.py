"""Failures of internal operations."""

from enum import Enum
from typing import NamedTuple


class FailureCode(Enum):
    """Why an operation on the platform, an endpoint or a peer returned no result."""

    CONFLICT = "conflict"
    EXPIRED = "expired"
    INTERRUPTED = "interrupted"
    INVALID = "invalid"
    NOT_FOUND = "not_found"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class Failure(NamedTuple):
    """A failed operation, returned instead of its result.

    ``EXPIRED`` means that a watch requested changes that are no longer stored,
    ``INTERRUPTED`` that a watch was ended because its connection may be silent,
    ``UNAVAILABLE`` that the operation had no effect, and ``UNKNOWN`` that it may have
    had one.

    >>> Failure(FailureCode.NOT_FOUND, "no object jobs/j-1").reason
    'no object jobs/j-1'
    """

    code: FailureCode
    reason: str
