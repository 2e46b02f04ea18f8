"""What a node knows from the store: configuration, endpoints, ended jobs."""

from .state import StoreCache
from .watcher import KindWatcher

__all__ = ["KindWatcher", "StoreCache"]
