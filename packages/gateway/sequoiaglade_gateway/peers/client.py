"""Calls to peers."""

import threading

import grpc
import structlog

from sequoiaglade_decisions.outcomes import Failure, FailureCode
from sequoiaglade_node.peers.tracing import open_channel
from sequoiaglade_protocol import fleet_pb2, fleet_pb2_grpc

from .codec import (
    decode_placement,
    decode_results,
    encode_job,
    encode_question,
    encode_report,
)

# A peer answers within a few milliseconds; a caller waits for the answer.
CALL_SECONDS = 0.6
# A scheduler answers within some milliseconds; half of a request's objective of 300 ms
# is to be left for another choice.
SCHEDULE_SECONDS = 0.15
# A peer writes to the store meanwhile.
STORE_SECONDS = 1.5


class PeerClient:
    """Channels to peers by address; a context manager that closes them."""

    def __init__(self):
        self._lock = threading.Lock()
        self._channel_by_address = {}
        self._log = structlog.get_logger()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for channel in self._channel_by_address.values():
            channel.close()

    def gossip(self, address, digest, seconds):
        """Exchange digests; return the peer's, or None."""
        return self._call(address, "Gossip", digest, seconds, is_quiet=True)

    def fetch_store_cache(self, address):
        """Return the pair of configuration and endpoints of a peer, or None."""
        reply = self._call(address, "Knowledge", fleet_pb2.KnowledgeRequest())
        return reply and (reply.configuration, reply.endpoints)

    def read_job(self, address, key, after):
        """Return the total and results of a job held by a peer, or None."""
        request = fleet_pb2.ReadJobRequest(job_key=key, after=after)
        reply = self._call(address, "ReadJob", request)
        if reply is None or not reply.is_held:
            return None
        return reply.total, decode_results(reply.results)

    def holds_job(self, address, key):
        """Return whether a peer says that it holds a job; None without an answer."""
        request = fleet_pb2.HoldsJobRequest(job_key=key)
        reply = self._call(address, "HoldsJob", request)
        return None if reply is None else reply.is_held

    def read_item(self, address, key, item_id):
        """Return the bytes of an item of a job held by a peer, or None."""
        request = fleet_pb2.ReadItemRequest(job_key=key, item_id=item_id)
        reply = self._call(address, "ReadItem", request)
        return reply.body if reply is not None and reply.is_found else None

    def end_job(self, address, key):
        """Tell the holder of a job of its end; its watch tells it as well."""
        self._call(address, "EndJob", fleet_pb2.EndJobRequest(job_key=key))

    def store_job(self, address, spec):
        """Have a peer store a job; return None, or a `Failure`."""
        reply = self._call(address, "StoreJob", encode_job(spec), STORE_SECONDS)
        if reply is None:
            return Failure(FailureCode.UNKNOWN, f"peer {address} did not answer")
        if reply.failure_code:
            return Failure(FailureCode(reply.failure_code), reply.reason)
        return None

    def schedule(self, address, question, place):
        """Ask a node to place a request; return `Placed`, `Full` or None."""
        request = encode_question(question, place)
        reply = self._call(address, "Schedule", request, SCHEDULE_SECONDS, True)
        return reply and decode_placement(reply)

    def report(self, address, report):
        """Tell a node that schedules of this node's loads; don't wait for it."""
        stub = fleet_pb2_grpc.FleetStub(self._channel(address))
        stub.Report.future(encode_report(report), timeout=CALL_SECONDS)

    def ask_to_yield(self, address, endpoint_id):
        """Ask a peer to stop a batch item at an endpoint; don't wait for it."""
        stub = fleet_pb2_grpc.FleetStub(self._channel(address))
        request = fleet_pb2.RoomRequest(endpoint_id=endpoint_id)
        stub.MakeRoom.future(request, timeout=CALL_SECONDS)

    def keep(self, addresses):
        """Close channels to addresses that are no longer in use."""
        with self._lock:
            stale = set(self._channel_by_address) - set(addresses)
            closed = [self._channel_by_address.pop(address) for address in stale]
        for channel in closed:
            channel.close()

    def _call(self, address, name, request, seconds=CALL_SECONDS, is_quiet=False):
        stub = fleet_pb2_grpc.FleetStub(self._channel(address))
        try:
            return getattr(stub, name)(request, timeout=seconds)
        except (grpc.RpcError, ValueError) as error:
            if not is_quiet:
                code = error.code().name if hasattr(error, "code") else str(error)
                self._log.info("peer call failed", call=name, peer=address, code=code)
            return None

    def _channel(self, address):
        with self._lock:
            channel = self._channel_by_address.get(address)
            if channel is None:
                channel = self._channel_by_address[address] = open_channel(address)
            return channel
