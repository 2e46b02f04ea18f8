"""Steps for requests that are cut or framed ambiguously."""

import socket
import time

from behave import then, when
from emulator.fleet import HOST
from gateway_calls import runs

BODY = b"hello, runner"
SECONDS = 5.0
# A request that is taken for whole reaches the runner within this time.
SETTLE_SECONDS = 1.0
SMUGGLED = "/once/smuggled"
# The body of a request, with the field that tells its framing.
FRAMED = {
    "a length": (f"Content-Length: {len(BODY)}", BODY),
    "chunks, plain sizes": (
        "Transfer-Encoding: chunked",
        b"5\r\nhello\r\n8\r\n, runner\r\n0\r\n\r\n",
    ),
    "chunks, sizes with zeros": (
        "Transfer-Encoding: chunked",
        b"00000005\r\nhello\r\n00000008\r\n, runner\r\n00000000\r\n\r\n",
    ),
    "chunks, extensions": (
        "Transfer-Encoding: chunked",
        b'5;n=1\r\nhello\r\n8;n="a;b"\r\n, runner\r\n0;end\r\n\r\n',
    ),
    "chunks, trailers": (
        "Transfer-Encoding: chunked",
        b"5\r\nhello\r\n8\r\n, runner\r\n0\r\nX-Parts: 2\r\nX-Sum: 1\r\n\r\n",
    ),
}


def _request(path, fields, body=b""):
    lines = (
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {path.rpartition('/')[2]}",
        "Deadline-Ms: 5000",
        "Key: key-yard",
        *fields,
        "",
        "",
    )
    return "\r\n".join(lines).encode() + body


def _smuggled():
    return _request(SMUGGLED, ["Content-Length: 0"])


def _exchange(context, *parts, is_half_closed=False):
    """Send parts one after the other; return what the gateway sent until it closed."""
    host, _, port = context.gateways.nodes[0].data.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=SECONDS) as sock:
        received = b""
        try:
            for part in parts:
                sock.sendall(part)
            if is_half_closed:
                sock.shutdown(socket.SHUT_WR)
            while data := sock.recv(65_536):
                received += data
        except OSError:
            # The gateway may close before it has read everything.
            pass
        return received


def _statuses(received):
    return [
        int(part.split(b" ", 1)[0])
        for part in received.split(b"HTTP/1.1 ")[1:]
        if not part.startswith(b"100")
    ]


@when("a request with {body} is sent once whole, and cut after each of its bytes")
def send_cut(context, body):
    field, data = FRAMED[body]
    whole = _request("/once/whole", [field, "Connection: close"], data)
    context.whole = _exchange(context, whole)
    cut = _request("/once/cut", [field], data)
    context.received_by_kept = {
        kept: _exchange(context, cut[:kept], is_half_closed=True)
        for kept in range(len(cut))
    }


@then(
    "the runner has run the whole request, and the gateway refused or closed the others"
)
def check_cut(context):
    assert _statuses(context.whole) == [200], context.whole
    time.sleep(SETTLE_SECONDS)
    assert [run.path for run in runs(context)] == ["/once/whole"], runs(context)
    answered = {
        kept: received
        for kept, received in context.received_by_kept.items()
        if any(status < 400 for status in _statuses(received))
    }
    assert not answered, answered


@when("requests with these fields are sent, and further requests as their bodies")
def send_fields(context):
    context.received_by_row = {}
    for number, row in enumerate(context.table):
        fields = row["fields"].split("; ")
        data = _request(f"/once/{number}", fields, _smuggled())
        context.received_by_row[row["fields"]] = _exchange(context, data)


@when("a request with a length of {count:d} digits is sent")
def send_long_length(context, count):
    data = _request("/once/0", ["Content-Length: " + count * "9"])
    context.received_by_row = {count: _exchange(context, data)}


@when("requests with these chunks are sent, and further requests behind them")
def send_chunks(context):
    context.received_by_row = {}
    for number, row in enumerate(context.table):
        # behave takes the escapes of a cell as they are written.
        chunks = row["chunks"].replace("\\r", "\r").replace("\\n", "\n").encode()
        fields = ["Transfer-Encoding: chunked"]
        data = _request(f"/once/{number}", fields, chunks + _smuggled())
        context.received_by_row[row["chunks"]] = _exchange(context, data)


@then("each is refused as not run, and the runner has run nothing")
def check_refused(context):
    wrong = {
        row: received
        for row, received in context.received_by_row.items()
        if _statuses(received) not in ([400], [501]) or b"not_run" not in received
    }
    time.sleep(SETTLE_SECONDS)
    ran = [run.path for run in runs(context)]
    assert not wrong and not ran, (ran, wrong)


@when("a request that asks to continue without a body is sent, and then another one")
def send_expecting(context):
    # The connection is kept after a refusal, and closed after a stream.
    first = _request("/nowhere/first", ["X-First: 1", "Expect: 100-continue"])
    second = _request("/once/second", ["Content-Length: 5", "Connection: close"])
    context.received = _exchange(context, first, second + b"hello")


@then("both requests get a response of their own")
def check_both(context):
    assert _statuses(context.received) == [404, 200], context.received
    assert [run.path for run in runs(context)] == ["/once/second"], runs(context)
