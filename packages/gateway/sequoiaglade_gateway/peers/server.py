"""What a node answers to its peers."""

from sequoiaglade_node.peers.server import PeerServer
from sequoiaglade_protocol import fleet_pb2, fleet_pb2_grpc

from .codec import (
    decode_question,
    decode_report,
    encode_placement,
    encode_results,
)

# Calls that wait for the store must not hold up those that place requests: a job's read
# or write may take a second each while the store is slow.
PEER_THREADS = 32


class FleetServicer(fleet_pb2_grpc.FleetServicer):
    """Answers the calls of the service `Fleet`."""

    def __init__(self, gossip, knowledge, board, batch, placer):
        self._gossip = gossip
        self._knowledge = knowledge
        self._board = board
        self._batch = batch
        self._placer = placer

    def Gossip(self, request, context):  # noqa: N802
        self._gossip.hear(request)
        return self._gossip.digest()

    def Knowledge(self, request, context):  # noqa: N802
        configuration, endpoints = self._knowledge.share()
        return fleet_pb2.KnowledgeReply(
            configuration=configuration, endpoints=endpoints
        )

    def ReadJob(self, request, context):  # noqa: N802
        window = self._batch.held_window(request.job_key, request.after)
        if window is None:
            return fleet_pb2.ReadJobReply(is_held=False)
        total, results = window
        return fleet_pb2.ReadJobReply(
            is_held=True, total=total, results=encode_results(results)
        )

    def HoldsJob(self, request, context):  # noqa: N802
        is_held = self._board.get(request.job_key) is not None
        return fleet_pb2.HoldsJobReply(is_held=is_held)

    def ReadItem(self, request, context):  # noqa: N802
        body = self._board.body(request.job_key, request.item_id)
        if body is None:
            return fleet_pb2.ReadItemReply(is_held=False)
        return fleet_pb2.ReadItemReply(is_held=True, is_found=True, body=body)

    def EndJob(self, request, context):  # noqa: N802
        self._batch.note_end(request.job_key)
        return fleet_pb2.EndJobReply()

    def StoreJob(self, request, context):  # noqa: N802
        failure = self._batch.store_for_peer(request)
        if failure is None:
            return fleet_pb2.StoreJobReply()
        return fleet_pb2.StoreJobReply(
            failure_code=failure.code.value, reason=failure.reason
        )

    def Schedule(self, request, context):  # noqa: N802
        return encode_placement(self._placer.schedule(decode_question(request)))

    def Report(self, request, context):  # noqa: N802
        self._placer.hear(decode_report(request))
        return fleet_pb2.ReportReply()

    def MakeRoom(self, request, context):  # noqa: N802
        self._batch.preempt(request.endpoint_id)
        return fleet_pb2.RoomReply()


def start_peer_server(stack, address, servicer):
    """Serve peers on `address` until `stack` is left."""
    service = (fleet_pb2_grpc.add_FleetServicer_to_server, servicer)
    return stack.enter_context(PeerServer(address, [service], PEER_THREADS))
