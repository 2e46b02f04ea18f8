"""The parts of a node that its concerns share."""

from dataclasses import dataclass, field
from typing import Any


@dataclass
class Parts:
    """The started parts of a node.

    A concern registers a callback by appending it to a list before the concern that
    calls it starts. `snapshot_listeners` are called with each newer snapshot,
    `gossip_listeners` with the list of live peer states after each gossip round,
    `drain_steps` without arguments when a planned stop begins, and `handback_steps`
    when its last request has ended. `peer_services` are pairs of a generated
    ``add_..._to_server`` function and a servicer.
    """

    settings: Any
    journal: Any
    recordings: Any
    telemetry: Any
    platform: Any
    endpoints: Any
    snapshot_listeners: list = field(default_factory=list)
    gossip_listeners: list = field(default_factory=list)
    drain_steps: list = field(default_factory=list)
    handback_steps: list = field(default_factory=list)
    peer_services: list = field(default_factory=list)
    limits: Any = None
    dispatch: Any = None
    store: Any = None
    holder: Any = None
    configuration: Any = None
    membership: Any = None
    incarnation: int = 0
    directory: Any = None
    entries: Any = None
    peer_sources: Any = None
    wake_reader: Any = None
    listeners: tuple = ()
    explanations: Any = None
    online: Any = None
    batch: Any = None
