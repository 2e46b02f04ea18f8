"""The node's copy of the configuration: its sources and the revision in force."""

from .holder import Held, SnapshotHolder
from .loading import load
from .reader import ConfigurationReader, ConfigurationWatcher
from .store import ConfigurationStore

__all__ = [
    "ConfigurationReader",
    "ConfigurationStore",
    "ConfigurationWatcher",
    "Held",
    "SnapshotHolder",
    "load",
]
