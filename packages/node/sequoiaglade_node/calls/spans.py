"""Spans of calls between nodes, with the W3C trace context in the call metadata.

Periodic gossip and limit polls have no spans.
"""

from typing import Any, NamedTuple

import grpc
from opentelemetry import propagate, trace

UNTRACED_CALLS = frozenset(("Gossip/Exchange", "Limits/Poll"))

_tracer = trace.get_tracer("sequoiaglade.node")


def call_name(method):
    """Return the service and the method of a gRPC method path.

    >>> call_name("/sequoiaglade.v1.Limits/Grant")
    'Limits/Grant'
    """
    return method.rpartition(".")[2]


class _CallFields(NamedTuple):
    method: str
    timeout: float | None
    metadata: Any
    credentials: Any
    wait_for_ready: bool | None
    compression: Any


class _CallDetails(_CallFields, grpc.ClientCallDetails):
    pass


class ClientSpans(grpc.UnaryUnaryClientInterceptor):
    """Creates a span for each call to another node."""

    def intercept_unary_unary(self, continuation, client_call_details, request):
        name = call_name(client_call_details.method)
        if name in UNTRACED_CALLS:
            return continuation(client_call_details, request)
        span = _tracer.start_span(f"node to node {name}", kind=trace.SpanKind.CLIENT)
        carrier = {}
        with trace.use_span(span):
            propagate.inject(carrier)
        call = continuation(_with_context(client_call_details, carrier), request)
        call.add_done_callback(lambda done: _end(span, done))
        return call


class ServerSpans(grpc.ServerInterceptor):
    """Creates a span for each call of another node."""

    def intercept_service(self, continuation, handler_call_details):
        handler = continuation(handler_call_details)
        name = call_name(handler_call_details.method)
        is_unary = handler is not None and handler.unary_unary is not None
        if not is_unary or name in UNTRACED_CALLS:
            return handler
        context = propagate.extract(dict(handler_call_details.invocation_metadata))

        def observed(request, call_context):
            with _tracer.start_as_current_span(
                f"node {name}", context=context, kind=trace.SpanKind.SERVER
            ):
                return handler.unary_unary(request, call_context)

        return grpc.unary_unary_rpc_method_handler(
            observed, handler.request_deserializer, handler.response_serializer
        )


def _with_context(details, carrier):
    return _CallDetails(
        details.method,
        details.timeout,
        [*(details.metadata or ()), *carrier.items()],
        details.credentials,
        details.wait_for_ready,
        details.compression,
    )


def _end(span, call):
    code = call.code()
    if code is not None:
        span.set_attribute("rpc.grpc.status_code", code.value[0])
    span.end()
