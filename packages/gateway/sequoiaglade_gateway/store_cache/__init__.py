"""Local copy of the store's configuration and endpoints, and watchers of its kinds."""

from .cache import StoreCache
from .contact import StoreContactKeeper
from .evacuations import EvacuationCache
from .guard import StandbyWatch, WatchGuard, guards_of
from .reader import ConfigurationReader
from .relay import StoreRelay
from .updates import StoreUpdates
from .watcher import KindWatcher

__all__ = [
    "ConfigurationReader",
    "EvacuationCache",
    "KindWatcher",
    "StandbyWatch",
    "StoreCache",
    "StoreContactKeeper",
    "StoreRelay",
    "StoreUpdates",
    "WatchGuard",
    "guards_of",
]
