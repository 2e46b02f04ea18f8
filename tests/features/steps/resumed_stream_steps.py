"""Steps for runners that answer with an error where a broken stream is to go on."""

import socket
import time

from behave import given, then, when
from emulator import ResumeAnswers, RunnerPlan
from emulator.chunks import ChunkParser
from emulator.endless import format_event
from emulator.fleet import HOST
from gateway_batch_steps import results
from gateway_calls import start

BREAKS_AFTER = 2
EVENTS = [format_event(number, "v1") for number in range(1, 7)]
ERROR_EVENT = b'event: error\ndata: {"error": "overloaded"}\n\n'
ERROR_HEAD = b"HTTP/1.1 500 Error\r\nContent-Type: text/plain\r\n\r\noverloaded\n\n"
COMMENT = b": wait\n\n"
SIGNED = ("Request-Id: {id}", "Server-Stamp: emulated")
EVENT_STREAM = (*SIGNED, "Content-Type: text/event-stream")
CODING = "Transfer-Encoding: chunked"
CHUNKED = (*EVENT_STREAM, CODING)


def _head(status, *lines):
    text = "\r\n".join((f"HTTP/1.1 {status} Emulated", *lines, "", ""))
    return text.encode()


def _with_length(status, body, *lines):
    return _head(status, *lines, f"Content-Length: {len(body)}") + body


def _chunked(*parts, field="X-Events: 6"):
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return _head(200, *EVENT_STREAM, field, CODING) + chunks + b"0\r\n\r\n"


TEXT = (*SIGNED, "Content-Type: text/plain")
ANSWERS = {
    "a 500 with a text": _with_length(500, b"overloaded", *TEXT),
    "a 500 with an event stream": _with_length(500, ERROR_EVENT, *EVENT_STREAM),
    "a 503 without a promise": _with_length(503, b"overloaded", *TEXT),
    "a 404 with a text": _with_length(404, b"no such path", *TEXT),
    "a 422 with a text": _with_length(422, b"no such model", *TEXT),
    "a 200 with a JSON body": _with_length(200, b'{"error": 1}', *SIGNED),
    "a 200 without a signature": _with_length(
        200, EVENTS[2], "Request-Id: {id}", "Content-Type: text/event-stream"
    ),
    "an event stream of one error event": _chunked(ERROR_EVENT),
    "an error event and an end without length": (
        _head(200, *EVENT_STREAM) + ERROR_EVENT
    ),
    "an error event before the next events": _chunked(ERROR_EVENT, *EVENTS[2:]),
    "the head of an error in the event stream": _chunked(ERROR_HEAD, *EVENTS[2:]),
    "the first event again and an end": _chunked(EVENTS[0]),
    "an unfinished event": _chunked(EVENTS[2][:-1]),
    "a text that is no head": b"overloaded\r\n\r\n",
    "half of a head": _head(200, *CHUNKED)[:60],
    "a blank in a field's name": _chunked(*EVENTS[2:], field="X Events: 6"),
    "a bracket in a field's name": _chunked(*EVENTS[2:], field="X(Events: 6"),
    "a control byte in a field's value": _chunked(*EVENTS[2:], field="X-Events: 6\0"),
    "a line feed in a field's value": _chunked(*EVENTS[2:], field="X-Events: 6\n"),
    "an answer to another request": _with_length(
        200, EVENTS[2], "Request-Id: other", *EVENT_STREAM[1:]
    ),
    "a comment and the next events": _chunked(COMMENT, *EVENTS[2:]),
}


@given("1 gateway and 2 runners that break streams and resume them with {answer}")
def given_answers(context, answer):
    plan = RunnerPlan(breaks_after=BREAKS_AFTER, raw=ResumeAnswers(ANSWERS[answer]))
    start(context, 1, [plan] * 2)


@when('a caller requests the stream "{path}" and keeps all bytes')
def request_stream(context, path):
    host, _, port = context.gateways.nodes[0].data.rpartition(":")
    lines = [f"POST {path} HTTP/1.1", f"Host: {HOST}", "Request-Id: r-1"]
    lines += ["Deadline-Ms: 5000", "Key: key-yard", "Content-Length: 2", "", "{}"]
    received = b""
    with socket.create_connection((host, int(port)), timeout=10) as connection:
        connection.sendall("\r\n".join(lines).encode())
        try:
            while not received.endswith(b"\r\n0\r\n\r\n"):
                data = connection.recv(65_536)
                if not data:
                    break
                received += data
        except ConnectionResetError:
            pass
    context.head, _, body = received.partition(b"\r\n\r\n")
    context.body, context.is_whole = _join_chunks(body)


def _join_chunks(data):
    """Return the data of chunks, and whether they are whole."""
    parser = ChunkParser()
    return parser.feed(data), parser.is_whole


@then("it gets the first 2 events, byte by byte, and sees that more are missing")
def check_broken(context):
    assert context.head.startswith(b"HTTP/1.1 200 "), context.head
    assert b"chunked" in context.head.lower(), context.head
    assert context.body == b"".join(EVENTS[:BREAKS_AFTER]), context.body
    assert not context.is_whole
    resumed = [r for runner in context.gateways.runners for r in runner.runs]
    assert any(run.after_event == BREAKS_AFTER for run in resumed), resumed


@then("it gets all 6 events, with the comment, and sees the end")
def check_whole(context):
    events = [*EVENTS[:BREAKS_AFTER], COMMENT, *EVENTS[BREAKS_AFTER:]]
    assert context.body == b"".join(events), context.body
    assert context.is_whole


@then("for {seconds:d} seconds no item is listed as completed")
def check_not_listed(context, seconds):
    end_at = time.monotonic() + seconds
    while time.monotonic() < end_at:
        found = [row for row in results(context, 0) if row["State"] == "completed"]
        assert not found, found
        time.sleep(0.2)
    resumed = [r for runner in context.gateways.runners for r in runner.runs]
    assert any(run.after_event == BREAKS_AFTER for run in resumed), resumed
