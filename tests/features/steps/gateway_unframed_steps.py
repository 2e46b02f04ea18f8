"""Steps for endpoints whose responses have neither a length nor chunks."""

import socket
import uuid
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from emulator import RunnerPlan, UnframedResponse, UnframedTurns
from emulator.fleet import HOST
from emulator.unframed import WHOLE_BODY
from gateway_calls import start

PLAN = RunnerPlan(slots=64)
HEADS = {
    "HTTP/1.1": UnframedResponse(),
    "HTTP/1.0": UnframedResponse(http_version="HTTP/1.0"),
    "HTTP/1.1 with Connection: close": UnframedResponse(says_close=True),
}


def _ended(end, content="events"):
    """Return the response with an end such as "reset after the head"."""
    how, _, place = end.partition(" ")
    assert how in ("closed", "reset"), end
    place = "whole" if place == "after the last byte" else place
    return UnframedResponse(place, how == "reset", content)


def _start(context, responses):
    start(context, 1, [PLAN._replace(unframed=response) for response in responses])


@given("1 gateway and 1 runner that sends events without a length, {head}")
def given_whole_events(context, head):
    _start(context, [HEADS[head]])


@given("1 gateway and 1 runner that sends a body without a length, {head}")
def given_whole_body(context, head):
    _start(context, [HEADS[head]._replace(content="body")])


@given("1 gateway and 1 runner whose body without a length is {end}")
def given_body(context, end):
    _start(context, [_ended(end, "body")])


@given("1 gateway and 1 runner that has its events without a length {end}")
def given_events(context, end):
    _start(context, [_ended(end)])


@given("1 gateway and 2 runners of which 1 has its {content} without a length {end}")
def given_one_ended(context, content, end):
    _start(context, [_ended(end, content), None])


@given("1 gateway and 2 runners of which 2 have their {content} without a length {end}")
def given_both_ended(context, content, end):
    _start(context, [_ended(end, content)] * 2)


@given("1 gateway and 2 runners, one {first} and one {second}")
def given_two_ends(context, first, second):
    _start(context, [_ended(first), _ended(second)])


@given(
    "1 gateway and 1 runner whose first stream is {first}, whose second one is "
    "{second}, and whose others are whole"
)
def given_turns(context, first, second):
    _start(context, [UnframedTurns([_ended(first), _ended(second)])])


@given(
    "1 gateway and 1 runner that sends a head with status {status:d} and leaves the "
    "connection open"
)
def given_bodyless(context, status):
    response = UnframedResponse("after the head", False, "body", status)
    _start(context, [response._replace(stays_open=True)])


@when('a caller sends a HEAD request for "{path}"')
def request_head(context, path):
    context.answers = [context.gateways.send(path, method="HEAD", body=b"")]


@when('a caller with HTTP/1.0 requests "{path}"')
def request_as_http_1_0(context, path):
    host, _, port = context.gateways.nodes[0].data.rpartition(":")
    lines = [f"POST {path} HTTP/1.0", f"Host: {HOST}", "Request-Id: r-1"]
    lines += ["Deadline-Ms: 5000", "Key: key-yard", "Content-Length: 2", "", "{}"]
    context.received, context.end = b"", "closed"
    with socket.create_connection((host, int(port)), timeout=10) as connection:
        connection.sendall("\r\n".join(lines).encode())
        try:
            while data := connection.recv(65_536):
                context.received += data
        except ConnectionResetError:
            context.end = "reset"


@then("the response has {count:d} events and its connection is {result}")
def check_http_1_0(context, count, result):
    assert context.received.startswith(b"HTTP/1.0 200 "), context.received
    assert context.received.count(b"id: ") == count, context.received
    assert context.end == result, context.end


@when('callers request "{prefix}" {count:d} times')
def request_many(context, prefix, count):
    fleet = context.gateways

    def ask(_):
        return fleet.send(prefix + uuid.uuid4().hex)

    with ThreadPoolExecutor(count) as pool:
        context.answers = list(pool.map(ask, range(count)))


@then("no response is complete")
def check_none_complete(context):
    ends = [(a.status, a.is_complete, a.events) for a in context.answers]
    assert ends and not any(end[:2] == (200, True) for end in ends), ends


@then("the response is a 502")
def check_failed(context):
    (answer,) = context.answers
    assert answer.status == 502 and not answer.is_signed, answer


@then("the response is 200, signed and complete with the runner's whole body")
def check_whole_body(context):
    _check_body(context, 200, WHOLE_BODY)


@then("the response is 200, signed, complete and empty")
def check_empty_body(context):
    _check_body(context, 200, b"")


@then(
    "the response has status {status:d}, is complete and empty and came within 1 second"
)
def check_bodyless(context, status):
    _check_body(context, status, b"")
    assert context.answers[0].longest_gap_seconds < 1.0, context.answers


def _check_body(context, status, body):
    (answer,) = context.answers
    assert answer.status == status and answer.is_signed, answer
    assert answer.is_complete and answer.body == body, answer
