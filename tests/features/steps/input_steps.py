"""Steps on invalid input."""

import json
import socket
import threading

from behave import given, then, when
from online_calls import (
    at_once,
    call_path,
    chat,
    error_of,
    in_background,
    model_client,
    open_fleet,
    read_stream,
    text_of,
    wait_until,
)
from waitress import wasyncore

from sequoiaglade_node.settings import Limits
from sequoiaglade_node.web import Listener
from sequoiaglade_node.web.threads import GrowingDispatcher

HEAD = "{method} {path} HTTP/{version}\r\nHost: node\r\n{auth}{fields}\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
BIG_BYTES = 20_000_000
WAIT_SECONDS = 60.0


@given("a node with small limits")
def start_small_node(context):
    limits = {"body_bytes": 65_536, "header_bytes": 8192, "arrival_seconds": 1.0}
    open_fleet(context, 1, 1, **limits)


def request_of(context, name):
    """Return the bytes of a malformed request."""
    key = context.fleet.key_by_workspace["salina"]
    auth = f"Authorization: Bearer {key}\r\n"
    model = b'{"model": "restock-writer", '
    bodies = {
        "body over its limit": model + b'"x": "' + b"a" * 200_000 + b'"}',
        "not JSON": b"{model",
        "not UTF-8": model + b'"x": "\xff"}',
        "deep nesting": b"[" * 50_000,
        "duplicate name": model + b'"model": "other"}',
        "NaN": model + b'"x": NaN}',
        "two authorizations": model + b'"x": 1}',
    }
    chunk = b"5000\r\n" + b"a" * 0x5000 + b"\r\n"
    framed = {
        "chunks over limit": (CHUNKED, chunk * 6 + b"0\r\n\r\n"),
        "length and chunks": (CHUNKED + "Content-Length: 4\r\n", b"0\r\n\r\n"),
        "two lengths": ("Content-Length: 4\r\nContent-Length: 5\r\n", b"GET /"),
        "bad chunk": (CHUNKED, b"zz\r\nhello\r\n0\r\n\r\n"),
        "headers over limit": ("X-Long: " + "a" * 20_000 + "\r\n", b""),
    }
    values = {"method": "POST", "path": "/v1/chat/completions", "version": "1.1"}
    values |= {"auth": auth, "fields": "", "body": b""}
    match name:
        case "slow head":
            return f"POST /v1/models HTTP/1.1\r\n{auth}".encode()
        case "chunks in HTTP/1.0":
            values |= {"fields": CHUNKED, "version": "1.0", "body": b"0\r\n\r\n"}
        case "dot segments":
            values |= {"path": "/stock/%2e%2e/orders"}
        case "line break in path":
            values |= {"path": "/stock/%0d%0aX:1"}
        case _ if name in framed:
            values |= {"fields": framed[name][0], "body": framed[name][1]}
        case _:
            length = f"Content-Length: {len(bodies[name])}\r\n"
            second = auth if name == "two authorizations" else ""
            values |= {"fields": second + length, "body": bodies[name]}
    body = values.pop("body")
    return HEAD.format(**values).encode() + body


def send(context, data):
    """Send raw bytes; return the status and the error of the response."""
    with open_connection(context) as sock:
        sock.sendall(data)
        answer = sock.makefile("rb")
        status = int(answer.readline().split()[1])
        length = 0
        while (line := answer.readline()) not in (b"\r\n", b""):
            name, _, text = line.partition(b":")
            length = int(text) if name.lower() == b"content-length" else length
        return status, json.loads(answer.read(length))["error"]


def open_connection(context):
    host, _, port = context.fleet.nodes[0].url.removeprefix("http://").rpartition(":")
    return socket.create_connection((host, int(port)), timeout=20.0)


@then("these requests are refused")
def check_refused_requests(context):
    for row in context.table:
        status, error = send(context, request_of(context, row["request"]))
        seen = (str(status), error["code"], error["execution"])
        assert seen == (row["status"], row["code"], "not_run"), (row, error)


@then("no endpoint ran anything")
def check_nothing_ran(context):
    assert context.fleet.runs() == []


@when("{count:d} connections are opened, half of them in the middle of a head")
def open_connections(context, count):
    for number in range(count):
        sock = context.stack.enter_context(open_connection(context))
        if number % 2:
            sock.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost:")


@then("a call gets a response within {seconds:d} s")
def check_call(context, seconds):
    answer = chat(model_client(context.fleet, timeout=float(seconds)), 2)
    assert answer.choices[0].message.content == text_of(2)


@given("a listener for at most {count:d} connections")
def make_listener(context, count):
    listener = Listener(print, "127.0.0.1:0", 1, Limits(connections=count))
    context.server = listener._server
    context.stack.callback(wasyncore.close_all, context.server._map)
    context.stack.callback(context.server.task_dispatcher.shutdown)


