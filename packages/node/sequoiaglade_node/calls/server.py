"""gRPC server for the other nodes."""

from concurrent import futures

import grpc

from .tracing import server_interceptors

PEER_THREADS = 8
STOP_SECONDS = 1.0


class PeerServer:
    """Serves the node-to-node protocol; a context manager.

    `services` are pairs of a generated ``add_..._to_server`` function and a servicer.
    """

    def __init__(self, address, services, threads=PEER_THREADS):
        pool = futures.ThreadPoolExecutor(threads, "peer")
        self._server = grpc.server(
            pool, options=[("grpc.so_reuseport", 0)], interceptors=server_interceptors()
        )
        for add_to_server, servicer in services:
            add_to_server(servicer, self._server)
        self._server.add_insecure_port(address)

    def __enter__(self):
        self._server.start()
        return self

    def __exit__(self, *exc_info):
        self._server.stop(STOP_SECONDS)
