"""Steps for endpoints that close the connection inside the head of a response."""

from behave import given, then, when
from cut_calls import CALLS, serve

from sequoiaglade_cli.client import NodeClient, Problem

FIELDS_BY_FRAMING = {
    "a length": ("Content-Length: 12",),
    "the length 0": ("Content-Length: 0",),
    "chunks": ("Transfer-Encoding: chunked",),
    "no length": (),
    "a promise": ("Content-Length: 0", "Not-Run: 1"),
}


@given("an endpoint that cuts heads of a {status:d} with {framing}")
def given_cutter(context, status, framing):
    lines = (
        f"HTTP/1.1 {status} Emulated",
        *FIELDS_BY_FRAMING[framing],
        "Request-Id: r-1",
        "Server-Stamp: emulated",
        "Content-Type: application/json",
        "",
        "",
    )
    serve(context, "\r\n".join(lines).encode())


@given("an endpoint that cuts a body with the line {line} in its head")
def given_line(context, line):
    # behave takes the escape of a cell as it is written.
    line = line.replace("\\r", "\r")
    serve(context, _head("HTTP/1.1 200 OK", line, "Content-Length: 16") + b'{"a": 1}')


@given("an endpoint that sends the status line {line}")
def given_status_line(context, line):
    serve(context, _head(line, "Content-Length: 8") + b'{"a": 1}')


def _head(status_line, *fields):
    lines = (
        status_line,
        "Request-Id: r-1",
        "Server-Stamp: emulated",
        "Content-Type: application/json",
        *fields,
        "",
        "",
    )
    return "\r\n".join(lines).encode()


@when("a call is made {by} for each number of bytes that the head can be cut to")
def call_cut(context, by):
    context.outcome_by_kept = {}
    for kept in range(len(context.cutter.response)):
        context.cutter.kept = kept
        context.outcome_by_kept[kept] = CALLS[by](context)


@then("no call gets a response")
def check_no_response(context):
    found = {kept: o for kept, o in context.outcome_by_kept.items() if o is not None}
    assert not found, found


@given("a node that answers the command line, {framing}")
def given_node(context, framing):
    body = b"Content-Length: 6\r\n\r\na1\na2\n"
    if framing == "in chunks":
        body = b"Transfer-Encoding: chunked\r\n\r\n3\r\na1\n\r\n3\r\na2\n\r\n0\r\n\r\n"
    serve(context, b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + body)


@when("the lines are read for each number of bytes that the answer can be cut to")
def read_lines(context):
    context.lines_by_kept = {}
    for kept in range(len(context.cutter.response) + 1):
        context.cutter.kept = kept
        with NodeClient(f"http://{context.address}") as client:
            context.lines_by_kept[kept] = client.lines("/v1/lines")


@then("the command fails each time, and has all lines of the whole answer")
def check_lines(context):
    whole = context.lines_by_kept.pop(len(context.cutter.response))
    assert whole == ["a1", "a2"], whole
    found = {k: o for k, o in context.lines_by_kept.items() if type(o) is not Problem}
    assert not found, found
