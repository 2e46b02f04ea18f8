"""Channels and servers of calls between nodes, with spans if these are exported.

Only nodes that export traces create spans. On other nodes, channels and servers have no
interceptors, so that calls have no extra cost.
"""

import sys

import grpc

from .channels import RenewedChannel

# Streams that begin while a peer can't be reached are unknown to it, so that they can't
# be taken up there if this node is lost meanwhile.
FIRST_RECONNECT_BACKOFF_MS = 100
MAX_RECONNECT_BACKOFF_MS = 250


def open_channel(address):
    """Return a channel to a node, with a span per call if spans are exported.

    After a lost connection it reconnects within `MAX_RECONNECT_BACKOFF_MS` plus jitter;
    a connection on which calls time out is replaced.
    """
    options = [
        ("grpc.initial_reconnect_backoff_ms", FIRST_RECONNECT_BACKOFF_MS),
        ("grpc.max_reconnect_backoff_ms", MAX_RECONNECT_BACKOFF_MS),
    ]
    channel = RenewedChannel(address, options)
    if not _is_exported():
        return channel
    # Imports OpenTelemetry's API, which a node without traces does not load.
    from .spans import ClientSpans

    return grpc.intercept_channel(channel, ClientSpans())


def server_interceptors():
    """Return the interceptors of a server that other nodes call."""
    if not _is_exported():
        return ()
    # Imports OpenTelemetry's API, which a node without traces does not load.
    from .spans import ServerSpans

    return (ServerSpans(),)


def _is_exported():
    # Whoever sets a provider has loaded the API for that.
    trace = sys.modules.get("opentelemetry.trace")
    return trace is not None and not isinstance(
        trace.get_tracer_provider(), trace.ProxyTracerProvider
    )
