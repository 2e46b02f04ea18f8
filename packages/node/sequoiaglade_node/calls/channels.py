"""gRPC channels that replace a connection that no longer responds."""

import threading
import time
from typing import Any, NamedTuple

import grpc
import structlog

# A replaced channel is closed this much later: other calls may still be in progress on
# it, and no call between nodes takes longer.
CLOSE_DELAY_SECONDS = 5.0
# A slow peer's connection is replaced no more often than this.
REPLACE_INTERVAL_SECONDS = 1.0
# By default channels to one address share a connection, even one that is silent.
_OWN_CONNECTION = ("grpc.use_local_subchannel_pool", 1)
# Codes of calls that may have ended without a response of the peer.
_CODES_WITHOUT_RESPONSE = (
    grpc.StatusCode.DEADLINE_EXCEEDED,
    grpc.StatusCode.CANCELLED,
    grpc.StatusCode.UNAVAILABLE,
)


class _Connection(NamedTuple):
    number: int
    channel: Any


class RenewedChannel(grpc.Channel):
    """A channel whose connection is replaced after a timeout.

    Connections may fall silent without a reset, and then every call on them times out.
    The connection is replaced once a unary call timed out while no other one on it
    received a response. Calls with a stream of responses do not count for that, since
    they may be silent for long; one on a replaced connection is cancelled.
    """

    def __init__(self, address, options):
        self._address = address
        self._options = [*options, _OWN_CONNECTION]
        self._lock = threading.Lock()
        self._replaced = []
        self._responded_at = 0.0
        self._replaced_at = 0.0
        self._is_closed = False
        self._connection = _Connection(0, self._open())

    def unary_unary(self, method, *args, **kwargs):
        """Return a callable for the method; see `grpc.Channel`."""
        return _RenewedCall(self, method, args, kwargs)

    def unary_stream(self, method, *args, **kwargs):
        """Return a callable for the method; see `grpc.Channel`."""
        return _RenewedStreamCall(self, method, args, kwargs)

    def stream_unary(self, *args, **kwargs):
        """Not supported: requests of a stream would be lost with its connection."""
        raise NotImplementedError("streams of requests are not supported")

    stream_stream = stream_unary

    def subscribe(self, callback, try_to_connect=False):
        """Subscribe to the state of the current connection."""
        self._connection.channel.subscribe(callback, try_to_connect)

    def unsubscribe(self, callback):
        """End a subscription."""
        self._connection.channel.unsubscribe(callback)

    def close(self):
        """Close all connections."""
        with self._lock:
            self._is_closed = True
            channels = [channel for channel, _ in self._replaced]
            self._replaced = []
        for channel in (*channels, self._connection.channel):
            channel.close()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.close()

    def current(self):
        """Return the connection for the next call."""
        return self._connection

    def note_outcome(self, connection, began_at, code):
        """Record how a call on a connection that began at `began_at` ended."""
        now = time.monotonic()
        with self._lock:
            is_replaced = self._must_replace(connection, began_at, code, now)
            if is_replaced:
                self._replaced.append((connection.channel, now))
                self._connection = _Connection(connection.number + 1, self._open())
                self._replaced_at = now
            elif code not in _CODES_WITHOUT_RESPONSE:
                self._responded_at = now
            due = [c for c, at in self._replaced if now - at > CLOSE_DELAY_SECONDS]
            self._replaced = self._replaced[len(due) :]
        if is_replaced:
            structlog.get_logger().info("peer connection replaced", peer=self._address)
        for channel in due:
            channel.close()

    def _must_replace(self, connection, began_at, code, now):
        return (
            not self._is_closed
            and connection.number == self._connection.number
            and code is grpc.StatusCode.DEADLINE_EXCEEDED
            and self._responded_at < began_at
            and now - self._replaced_at >= REPLACE_INTERVAL_SECONDS
        )

    def _open(self):
        return grpc.insecure_channel(self._address, self._options)


class _RenewedStreamCall(grpc.UnaryStreamMultiCallable):
    def __init__(self, channel, method, args, kwargs):
        self._channel = channel
        self._method = method
        self._args = args
        self._kwargs = kwargs

    def __call__(self, request, **options):
        channel = self._channel.current().channel
        call = channel.unary_stream(self._method, *self._args, **self._kwargs)
        return call(request, **options)


class _RenewedCall(grpc.UnaryUnaryMultiCallable):
    def __init__(self, channel, method, args, kwargs):
        self._channel = channel
        self._method = method
        self._args = args
        self._kwargs = kwargs

    def __call__(self, request, **options):
        return self.with_call(request, **options)[0]

    def with_call(self, request, **options):
        connection, began_at = self._channel.current(), time.monotonic()
        try:
            reply = self._open_on(connection).with_call(request, **options)
        except grpc.RpcError as error:
            self._channel.note_outcome(connection, began_at, error.code())
            raise
        self._channel.note_outcome(connection, began_at, grpc.StatusCode.OK)
        return reply

    def future(self, request, **options):
        connection, began_at = self._channel.current(), time.monotonic()
        call = self._open_on(connection).future(request, **options)
        call.add_done_callback(
            lambda done: self._channel.note_outcome(connection, began_at, done.code())
        )
        return call

    def _open_on(self, connection):
        return connection.channel.unary_unary(self._method, *self._args, **self._kwargs)
