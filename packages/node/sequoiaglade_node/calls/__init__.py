"""gRPC channels to other nodes, and the server for their calls."""

from .server import PeerServer
from .tracing import open_channel, server_interceptors

__all__ = ["PeerServer", "open_channel", "server_interceptors"]