@when("{count:d} connections are pending and its loop makes {passes:d} passes")
def accept_connections(context, count, passes):
    address = context.server.socket.getsockname()
    for _ in range(count):
        context.stack.enter_context(socket.create_connection(address, timeout=20.0))
    for _ in range(passes):
        wasyncore.poll2(0.0, context.server._map)


@then("it has at least {least:d} and at most {most:d} connections")
def check_connections(context, least, most):
    count = len(context.server.active_channels)
    assert least <= count <= most, count


@when("{count:d} bodies of 20 MB are sent at once to a model")
def send_big_bodies(context, count):
    chat(model_client(context.fleet), 1)
    context.memory = memory_bytes(context)
    key = context.fleet.key_by_workspace["salina"]
    head = HEAD.format(
        method="POST",
        path="/v1/chat/completions",
        version="1.1",
        auth=f"Authorization: Bearer {key}\r\n",
        fields=f"Content-Length: {BIG_BYTES}\r\n",
    )
    data = head.encode() + b"a" * BIG_BYTES
    context.seen = at_once(lambda _: send(context, data), count)


@then("each was refused as too large")
def check_too_large(context):
    assert {status for status, _ in context.seen} == {413}, context.seen


@then("the node's memory has grown by at most {size:d} MB")
def check_memory(context, size):
    grown = memory_bytes(context, "VmHWM") - context.memory
    assert grown <= size * 1_000_000, grown


def memory_bytes(context, field="VmRSS"):
    pid = context.fleet.nodes[0].process.pid
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        lines = dict(line.split(":", 1) for line in file)
    return int(lines[field].split()[0]) * 1024


class LongTask:
    """A task that runs until `ended` is set and releases `started` at its start."""

    def __init__(self, started, ended):
        self._started = started
        self._ended = ended

    def service(self):
        """Run the task."""
        self._started.release()
        self._ended.wait()

    def cancel(self):
        """Ignore that the task was cancelled."""


@given("a listener's threads, at most {count:d}")
def make_threads(context, count):
    context.threads = GrowingDispatcher(count, WAIT_SECONDS)
    context.stack.callback(context.threads.shutdown)
    assert not context.threads.threads


@when("{count:d} long tasks are added")
def add_tasks(context, count):
    context.started = threading.Semaphore(0)
    context.ended = threading.Event()
    context.stack.callback(context.ended.set)
    for _ in range(count):
        context.threads.add_task(LongTask(context.started, context.ended))


@then("{count:d} of them run concurrently, and the others after these have ended")
def check_run(context, count):
    for _ in range(count):
        assert context.started.acquire(timeout=10.0)
    assert not context.started.acquire(blocking=False)
    waiting = len(context.threads.queue)
    context.ended.set()
    for _ in range(waiting):
        assert context.started.acquire(timeout=10.0)
    assert waiting == 2, waiting


@then("no more than {count:d} threads were started")
def check_thread_count(context, count):
    assert len(context.threads.threads) == count, context.threads.threads


@given("a node with {count:d} threads for calls, which may wait {seconds:d} s")
def start_few_threads(context, count, seconds):
    open_fleet(context, 1, 1, pace=0.1, data_threads=count, queue_seconds=seconds)


@when("{streams:d} streams of {seconds:d} s run and {calls:d} further calls arrive")
def exhaust_threads(context, streams, seconds, calls):
    client = model_client(context.fleet, timeout=60.0)
    context.tokens = seconds * 10

    def stream():
        return read_stream(chat(client, context.tokens, stream=True))

    context.streams = [in_background(stream) for _ in range(streams)]
    wait_until(lambda: len(context.fleet.runs()) == streams, 10, "the streams run")

    def call(number):
        answer = call_path(context.fleet, "/v1/chat/completions", timeout=60.0)
        return answer, [box for box in context.streams if box]

    context.refused = at_once(call, calls)


@then("the {count:d} calls are refused as overloaded and not run, before a stream ends")
def check_refused_calls(context, count):
    assert len(context.refused) == count
    for answer, ended_streams in context.refused:
        assert answer.status == 503 and not ended_streams, answer.data
        assert answer.headers["Retry-After"] == "1", answer.headers
        error = error_of(answer)
        assert error["code"] == "overloaded", error
        assert error["execution"] == "not_run", error


@then("the streams are complete, and a later call gets a response")
def check_streams(context):
    for box in context.streams:
        wait_until(lambda box=box: box, 60, "a stream ends")
        assert box[0] == text_of(context.tokens), box
    assert len(context.fleet.runs()) == len(context.streams)
    answer = chat(model_client(context.fleet), 2)
    assert answer.choices[0].message.content == text_of(2)
