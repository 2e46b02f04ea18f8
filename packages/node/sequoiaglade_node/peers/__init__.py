"""gRPC calls between nodes."""

from .contents import ContentServicer, PeerSource
from .gossip import GossipClient, GossipLoop, GossipServicer
from .server import PeerServer

__all__ = [
    "ContentServicer",
    "GossipClient",
    "GossipLoop",
    "GossipServicer",
    "PeerServer",
    "PeerSource",
]
