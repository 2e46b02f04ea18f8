"""OpenTelemetry metrics, and traces with a span for each hop.

Metrics are collected by the SDK and read at ``/metrics``. The SDK creates spans only if
``traces_url`` is set; otherwise the API's spans do nothing. The SDK and its exporters
are imported on demand to save memory.
"""

import os

from opentelemetry import metrics, propagate, trace

EXPORT_SECONDS = 5
_SERVICE = "sequoiaglade-node"
_SIZE_OF_STATUS_CLASS = 100

tracer = trace.get_tracer("sequoiaglade.node")


class Telemetry:
    """The node's instruments; a context manager that flushes the exporters."""

    def __init__(self, node_id, traces_url=None):
        self._provider = _trace_provider(node_id, traces_url)
        self._meter_provider = _meter_provider(node_id)
        meter = metrics.get_meter("sequoiaglade.node")
        self.request_seconds = meter.create_histogram(
            "sequoiaglade.request.duration", "s", "time until an answer's head"
        )
        self._meter = meter

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for provider in (self._provider, self._meter_provider):
            if provider is not None:
                provider.shutdown()

    def counter(self, name, unit, description):
        """Return a counter; ``add(number, labels)`` adds to a series."""
        return self._meter.create_counter(name, unit, description)

    def histogram(self, name, unit, description):
        """Return a histogram; ``record(number, labels)`` adds a value."""
        return self._meter.create_histogram(name, unit, description)

    def gauge(self, name, unit, description, read):
        """Add a gauge whose value `read` returns when it is collected."""

        def observe(options):
            return [metrics.Observation(read())]

        self._meter.create_observable_gauge(name, [observe], unit, description)

    def text(self):
        """Return all metrics in the text format of ``/metrics``, as bytes."""
        from prometheus_client import REGISTRY, generate_latest

        return generate_latest(REGISTRY)

    def observed(self, application, clock):
        """Return the WSGI `application` with a span and metrics for each request.

        The span continues the trace of the caller's W3C ``traceparent`` header.
        """

        def observe(environ, start_response):
            started_at = clock()
            carrier = _carrier(environ)
            context = propagate.extract(carrier) if carrier else None
            name = f"{environ['REQUEST_METHOD']} {path_class(environ['PATH_INFO'])}"
            with tracer.start_as_current_span(
                name, context=context, kind=trace.SpanKind.SERVER
            ) as span:
                body, status = _call(application, environ, start_response)
                span.set_attribute("http.response.status_code", status)
            labels = {
                "path": path_class(environ["PATH_INFO"]),
                "status": f"{status // _SIZE_OF_STATUS_CLASS}xx",
            }
            self.request_seconds.record(clock() - started_at, labels)
            return body

        return observe


def path_class(path):
    """Return the label value under which requests to `path` are counted.

    >>> path_class("/v1/batches/batch_1/cancel"), path_class("/stock/kiosk-7")
    ('/v1/batches', 'service')
    """
    parts = path.split("/")
    if len(parts) > 2 and parts[1] == "v1":
        known = "/".join(parts[: 4 if parts[2] == "chat" else 3])
        return known if known in _PATHS else "other"
    return "service"


_PATHS = (
    "/v1/batches",
    "/v1/chat/completions",
    "/v1/completions",
    "/v1/entries",
    "/v1/files",
    "/v1/models",
)


def _call(application, environ, start_response):
    seen = []

    def note_status(line, headers, exc_info=None):
        seen.append(int(line.split(" ", 1)[0]))
        return start_response(line, headers, exc_info)

    body = application(environ, note_status)
    return body, seen[-1] if seen else 0


def _carrier(environ):
    names = ("traceparent", "tracestate")
    keys = {name: f"HTTP_{name.upper()}" for name in names}
    return {name: environ[key] for name, key in keys.items() if key in environ}


def _resource(node_id):
    from opentelemetry.sdk.resources import Resource

    values = {"service.name": _SERVICE, "service.instance.id": node_id}
    return Resource.create(values)


def _meter_provider(node_id):
    from opentelemetry.exporter.prometheus import PrometheusMetricReader
    from opentelemetry.sdk.metrics import AlwaysOffExemplarFilter, MeterProvider

    reader = PrometheusMetricReader()
    provider = MeterProvider(
        [reader],
        resource=_resource(node_id),
        exemplar_filter=AlwaysOffExemplarFilter(),
    )
    metrics.set_meter_provider(provider)
    return provider


def _trace_provider(node_id, traces_url):
    if traces_url is None:
        return None
    os.environ.setdefault("OTEL_EXPORTER_OTLP_INSECURE", "true")
    from opentelemetry.exporter.otlp.proto.grpc.trace_exporter import OTLPSpanExporter
    from opentelemetry.sdk.trace import TracerProvider
    from opentelemetry.sdk.trace.export import BatchSpanProcessor

    provider = TracerProvider(resource=_resource(node_id))
    exporter = OTLPSpanExporter(endpoint=traces_url)
    millis = EXPORT_SECONDS * 1000
    provider.add_span_processor(
        BatchSpanProcessor(exporter, schedule_delay_millis=millis)
    )
    trace.set_tracer_provider(provider)
    return provider
