"""Cost of metrics and spans while nothing is exported.

Compares requests without and with telemetry, and calls between nodes over a plain gRPC
channel and over the traced one that nodes use.
"""

import io
import time
from concurrent import futures

import grpc

from sequoiaglade_node.calls import open_channel, server_interceptors
from sequoiaglade_node.peers.journal import JournalServicer
from sequoiaglade_node.telemetry import Telemetry
from sequoiaglade_protocol import journal_pb2, journal_pb2_grpc

CALL_COUNTS = (1_000, 10_000, 50_000)
PEER_CALL_COUNTS = (500, 1_000, 2_000)
MICROS = 1_000_000


def run(options):
    """Return CPU time per request and per peer call, without and with telemetry."""
    with Telemetry("bench") as telemetry:
        observed = telemetry.observed(_application, time.monotonic)
        rows = [
            {
                "what": "request",
                "calls": count,
                "plain_us": round(_request_cost(_application, count), 2),
                "observed_us": round(_request_cost(observed, count), 2),
            }
            for count in CALL_COUNTS
        ]
        return rows + _peer_rows()


def _peer_rows():
    with _Server(()) as plain, _Server(server_interceptors()) as observed:
        with (
            grpc.insecure_channel(plain) as plain_channel,
            open_channel(observed) as traced_channel,
        ):
            _peer_call_cost(plain_channel, PEER_CALL_COUNTS[0])
            _peer_call_cost(traced_channel, PEER_CALL_COUNTS[0])
            return [
                {
                    "what": "node to node",
                    "calls": count,
                    "plain_us": round(_peer_call_cost(plain_channel, count), 2),
                    "observed_us": round(_peer_call_cost(traced_channel, count), 2),
                }
                for count in PEER_CALL_COUNTS
            ]


class _Server:
    """Journal server in this process; a context manager that yields its address."""

    def __init__(self, interceptors):
        pool = futures.ThreadPoolExecutor(2)
        self._server = grpc.server(pool, interceptors=interceptors)
        servicer = JournalServicer(_EmptyJournal())
        journal_pb2_grpc.add_JournalServicer_to_server(servicer, self._server)
        self._port = self._server.add_insecure_port("127.0.0.1:0")

    def __enter__(self):
        self._server.start()
        return f"127.0.0.1:{self._port}"

    def __exit__(self, *exc_info):
        self._server.stop(None).wait()


class _EmptyJournal:
    def about(self, subject):
        return []


def _peer_call_cost(channel, count):
    stub = journal_pb2_grpc.JournalStub(channel)
    query = journal_pb2.JournalQuery(subject="req-1")
    started_at = time.process_time()
    for _ in range(count):
        stub.About(query)
    return MICROS * (time.process_time() - started_at) / count


def _application(environ, start_response):
    start_response("200 OK", [("Content-Length", "0")])
    return [b""]


def _request_cost(application, count):
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": "/v1/chat/completions",
        "wsgi.input": io.BytesIO(),
    }
    started_at = time.process_time()
    for _ in range(count):
        application(environ, _start_response)
    return MICROS * (time.process_time() - started_at) / count


def _start_response(line, headers, exc_info=None):
    return None
