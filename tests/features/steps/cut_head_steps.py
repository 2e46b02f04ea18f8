"""Steps for endpoints that close the connection inside the head of a response."""

from behave import given, then, when
from cut_calls import CALLS, serve

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
