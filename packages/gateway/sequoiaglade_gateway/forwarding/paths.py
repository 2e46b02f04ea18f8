"""This node's ways to endpoints: its own connections, or peers while these fail."""

import socket
import time

import grpc
import structlog

from sequoiaglade_node.threads import OwnedThread

from ..access_messages import ConnectionTried, FindAnyEndpoint, FindForwarders
from .sockets import ForwardedConnection

# Interval of connections that find out whether a cut has ended, and their time-out.
PROBE_INTERVAL_SECONDS = 0.5
PROBE_SECONDS = 0.25
# A peer whose call failed is not asked for this time, if another one can be.
AVOID_PEER_SECONDS = 2.0
# Time for the response to an item, which has no deadline.
ITEM_SECONDS = 120.0
# A response of an endpoint at its deadline takes this long to arrive.
MARGIN_SECONDS = 0.1


class _WatchedCall:
    """An iterator over the replies of a peer, which tells if the peer fails."""

    def __init__(self, call, on_failure):
        self._call = call
        self._on_failure = on_failure
        self.cancel = call.cancel

    def __iter__(self):
        return self

    def __next__(self):
        try:
            return next(self._call)
        except grpc.RpcError as error:
            if error.code() is not grpc.StatusCode.CANCELLED:
                self._on_failure()
            raise


class EndpointPaths(OwnedThread):
    """Chooses the way of each call to an endpoint; a context manager.

    Its thread probes, while no endpoint is reached, whether one is again.
    """

    def __init__(self, parts, client):
        super().__init__("endpoint paths")
        self._parts = parts
        self._client = client
        self._has_failed = False
        self._avoided_until_by_id = {}
        self._log = structlog.get_logger()
        self.is_cut_off = False

    def note_connected(self, endpoint_id):
        """Note that this node connected to an endpoint."""
        if self._has_failed:
            self._has_failed = False
            self._note(ConnectionTried(endpoint_id, True))

    def note_failed(self, endpoint_id):
        """Note that this node could not connect to an endpoint."""
        self._has_failed = True
        self._note(ConnectionTried(endpoint_id, False))

    def forwarded_connection(self, request, bounds):
        """Return a connection for an `EndpointRequest` that goes through a peer.

        Return None if the node is to use a connection of its own: it reaches endpoints,
        or no peer does. The call ends with the `ResponseBounds`.
        """
        if not self.is_cut_off:
            return None
        peer = self._choose_peer(request)
        if peer is None:
            return None
        host, _, port = request.address.rpartition(":")
        return ForwardedConnection(
            host, int(port), lambda data: self._forward(peer, request, data, bounds)
        )

    def avoid(self, node_id):
        """Ask a peer for nothing for a while."""
        until = time.monotonic() + AVOID_PEER_SECONDS
        self._avoided_until_by_id[node_id] = until

    def _choose_peer(self, request):
        question = FindForwarders(request.request_id, request.regions)
        peers = self._parts.coordinator.ask(question)
        now = time.monotonic()
        sound = [
            peer for peer in peers if self._avoided_until_by_id.get(peer[0], 0.0) <= now
        ]
        return next(iter(sound or peers), None)

    def _forward(self, peer, request, data, bounds):
        node_id, address = peer
        self._parts.metrics.count("forward", "asked")
        self._log.info(
            "request forwarded",
            request_id=request.request_id,
            endpoint_id=request.endpoint.endpoint_id,
            peer=node_id,
        )
        seconds = ITEM_SECONDS
        if bounds.end_at is not None:
            seconds = max(bounds.end_at - time.monotonic(), 0.0) + MARGIN_SECONDS
        own_id = self._parts.settings.node_id
        call = self._client.forward(address, own_id, request, data, seconds)
        return _WatchedCall(call, lambda: self.avoid(node_id))

    def _note(self, message):
        change = self._parts.coordinator.ask(message)
        if change is None:
            return
        self.is_cut_off = change.is_cut_off
        state = "cut off" if change.is_cut_off else "reached again"
        self._parts.metrics.count("all endpoints", state)
        self._log.info(f"all endpoints {state}", endpoint_id=message.endpoint_id)

    def _run(self):
        while not self._stopped.wait(PROBE_INTERVAL_SECONDS):
            if self.is_cut_off:
                self._probe()

    def _probe(self):
        endpoint = self._parts.coordinator.ask(FindAnyEndpoint())
        if endpoint is None:
            return
        host, _, port = endpoint.address.rpartition(":")
        try:
            socket.create_connection((host, int(port)), PROBE_SECONDS).close()
        except OSError:
            return
        self.note_connected(endpoint.endpoint_id)
