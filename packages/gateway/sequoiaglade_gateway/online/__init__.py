"""Online requests: from the caller's head to the last event of the answer."""

from .room import BatchPreemptor
from .service import OnlineService

__all__ = ["BatchPreemptor", "OnlineService"]
