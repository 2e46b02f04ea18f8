"""What a node knows from the store: configuration, endpoints, ended jobs."""

from .state import Knowledge
from .watcher import KindWatcher

__all__ = ["KindWatcher", "Knowledge"]
