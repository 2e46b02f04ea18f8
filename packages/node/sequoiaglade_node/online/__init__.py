"""Online requests: from a caller's request to an endpoint's response."""

from .holders import Holder, ProcessLiveness
from .once import OnceGuard
from .records import EXPIRY_SECONDS, RecordExpiry, RecordWriter
from .retries import SharedRetryPolicy
from .runner import Runner
from .service import OnlineService

__all__ = [
    "EXPIRY_SECONDS",
    "Holder",
    "OnceGuard",
    "OnlineService",
    "ProcessLiveness",
    "RecordExpiry",
    "RecordWriter",
    "Runner",
    "SharedRetryPolicy",
]
