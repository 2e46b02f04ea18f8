"""Calls from node to node: gossip, knowledge, and batch jobs held elsewhere."""

from .client import PeerClient
from .gossip import Gossip
from .server import FleetServicer, start_peer_server

__all__ = ["FleetServicer", "Gossip", "PeerClient", "start_peer_server"]
