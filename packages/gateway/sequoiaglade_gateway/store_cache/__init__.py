"""Local copy of the store's configuration and endpoints, and watchers of its kinds."""

from .cache import StoreCache
from .watcher import KindWatcher

__all__ = ["KindWatcher", "StoreCache"]
