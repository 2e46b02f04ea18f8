"""Online requests: from a caller's request to an endpoint's response."""

from .holders import ProcessIdentity, ProcessLiveness
from .once import IdempotencyGuard
from .records import EXPIRY_SECONDS, RecordExpiry, RecordWriter
from .retries import SharedRetryPolicy
from .runner import Runner
from .service import OnlineService

__all__ = [
    "EXPIRY_SECONDS",
    "IdempotencyGuard",
    "OnlineService",
    "ProcessIdentity",
    "ProcessLiveness",
    "RecordExpiry",
    "RecordWriter",
    "Runner",
    "SharedRetryPolicy",
]
