"""Steps for an endpoint that responds before an upload's end, or with odd statuses."""

import base64
import contextlib
import json
import socket
import socketserver
import struct
import threading
import time
import uuid

from behave import given, then, when
from emulator import RunnerPlan
from emulator.chunks import format_chunk, format_size_line
from emulator.endless import format_event
from emulator.fleet import wait_until
from emulator.unframed import WHOLE_BODY
from gateway_batch_steps import results
from gateway_calls import start

from sequoiaglade_decisions.outcomes import Failure
from sequoiaglade_endpoints import Call, EndpointClient

ITEM_BYTES = 3_000_000
BYTES_PER_MB = 1_000_000
PLACES = ("beginning", "middle", "end")
STATUSES = ("000", "099", "0", "1000", "-20", "999")
# With a larger buffer an upload could end before the reset.
RECEIVE_BUFFER_BYTES = 65_536
# Without a delay the reset may overtake the response.
RESET_DELAYS = (0.0, 0.05)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
REACHED_SECONDS = 20.0
SECONDS = 5.0
PROBE = "/safe/probe"
EVENTS = [format_event(number, "v1") for number in (1, 2, 3)]
CONTENT_TYPE_BY_CONTENT = {
    "a body": "application/json",
    "a body, marked so": "application/json",
    "no body": "application/json",
    "events": "text/event-stream",
}
WHOLE_BY_CONTENT = {
    "a body": WHOLE_BODY,
    "a body, marked so": WHOLE_BODY,
    "no body": b"",
    "events": b"".join(EVENTS),
}
PART_BY_CONTENT = {
    "a body": WHOLE_BODY[:20],
    # Whole events: nothing in the body itself tells that others are missing.
    "events": b"".join(EVENTS[:2]),
}
# Each returns the fields that frame a body, and the body on the wire.
FRAMINGS = {
    "a length": lambda body: ([f"Content-Length: {len(body)}"], body),
    "chunks": lambda body: (
        ["Transfer-Encoding: chunked"],
        format_chunk(body) + format_size_line(0) + b"\r\n",
    ),
    "its close": lambda body: ([], body),
}


class _Handler(socketserver.StreamRequestHandler):
    """Responds to one request as the server's attributes tell."""

    def handle(self):
        line = self.rfile.readline().decode()
        path = line.split()[1] if line else ""
        fields = {}
        while (row := self.rfile.readline().strip()) and b":" in row:
            name, _, value = row.decode().partition(":")
            fields[name.lower()] = value.strip()
        if not line:
            return
        request_id = fields.get("request-id", "")
        if path == PROBE:
            self.wfile.write(_head(200, request_id, "a body", "Content-Length: 0"))
            return
        length = int(fields.get("content-length", 0))
        self.server.received.append((path, length))
        if self.server.status is None:
            self._reset_early(request_id, length)
        else:
            self.rfile.read(length)
            self._send_status(request_id)

    def _reset_early(self, request_id, length):
        server = self.server
        # The rest of the upload is left unread.
        middle, end = length // 2, length - 1
        self.rfile.read({"beginning": 0, "middle": middle, "end": end}[server.place])
        head = _head(200, request_id, server.content, "Connection: close")
        with contextlib.suppress(OSError):
            self.wfile.write(head + PART_BY_CONTENT[server.content])
        time.sleep(server.reset_delay)
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        # The files keep the connection open.
        self.rfile.close()
        self.wfile.close()
        self.connection.close()

    def _send_status(self, request_id):
        content = self.server.content
        body = WHOLE_BY_CONTENT[content]
        framing, body = FRAMINGS[self.server.framing](body)
        fields = [*self.server.fields, *framing]
        if content == "a body, marked so":
            fields.append("Not-Run: 1")
        self.wfile.write(_head(self.server.status, request_id, content, *fields) + body)


