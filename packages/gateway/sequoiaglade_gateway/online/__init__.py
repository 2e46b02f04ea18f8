"""Online requests: from the head of the request to the last event of the response."""

from .preemption import BatchPreemptor
from .service import OnlineService
from .streams import StreamDirectory, StreamNotes
from .version_history import VersionHistory

__all__ = [
    "BatchPreemptor",
    "OnlineService",
    "StreamDirectory",
    "StreamNotes",
    "VersionHistory",
]
