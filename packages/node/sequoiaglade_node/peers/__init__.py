"""gRPC calls between nodes."""

from .contents import ContentServicer, PeerSource
from .gossip import GossipClient, GossipLoop, GossipServicer

__all__ = [
    "ContentServicer",
    "GossipClient",
    "GossipLoop",
    "GossipServicer",
    "PeerSource",
]
