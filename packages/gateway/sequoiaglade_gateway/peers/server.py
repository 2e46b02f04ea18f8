"""Server for the calls of peers."""

import math
import urllib.parse

from sequoiaglade_node.calls import PeerServer
from sequoiaglade_protocol import fleet_pb2, fleet_pb2_grpc

from ..forwarding import FORWARDS_MAX
from .codec import (
    decode_report,
    decode_schedule_request,
    decode_summary,
    encode_placement,
    encode_results,
)
from .limit_codec import decode_permit_request, encode_permit
from .store_codec import decode_poll, encode_updates
from .token_codec import decode_reservation, encode_keeper_answer

# Calls that wait for the store must not delay those that place requests: each read or
# write of a job may take a second while the store is slow. Each request that is
# forwarded takes a thread until its response ends.
PEER_THREADS = 32 + FORWARDS_MAX


class FleetServicer(fleet_pb2_grpc.FleetServicer):
    """Implements the gRPC service `Fleet`."""

    def __init__(
        self,
        gossip,
        store_cache,
        job_registry,
        batch,
        job_ends,
        placer,
        streams,
        forwarder,
        updates,
    ):
        self._gossip = gossip
        self._store_cache = store_cache
        self._job_registry = job_registry
        self._batch = batch
        self._job_ends = job_ends
        self._placer = placer
        self._streams = streams
        self._forwarder = forwarder
        self._updates = updates

    def Gossip(self, request, context):  # noqa: N802
        # The reply names the jobs that this node releases on receiving the request, so
        # that the peer learns of its results.
        reply = self._gossip.make_digest(request)
        self._gossip.receive_digest(request)
        return reply

    def Knowledge(self, request, context):  # noqa: N802
        configuration, endpoints, evacuations = self._store_cache.export_for_peer()
        return fleet_pb2.KnowledgeReply(
            configuration=configuration, endpoints=endpoints, evacuations=evacuations
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
        is_held = self._job_registry.get(request.job_key) is not None
        return fleet_pb2.HoldsJobReply(is_held=is_held)

    def ReadItem(self, request, context):  # noqa: N802
        body, is_allowed = self._batch.give_body(
            request.job_key,
            request.item_id,
            request.failure_domain,
            _caller_host(context),
        )
        if body is None:
            return fleet_pb2.ReadItemReply(is_held=not is_allowed)
        return fleet_pb2.ReadItemReply(is_held=True, is_found=True, body=body)

    def EndJob(self, request, context):  # noqa: N802
        self._batch.note_end(request.job_key)
        return fleet_pb2.EndJobReply()

    def FindEnds(self, request, context):  # noqa: N802
        told = self._job_ends.tell_peer()
        if told is None:
            return fleet_pb2.FindEndsReply(is_read=False)
        age, keys = told
        # Rounded up, so that the asking node does not take it for younger than it is.
        age_ms = math.ceil(age * 1000)
        return fleet_pb2.FindEndsReply(is_read=True, age_ms=age_ms, job_keys=keys)

    def StoreJob(self, request, context):  # noqa: N802
        failure = self._batch.store_for_peer(request)
        if failure is None:
            return fleet_pb2.StoreJobReply()
        return fleet_pb2.StoreJobReply(
            failure_code=failure.code.value, reason=failure.reason
        )

    def NoteJob(self, request, context):  # noqa: N802
        self._job_registry.note_peer_jobs([decode_summary(request)])
        return fleet_pb2.JobNoteReply()

    def ReserveTokens(self, request, context):  # noqa: N802
        answer = self._batch.reserve_for_peer(*decode_reservation(request))
        return encode_keeper_answer(answer)

    def ReleaseTokens(self, request, context):  # noqa: N802
        self._job_registry.give_tokens_back(request.job_key)
        return fleet_pb2.TokensReleaseReply()

    def PollStore(self, request, context):  # noqa: N802
        is_following, update_by_kind = self._updates.after(*decode_poll(request))
        return encode_updates(is_following, update_by_kind)

    def Schedule(self, request, context):  # noqa: N802
        return encode_placement(self._placer.schedule(decode_schedule_request(request)))

    def Report(self, request, context):  # noqa: N802
        self._placer.receive_report(decode_report(request))
        return fleet_pb2.ReportReply()

    def TakePermit(self, request, context):  # noqa: N802
        return encode_permit(self._placer.grant_permit(decode_permit_request(request)))

    def Forward(self, request, context):  # noqa: N802
        return self._forwarder.forward(request, context)

    def NoteStream(self, request, context):  # noqa: N802
        self._streams.receive_note(request.request_id, request.version)
        return fleet_pb2.StreamNoteReply()

    def FindStream(self, request, context):  # noqa: N802
        version = self._streams.known_version(request.request_id)
        if version is not None:
            return fleet_pb2.FindStreamReply(is_known=True, version=version)
        answer = self._streams.describe_versions(request.request_id, request.service)
        return fleet_pb2.FindStreamReply(
            versions=answer.versions, is_history_known=answer.is_history_known
        )

    def MakeRoom(self, request, context):  # noqa: N802
        self._batch.preempt(request.endpoint_id)
        return fleet_pb2.RoomReply()


def _caller_host(context):
    """Return the host of a call's `context.peer()`.

    >>> from types import SimpleNamespace
    >>> peers = ("ipv4:10.0.0.1:80", "ipv6:%5Bfd00::1%5D:80", "ipv6:[fd00::1]:80")
    >>> [_caller_host(SimpleNamespace(peer=lambda: peer)) for peer in peers]
    ['10.0.0.1', 'fd00::1', 'fd00::1']
    """
    address = urllib.parse.unquote(context.peer()).partition(":")[2]
    return address.rpartition(":")[0].strip("[]")


def start_peer_server(stack, address, servicer):
    """Serve peers on `address` until `stack` is closed."""
    service = (fleet_pb2_grpc.add_FleetServicer_to_server, servicer)
    return stack.enter_context(PeerServer(address, [service], PEER_THREADS))
