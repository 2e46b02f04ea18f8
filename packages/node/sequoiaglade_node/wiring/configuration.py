"""Starts the parts that follow the newest accepted configuration revision."""

import threading

from ..actors import ConfigurationActor
from ..configuration import (
    ConfigurationReader,
    ConfigurationStore,
    ConfigurationWatcher,
    SnapshotHolder,
)
from ..configuration.floor import FloorFile

FOLLOWER = "configuration.follower:Follower"


def start_configuration(stack, parts):
    """Start the configuration actor, before membership and `start_reading`."""
    parts.store = ConfigurationStore(parts.platform)
    parts.holder = SnapshotHolder()
    parts.wake_reader = threading.Event()
    floor_file = FloorFile(parts.settings.data_folder)
    follower = parts.recordings.machine(FOLLOWER, floor_file.read())
    actor = ConfigurationActor.start(
        follower,
        parts.holder,
        parts.wake_reader,
        parts.snapshot_listeners,
        parts.journal,
        floor_file,
    )
    stack.callback(actor.stop)
    parts.configuration = actor.proxy()


def start_reading(stack, parts):
    """Start to follow the revisions of the platform and the peers."""
    reader = ConfigurationReader(
        parts.store,
        parts.peer_sources,
        parts.holder,
        parts.configuration,
        parts.wake_reader,
    )
    reader.read()
    stack.enter_context(reader)
    watcher = ConfigurationWatcher(parts.platform, parts.wake_reader)
    stack.enter_context(watcher)