class _Server(socketserver.ThreadingTCPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64
    content = "a body"
    place = "beginning"
    reset_delay = 0.0
    status = None
    framing = "a length"
    fields = ()

    def server_bind(self):
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        super().server_bind()

    def shutdown_request(self, request):
        """Close the connection; it may be closed already."""
        with contextlib.suppress(OSError):
            super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Ignore errors: callers may disconnect at any time."""


def _head(status, request_id, content, *fields):
    lines = (
        f"HTTP/1.1 {status} Emulated",
        f"Request-Id: {request_id}",
        "Server-Stamp: emulated",
        f"Content-Type: {CONTENT_TYPE_BY_CONTENT[content]}",
        *fields,
        "",
        "",
    )
    return "\r\n".join(lines).encode("latin-1")


def _start_endpoint(context, content):
    server = context.stack.enter_context(_Server(("127.0.0.1", 0), _Handler))
    server.content = content
    server.received = []
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.stack.callback(server.shutdown)
    context.endpoint = server
    context.endpoint_address = "127.0.0.1:{}".format(server.server_address[1])


def start_fleet(context, content, by):
    """Start gateways whose only endpoint is a `_Server`.

    The first gateway is cut off from it if it is to be reached through a peer.
    """
    _start_endpoint(context, content)
    has_peer = by == "through a peer"
    start(context, 1 + has_peer, [RunnerPlan()], has_runner_links=has_peer)
    fleet = context.gateways
    if has_peer:
        # A link may close a connection that its target reset.
        fleet.entrances[1].runner_links = None
    (runner,) = fleet.runners
    runner.advertised_address = context.endpoint_address
    runner.register("ready")
    if has_peer:
        wait_reached(context, 1)
        fleet.runner_links[0].cut("refuse")
        wait_until(
            lambda: _is_forwarded(fleet), REACHED_SECONDS, "gateway 0 asks its peer"
        )


def _is_forwarded(fleet):
    fleet.send(PROBE)
    events = [line["event"] for line in fleet.nodes[0].log_lines()]
    return "request forwarded" in events


def wait_reached(context, node=0):
    """Wait until the endpoint is used, which it isn't for a while after faults."""
    fleet = context.gateways

    def is_reached():
        answer = fleet.send(PROBE, node)
        return answer is not None and answer.status == 200 and not answer.body

    wait_until(is_reached, REACHED_SECONDS, "the endpoint is used")


def _upload(size):
    """Return a body that no earlier request had: those that broke are refused."""
    return uuid.uuid4().hex.encode().ljust(size * BYTES_PER_MB, b"x")


def send_reaching(context, prefix, body):
    """Send requests until one has reached the endpoint; return its response."""
    for _ in range(10):
        wait_reached(context)
        before = len(context.endpoint.received)
        answer = context.gateways.send(prefix + uuid.uuid4().hex, body=body())
        if len(context.endpoint.received) > before:
            return answer
    raise AssertionError("no request reached the endpoint")


@given("an endpoint that sends part of {content} without a length, reached {by}")
def given_early(context, content, by):
    start_fleet(context, content, by)


@given("an endpoint that sends {content} with invalid statuses, reached {by}")
def given_statuses(context, content, by):
    start_fleet(context, content, by)


@given("an endpoint that sends events with status {status}, reached directly")
def given_status(context, status):
    start_fleet(context, "events", "directly")
    context.endpoint.status = status


@given("a single endpoint that sends part of {content} without a length")
def given_single_early(context, content):
    _start_endpoint(context, content)


@given("a single endpoint that sends a body with invalid statuses")
def given_single_statuses(context):
    _start_endpoint(context, "a body")


@when(
    'uploads of {size:d} MB to "{prefix}" are reset at the beginning, in the middle '
    "and at the end"
)
def upload(context, size, prefix):
    context.answers = {}
    for place in PLACES:
        for delay in RESET_DELAYS:
            context.endpoint.place, context.endpoint.reset_delay = place, delay
            answer = send_reaching(context, prefix, lambda: _upload(size))
            context.answers[place, delay] = answer


@then("each upload reached the endpoint, and no response is complete")
def check_uploads(context):
    assert len(context.answers) == len(PLACES) * len(RESET_DELAYS)
    for case, answer in context.answers.items():
        assert answer is not None, case
        is_refused = answer.status == 502 and not answer.is_signed
        is_cut = answer.status == 200 and not answer.is_complete
        assert is_refused or is_cut, (case, answer)
        assert not answer.events or is_cut, (case, answer)


@when("an item of 3 MB is reset at the {place} of its upload")
def upload_item(context, place):
    context.endpoint.place, context.endpoint.reset_delay = place, RESET_DELAYS[1]
    wait_reached(context)
    submit(context, ITEM_BYTES)


@when("a job of one item is submitted")
def submit_item(context):
    wait_reached(context)
    submit(context, 2)


def submit(context, size):
    item = {
        "Id": "item-0",
        "Path": "/batch/x/item-0",
        "Headers": {"Model": "m", "Token-Count": "10,10"},
        "Body": base64.b64encode(b"x" * size).decode(),
        "Tokens": 20,
    }
    context.job_id = uuid.uuid4().hex[:16]
    context.answer = context.gateways.send(
        f"/batch/{context.job_id}",
        request_id=context.job_id,
        body=json.dumps({"Items": [item]}).encode(),
    )
    assert context.answer.status == 202, context.answer


@then("the item reached the endpoint, and is not listed as completed")
def check_item(context):
    received = context.endpoint.received
    wait_until(lambda: received, REACHED_SECONDS, "the item reaches the endpoint")
    # It is tried again meanwhile.
    end = time.monotonic() + 4.0
    while time.monotonic() < end:
        rows = results(context, 0)
        assert not any(row["State"] == "completed" for row in rows), rows
        time.sleep(0.2)


@when('a caller requests "{prefix}" for each of the invalid statuses')
def request_statuses(context, prefix):
    context.answers, context.case_count = {}, len(STATUSES)
    for status in STATUSES:
        context.endpoint.status = status
        body = lambda: uuid.uuid4().hex.encode()  # noqa: E731
        context.answers[status] = send_reaching(context, prefix, body)


@then("each request reached the endpoint, and each response is a 502 of the gateway")
def check_statuses(context):
    assert len(context.answers) == context.case_count
    for case, answer in context.answers.items():
        assert answer is not None, case
        assert answer.status == 502 and not answer.is_signed, (case, answer)


def _call_by_node(context, body):
    url = f"http://{context.endpoint_address}"
    call = Call(url, "POST", "/once/1", (), body, "r-1")
    with EndpointClient(SECONDS, SECONDS) as client:
        outcome = client.run(call._replace(is_repeatable=False))
        if isinstance(outcome, Failure):
            return None
        with outcome:
            body = outcome.read_body(1000)
        return None if isinstance(body, Failure) else (outcome.status, body)


@when(
    "a node makes calls of {size:d} MB that are reset at the beginning, in the middle "
    "and at the end"
)
def call_early(context, size):
    context.outcome_by_case = {}
    for place in PLACES:
        for delay in RESET_DELAYS:
            context.endpoint.place, context.endpoint.reset_delay = place, delay
            outcome = _call_by_node(context, _upload(size))
            context.outcome_by_case[place, delay] = outcome


@when("a node makes a call for each of the invalid statuses")
def call_statuses(context):
    context.outcome_by_case = {}
    for status in STATUSES:
        context.endpoint.status = status
        context.outcome_by_case[status] = _call_by_node(context, b"{}")


@then("no call has a complete response")
def check_calls(context):
    found = {c: o for c, o in context.outcome_by_case.items() if o is not None}
    assert context.endpoint.received and not found, found
