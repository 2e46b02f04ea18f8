"""The coordinator's part in reaching endpoints: this node's links, and its peers'."""

import random

from sequoiaglade_decisions.gateway import EndpointReach, forwarding_nodes

from .access_messages import (
    ConnectionTried,
    FindAnyEndpoint,
    FindForwarders,
    ReachChange,
)


class FleetReach:
    """The coordinator's `EndpointReach`, and the peers that forward requests."""

    def __init__(self, directory, nodes, regions):
        self._directory = directory
        self._nodes = nodes
        self._regions = regions
        self._reach = EndpointReach()

    @property
    def is_cut_off(self):
        """Whether this node reaches no endpoint itself."""
        return self._reach.is_cut

    def handle(self, message, now):
        """Handle one of the messages about the ways to endpoints; return its reply."""
        match message:
            case ConnectionTried():
                return self._note_connection(message, now)
            case FindForwarders(spread, regions):
                peers = self._regions.allowed(regions, self._nodes.live(now))
                return [
                    (node_id, self._nodes.state(node_id).peer_address)
                    for node_id in forwarding_nodes(spread, peers)
                ]
            case FindAnyEndpoint():
                endpoints = self._directory.endpoints()
                # An evacuated domain may be switched off.
                endpoints = [e for e in endpoints if not e.is_evacuated] or endpoints
                return random.choice(endpoints) if endpoints else None

    def _note_connection(self, message, now):
        if message.is_connected:
            is_changed = self._reach.note_connected()
        else:
            count = len(self._directory.endpoints())
            is_changed = self._reach.note_failure(message.endpoint_id, count, now)
        return ReachChange(self._reach.is_cut) if is_changed else None
