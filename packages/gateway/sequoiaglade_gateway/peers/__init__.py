"""Calls between nodes: gossip, store contents, scheduling, and jobs of other nodes."""

from .client import PeerClient
from .gossip import Gossip
from .server import FleetServicer, start_peer_server

__all__ = ["FleetServicer", "Gossip", "PeerClient", "start_peer_server"]
