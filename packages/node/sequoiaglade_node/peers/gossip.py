"""Gossip: a node exchanges states with a few peers about once a second."""

import threading
import time
from typing import NamedTuple

import grpc

from sequoiaglade_protocol import gossip_pb2_grpc

from ..calls import open_channel
from ..threads import OwnedThread

EXCHANGE_TIMEOUT_SECONDS = 0.5
ROUND_SECONDS = 1.0
SPACING_SECONDS = 0.1


class GossipRound(NamedTuple):
    """Result of one round: answers by peer, peers without answer, start time."""

    digest_by_peer: dict
    silent_peers: list
    asked_at: float


class GossipServicer(gossip_pb2_grpc.GossipServicer):
    """Answers exchanges with this node's own digest.

    `handle_digest` is called with the digest of each sender.
    """

    def __init__(self, own_digest, handle_digest):
        self._own_digest = own_digest
        self._handle_digest = handle_digest

    def Exchange(self, request, context):  # noqa: N802
        """Process the sender's digest and return this node's."""
        self._handle_digest(request)
        return self._own_digest()


class GossipClient:
    """Exchanges digests with peers; a context manager that owns the channels.

    `retain_channels` closes the channels of peers that are no longer announced.
    """

    def __init__(self, own_digest):
        self._own_digest = own_digest
        self._channel_by_address = {}
        self._lock = threading.Lock()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for channel in self._channel_by_address.values():
            channel.close()

    def exchange(self, address_by_peer):
        """Exchange digests with the peers once; return the `GossipRound`."""
        asked_at = time.monotonic()
        calls = {}
        if address_by_peer:
            digest = self._own_digest()
            calls = {p: self._call(a, digest) for p, a in address_by_peer.items()}
        deadline = asked_at + EXCHANGE_TIMEOUT_SECONDS
        answers = {peer: _result_by(call, deadline) for peer, call in calls.items()}
        silent = [peer for peer, answer in answers.items() if answer is None]
        found = {peer: answer for peer, answer in answers.items() if answer}
        return GossipRound(found, silent, asked_at)

    def retain_channels(self, addresses):
        """Close the channels to all other addresses."""
        with self._lock:
            for address in set(self._channel_by_address).difference(addresses):
                self._channel_by_address.pop(address).close()

    def channel(self, address):
        """Return the channel to an address."""
        with self._lock:
            if address not in self._channel_by_address:
                channel = open_channel(address)
                self._channel_by_address[address] = channel
            return self._channel_by_address[address]

    def _call(self, address, digest):
        stub = gossip_pb2_grpc.GossipStub(self.channel(address))
        try:
            return stub.Exchange.future(digest, timeout=EXCHANGE_TIMEOUT_SECONDS)
        except ValueError:  # the channel was closed by another round
            return None


class GossipLoop(OwnedThread):
    """Thread that runs gossip rounds; a context manager.

    `run_round` returns the seconds until the next round. `wake` starts it earlier.
    """

    def __init__(self, run_round):
        super().__init__("gossip", join_seconds=2 * EXCHANGE_TIMEOUT_SECONDS)
        self._run_round = run_round
        self._wake = threading.Event()

    def _interrupt(self):
        self._wake.set()

    def wake(self):
        """Start the next round immediately."""
        self._wake.set()

    def _run(self):
        pause = ROUND_SECONDS
        while not self._stopped.wait(SPACING_SECONDS):
            self._wake.wait(pause)
            self._wake.clear()
            if self._stopped.is_set():
                return
            pause = self._run_round()


def _result_by(call, deadline):
    if call is None:
        return None
    try:
        return call.result(timeout=max(0.01, deadline - time.monotonic()))
    except (grpc.RpcError, grpc.FutureTimeoutError, grpc.FutureCancelledError):
        return None
