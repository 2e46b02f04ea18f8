"""gRPC calls between nodes on workspace limits."""

import threading

import grpc

from sequoiaglade_protocol import limits_pb2_grpc

from ..calls import open_channel
from .limits_codec import (
    decode_cession,
    decode_grant,
    decode_poll,
    decode_request,
    encode_cession,
    encode_grant,
    encode_poll,
    encode_request,
)

POLL_TIMEOUT_SECONDS = 0.4
ASK_TIMEOUT_SECONDS = 0.15
_CONNECT_OUTCOMES = (
    grpc.ChannelConnectivity.READY,
    grpc.ChannelConnectivity.TRANSIENT_FAILURE,
    grpc.ChannelConnectivity.SHUTDOWN,
)


class LimitsServicer(limits_pb2_grpc.LimitsServicer):
    """Answers polls and grants tokens.

    `answer_poll` takes a `Poll` and returns a `Cession`, `grant` takes a
    `GrantRequest` and returns a `PoolGrant`.
    """

    def __init__(self, answer_poll, grant):
        self._answer_poll = answer_poll
        self._grant = grant

    def Poll(self, request, context):  # noqa: N802
        """Lend this node's slots to the polling pool node for a limited time."""
        return encode_cession(self._answer_poll(decode_poll(request)))

    def Grant(self, request, context):  # noqa: N802
        """Grant tokens from this node's pool."""
        return encode_grant(self._grant(decode_request(request)))


class LimitsPeers:
    """Client of the other nodes; a context manager that owns the channels."""

    def __init__(self):
        self._channel_by_address = {}
        self._lock = threading.Lock()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        with self._lock:
            for channel in self._channel_by_address.values():
                channel.close()

    def retain(self, addresses):
        """Close the channels to all other addresses."""
        with self._lock:
            for address in set(self._channel_by_address) - set(addresses):
                self._channel_by_address.pop(address).close()

    def connect(self, addresses):
        """Connect to `addresses` before a request needs the connections."""
        for address in addresses:
            self._stub(address)

    def poll(self, address, poll, answered, failed):
        """Send a `Poll`; call `answered` with the `Cession`, or `failed`."""
        future = self._stub(address).Poll.future(
            encode_poll(poll), timeout=POLL_TIMEOUT_SECONDS
        )

        def done(call):
            if call.exception() is not None:
                failed()
            else:
                answered(decode_cession(call.result()))

        future.add_done_callback(done)

    def ask(self, address, request, seconds=ASK_TIMEOUT_SECONDS):
        """Return the `PoolGrant` for a `GrantRequest`, or None without an answer.

        `seconds` limits the wait.
        """
        try:
            answer = self._stub(address).Grant(encode_request(request), timeout=seconds)
        except grpc.RpcError:
            return None
        return decode_grant(answer)

    def tell(self, address, request):
        """Send a `GrantRequest` that only settles grants, without waiting."""
        self._stub(address).Grant.future(
            encode_request(request), timeout=ASK_TIMEOUT_SECONDS
        )

    def _stub(self, address):
        with self._lock:
            channel = self._channel_by_address.get(address)
            if channel is None:
                channel = open_channel(address)
                _start_connecting(channel)
                self._channel_by_address[address] = channel
        return limits_pb2_grpc.LimitsStub(channel)


def _start_connecting(channel):
    """Connect the channel now and end the subscription when that is done.

    An active subscription polls the channel five times a second.
    """

    def changed(state):
        if state in _CONNECT_OUTCOMES:
            channel.unsubscribe(changed)

    channel.subscribe(changed, try_to_connect=True)
