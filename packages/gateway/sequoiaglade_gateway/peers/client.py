"""Client for the calls to peers."""

import threading
import time

import grpc
import structlog

from sequoiaglade_decisions.outcomes import Failure, FailureCode
from sequoiaglade_node.calls import open_channel
from sequoiaglade_protocol import fleet_pb2, fleet_pb2_grpc

from ..version_messages import StreamAnswer
from .codec import (
    decode_placement,
    decode_results,
    encode_job,
    encode_report,
    encode_schedule_request,
    encode_summary,
)
from .limit_codec import decode_permit, encode_permit_request
from .store_codec import decode_updates, encode_poll
from .token_codec import decode_keeper_answer, encode_reservation

# A peer answers within a few milliseconds; a caller waits for the answer.
CALL_SECONDS = 0.6
# A scheduler answers within some milliseconds; half of a request's latency objective of
# 300 ms has to remain for another attempt.
SCHEDULE_SECONDS = 0.15
# A submission has about half a second, in which two keepers may be asked.
KEEPER_SECONDS = 0.2
# The same where the keeper has to read the stored jobs first.
LAST_RESORT_SECONDS = 0.6
# A follower of the store answers from memory; another one is asked half a second later.
POLL_TIMEOUT_SECONDS = 0.4
# A lost connection to a peer is restored within about a second, a silent one is
# replaced after a call that timed out.
NOTE_SECONDS = 0.6
NOTE_TRIES = 3
# Includes the peer's write to the store.
STORE_SECONDS = 1.5
MS_PER_SECOND = 1000


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
        """Send a digest; return the peer's digest, or None if the call failed."""
        return self._call(address, "Gossip", digest, seconds, is_quiet=True)

    def fetch_store_cache(self, address):
        """Return the result of a peer's `StoreCache.export_for_peer`, or None."""
        reply = self._call(address, "Knowledge", fleet_pb2.KnowledgeRequest())
        return reply and (reply.configuration, reply.endpoints, reply.evacuations)

    def read_job(self, address, key, after):
        """Return the item count and results of a job held by a peer, or None."""
        request = fleet_pb2.ReadJobRequest(job_key=key, after=after)
        reply = self._call(address, "ReadJob", request)
        if reply is None or not reply.is_held:
            return None
        return reply.total, decode_results(reply.results)

    def holds_job(self, address, key):
        """Return whether a peer holds a job, or None if it did not answer."""
        request = fleet_pb2.HoldsJobRequest(job_key=key)
        reply = self._call(address, "HoldsJob", request)
        return None if reply is None else reply.is_held

    def read_item(self, address, key, item_id, failure_domain=""):
        """Return the bytes of an item of a job held by a peer, or None.

        `failure_domain` is this node's, by which the peer refuses jobs with homes.
        """
        request = fleet_pb2.ReadItemRequest(
            job_key=key, item_id=item_id, failure_domain=failure_domain
        )
        reply = self._call(address, "ReadItem", request)
        return reply.body if reply is not None and reply.is_found else None

    def end_job(self, address, key):
        """Notify the holder of a job of its end, which its watch reports as well."""
        self._call(address, "EndJob", fleet_pb2.EndJobRequest(job_key=key))

    def find_ends(self, addresses):
        """Ask peers for ends of jobs; return pairs of an age in seconds and keys."""
        request = fleet_pb2.FindEndsRequest()
        replies = self._call_all(addresses, "FindEnds", request, CALL_SECONDS)
        return [(r.age_ms / 1000, r.job_keys) for r in replies if r.is_read]

    def store_job(self, address, spec):
        """Ask a peer to store and hold a job; return None or a `Failure`."""
        reply = self._call(address, "StoreJob", encode_job(spec), STORE_SECONDS)
        if reply is None:
            return Failure(FailureCode.UNKNOWN, f"peer {address} did not answer")
        if reply.failure_code:
            return Failure(FailureCode(reply.failure_code), reply.reason)
        return None

    def note_job(self, address, summary):
        """Tell a peer of a `JobSummary` without waiting for the reply."""
        self._send(address, "NoteJob", encode_summary(summary))

    def reserve_tokens(self, ask, summary, limit):
        """Ask a keeper, by a `KeeperAsk`, for the tokens of a `JobSummary`.

        Return its `KeeperAnswer`, None without one.
        """
        request = encode_reservation(ask, summary, limit)
        seconds = LAST_RESORT_SECONDS if ask.is_last_resort else KEEPER_SECONDS
        reply = self._call(ask.address, "ReserveTokens", request, seconds)
        return None if reply is None else decode_keeper_answer(reply)

    def poll_store(self, address, revision_by_kind, optional_revision_by_kind):
        """Ask a follower of the store for changes since the revisions known.

        A follower of an older release does not tell of the optional kinds. Return the
        result of `StoreUpdates.after` there, None without an answer.
        """
        request = encode_poll(revision_by_kind, optional_revision_by_kind)
        reply = self._call(address, "PollStore", request, POLL_TIMEOUT_SECONDS, True)
        return None if reply is None else decode_updates(reply)

    def release_tokens(self, address, key):
        """Give the tokens of a job back at a keeper, without waiting for the reply."""
        self._send(address, "ReleaseTokens", fleet_pb2.TokensRelease(job_key=key))

    def schedule(self, address, query, place):
        """Ask a scheduler to place a request.

        Return `Placed`, `Full`, `QuotaExceeded`, or None without a usable answer.
        """
        request = encode_schedule_request(query, place)
        reply = self._call(address, "Schedule", request, SCHEDULE_SECONDS, True)
        return reply and decode_placement(reply)

    def take_permit(self, address, notice, is_batch, cold=None):
        """Ask a peer for a permit; return the `Permit`, None without an answer."""
        request = encode_permit_request(notice, is_batch, cold)
        reply = self._call(address, "TakePermit", request, SCHEDULE_SECONDS)
        return None if reply is None else decode_permit(reply)

    def forward(self, address, own_id, request, data, seconds):
        """Let a peer send an `EndpointRequest`, as `data`, to its endpoint.

        Return the call, an iterator over `ForwardReply`.
        """
        message = fleet_pb2.ForwardRequest(
            node_id=own_id,
            endpoint_id=request.endpoint.endpoint_id,
            request_id=request.request_id,
            data=data,
            timeout_ms=int(seconds * MS_PER_SECOND),
            has_permit=request.endpoint.request_limit is not None,
            permit_left_ms=_permit_left_ms(request),
            is_repeatable=request.is_repeatable,
        )
        stub = fleet_pb2_grpc.FleetStub(self._channel(address))
        return stub.Forward(message, timeout=seconds)

    def send_report(self, address, report):
        """Send a `LoadReport` to a scheduler without waiting for the reply."""
        stub = fleet_pb2_grpc.FleetStub(self._channel(address))
        stub.Report.future(encode_report(report), timeout=CALL_SECONDS)

    def note_stream(self, address, request_id, version, on_lost=lambda: None):
        """Tell a peer the version of a stream, without waiting for the reply.

        `on_lost` is called if the peer does not answer.
        """
        note = fleet_pb2.StreamNote(request_id=request_id, version=version)
        self._send_note(address, note, NOTE_TRIES, on_lost)

    def _send_note(self, address, note, tries, on_lost):
        def end(call):
            match call.code():
                case grpc.StatusCode.OK:
                    return
                # Cancelled means that the channel was closed.
                case code if tries > 1 and code is not grpc.StatusCode.CANCELLED:
                    self._send_note(address, note, tries - 1, on_lost)
                case code:
                    self._log_lost_note(address, note, code.name)
                    on_lost()

        stub = fleet_pb2_grpc.FleetStub(self._channel(address))
        try:
            # A channel to a peer that has just started may be about to reconnect.
            call = stub.NoteStream.future(
                note, timeout=NOTE_SECONDS, wait_for_ready=True
            )
        except ValueError as error:
            # The channel was closed, since the peer is gone or this node stops.
            self._log_lost_note(address, note, str(error))
            on_lost()
        else:
            call.add_done_callback(end)

    def _log_lost_note(self, address, note, reason):
        self._log.info(
            "peer not told of stream",
            request_id=note.request_id,
            version=note.version,
            peer=address,
            reason=reason,
        )

    def find_stream(self, addresses, request_id, service):
        """Return the `StreamAnswer` of the peers, or None if none answered."""
        request = fleet_pb2.FindStreamRequest(request_id=request_id, service=service)
        answer = None
        for reply in self._call_all(addresses, "FindStream", request, SCHEDULE_SECONDS):
            if reply.is_known:
                return StreamAnswer(reply.version)
            answer = answer or StreamAnswer(None)
            answer = StreamAnswer(
                None,
                answer.versions | frozenset(reply.versions),
                answer.is_history_known or reply.is_history_known,
            )
        return answer

    def request_preemption(self, address, endpoint_id):
        """Ask a peer to stop a batch item at an endpoint, without waiting for it."""
        stub = fleet_pb2_grpc.FleetStub(self._channel(address))
        request = fleet_pb2.RoomRequest(endpoint_id=endpoint_id)
        stub.MakeRoom.future(request, timeout=CALL_SECONDS)

    def close_unused(self, used_addresses):
        """Close the channels to all other addresses."""
        with self._lock:
            stale = set(self._channel_by_address) - set(used_addresses)
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

    def _send(self, address, name, request):
        """Make a call without waiting for the reply."""
        stub = fleet_pb2_grpc.FleetStub(self._channel(address))
        try:
            getattr(stub, name).future(request, timeout=CALL_SECONDS)
        except ValueError as error:
            # The channel was closed, since the peer is gone or this node stops.
            self._log.info("peer call failed", call=name, peer=address, code=str(error))

    def _call_all(self, addresses, name, request, seconds):
        """Yield the replies of peers that are called at the same time."""
        futures = []
        for address in addresses:
            stub = fleet_pb2_grpc.FleetStub(self._channel(address))
            futures.append(getattr(stub, name).future(request, timeout=seconds))
        for future in futures:
            try:
                yield future.result()
            except (grpc.RpcError, grpc.FutureCancelledError):
                continue

    def _channel(self, address):
        with self._lock:
            channel = self._channel_by_address.get(address)
            if channel is None:
                channel = self._channel_by_address[address] = open_channel(address)
            return channel


def _permit_left_ms(request):
    if request.permit_until is None:
        return 0
    left = request.permit_until - time.monotonic()
    # 0 would state that there is no permit; one of a millisecond is not used either.
    return max(1, int(left * MS_PER_SECOND))
