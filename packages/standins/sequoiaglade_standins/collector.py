"""Stand-in for a telemetry collector: receives OTLP spans over gRPC, scrapes metrics.

>>> with Collector() as collector:
...     collector.spans()
[]
>>> read_samples('requests_total{path="/v1",status="2xx"} 3.0')
{('requests_total', (('path', '/v1'), ('status', '2xx'))): 3.0}
"""

import re
import threading
from concurrent import futures
from typing import NamedTuple

import grpc
import urllib3
from opentelemetry.proto.collector.trace.v1 import (
    trace_service_pb2,
    trace_service_pb2_grpc,
)

_SAMPLE = re.compile(r"(?P<name>[a-z_]+)(\{(?P<labels>.*)\})? (?P<value>[-+.\de]+)")
_LABEL = re.compile(r'(\w+)="([^"]*)"')


class Span(NamedTuple):
    """A received span; ids are in hexadecimal, `parent_id` is empty for a root span."""

    name: str
    trace_id: str
    span_id: str
    parent_id: str
    instance_id: str


class Collector(trace_service_pb2_grpc.TraceServiceServicer):
    """Stores the spans that it receives; a context manager that serves at `url`."""

    def __init__(self):
        self._lock = threading.Lock()
        self._spans = []
        self._server = grpc.server(futures.ThreadPoolExecutor(2))
        trace_service_pb2_grpc.add_TraceServiceServicer_to_server(self, self._server)
        port = self._server.add_insecure_port("127.0.0.1:0")
        self.url = f"http://127.0.0.1:{port}"

    def __enter__(self):
        self._server.start()
        return self

    def __exit__(self, *exc_info):
        self._server.stop(None).wait()

    def Export(self, request, context):  # noqa: N802
        """Store the exported spans."""
        with self._lock:
            for resource_spans in request.resource_spans:
                instance_id = _instance_id(resource_spans.resource)
                for scope_spans in resource_spans.scope_spans:
                    for span in scope_spans.spans:
                        self._spans.append(_span(span, instance_id))
        return trace_service_pb2.ExportTraceServiceResponse()

    def spans(self):
        """Return the spans received so far."""
        with self._lock:
            return list(self._spans)


def read_samples(text):
    """Return the values of metrics in the Prometheus text format.

    Keys are pairs of the metric's name and a sorted tuple of its labels, each a pair of
    name and value. Labels that the exporter adds (``otel_*``) are left out.
    """
    samples = {}
    for line in text.splitlines():
        found = _SAMPLE.fullmatch(line)
        if found is not None:
            labels = sorted(_LABEL.findall(found["labels"] or ""))
            kept_labels = tuple(
                pair for pair in labels if not pair[0].startswith("otel_")
            )
            samples[found["name"], kept_labels] = float(found["value"])
    return samples


def scrape(control_url):
    """Return the current samples of the node with this control address."""
    response = urllib3.request("GET", f"{control_url}/metrics", timeout=5.0)
    return read_samples(response.data.decode())


def _instance_id(resource):
    for attribute in resource.attributes:
        if attribute.key == "service.instance.id":
            return attribute.value.string_value
    return ""


def _span(span, instance_id):
    return Span(
        span.name,
        span.trace_id.hex(),
        span.span_id.hex(),
        span.parent_span_id.hex(),
        instance_id,
    )
