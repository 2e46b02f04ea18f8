"""Steps for responses with lines that the grammar of HTTP permits, and others."""

import urllib3
from behave import given, then, when
from cut_calls import CALLS, serve
from emulator.chunks import CheckedPool
from emulator.response_grammar import is_field, is_size_line, is_status_line
from emulator.responses import read_response
from emulator.strict_caller import StrictCaller
from fleet_adapter.objects import ObjectStore

from sequoiaglade_cli.client import NodeClient, Problem
from sequoiaglade_decisions.outcomes import Failure, FailureCode
from sequoiaglade_platform.client import PlatformClient

STATUS_LINE = b"HTTP/1.1 200 OK"
FIELDS = (
    b"Request-Id: r-1",
    b"Server-Stamp: emulated",
    b"Content-Type: application/json",
    b"ETag: 1",
)
# A document of the store; the platform's stand-in takes its first line for a token.
BODY = b'{"Metadata": {"Name": "a"},\n"Spec": 1}'
LENGTH = b"Content-Length: %d" % len(BODY)
CHUNK = b"%x\r\n%b\r\n" % (len(BODY), BODY)
LAST_CHUNK = b"0"
CODING = b"Transfer-Encoding: chunked"
ESCAPES = (("\\x20", " "), ("\\t", "\t"), ("\\n", "\n"))


def _join(*lines):
    return b"\r\n".join((*lines, b"", b""))


WHOLE = _join(STATUS_LINE, *FIELDS, LENGTH) + BODY
SOUND_BY_FORM = {
    "an interim one before it": _join(b"HTTP/1.1 100 Continue", b"X-A: v") + WHOLE,
    "blanks around values": _join(
        STATUS_LINE, *(field.replace(b": ", b":\t ") for field in FIELDS), LENGTH + b" "
    )
    + BODY,
    "no reason phrase": WHOLE.replace(b" OK\r\n", b" \r\n"),
    "extensions and trailers": (
        _join(STATUS_LINE, *FIELDS, CODING.replace(b"chunked", b"Chunked"))
        + CHUNK
        + _join(b'0 ; a = "b\\"c" ;d', b"X-A: v")
    ),
}


def _read_store(context):
    with ObjectStore(context.address) as store:
        found = store.get("k", "a")
    is_lost = isinstance(found, Failure) and found.code is FailureCode.UNKNOWN
    return None if is_lost else found


def _read_platform(context):
    url = f"http://{context.address}"
    with PlatformClient(url, sleep=lambda seconds: None) as client:
        found = client.get("k", "a")
    is_lost = isinstance(found, Failure) and found.code is FailureCode.UNKNOWN
    return None if is_lost else found


def _read_by_command(context):
    with NodeClient(f"http://{context.address}") as client:
        found = client.lines("/v1/lines")
    return None if isinstance(found, Problem) else found


def _read_by_emulator(context):
    with CheckedPool(context.address, retries=False) as pool:
        try:
            found = pool.request("GET", "/", preload_content=False)
        except (urllib3.exceptions.HTTPError, OSError):
            return None
        answer = read_response(found, 0.0)
    return answer if answer.is_complete else None


def _read_strictly(context):
    with StrictCaller(context.address) as caller:
        answer = caller.send("/", {"Host": "h"})
    return None if answer.flaw else answer


READERS = {
    "a gateway": CALLS["by a gateway"],
    "a gateway, through a peer": CALLS["by a gateway, through its peer"],
    "a node": CALLS["by a node"],
    "a gateway, from its store": _read_store,
    "a node, from its platform": _read_platform,
    "the command line": _read_by_command,
    "a caller of the emulator": _read_by_emulator,
    "a strict caller": _read_strictly,
}


@given('an endpoint that sends the line "{line}" in the head of a whole response')
def given_head_line(context, line):
    serve(context, b"")
    if line.startswith("HTTP/"):
        context.permits = is_status_line
        head = lambda data: (data, *FIELDS, LENGTH)  # noqa: E731
    else:
        context.permits = is_field
        head = lambda data: (STATUS_LINE, *FIELDS[:2], data, *FIELDS[2:], LENGTH)  # noqa: E731
    context.line = line.encode()
    context.response_of = lambda data: _join(*head(data)) + BODY


@given('an endpoint that sends the line "{line}" in the chunks of a whole response')
def given_chunk_line(context, line):
    serve(context, b"")
    is_size = line.startswith("0")
    context.permits = is_size_line if is_size else is_field
    head = _join(STATUS_LINE, *FIELDS, CODING) + CHUNK
    context.line = line.encode()
    before = () if is_size else (LAST_CHUNK,)
    context.response_of = lambda data: head + _join(*before, data)


@given('an endpoint that sends the line "{line}" {place}')
def given_line(context, line, place):
    for escape, text in ESCAPES:
        line = line.replace(escape, text)
    fields = {
        "in front of its fields": (line.encode(), *FIELDS, LENGTH),
        "in place of its framing": (*FIELDS, line.encode()),
        "behind its fields": (*FIELDS, LENGTH, line.encode()),
    }
    serve(context, _join(STATUS_LINE, *fields[place]) + BODY)


@given("an endpoint that sends a sound response with {form}")
def given_sound(context, form):
    serve(context, SOUND_BY_FORM[form])


@when("{reader} reads the response with each byte in place of *")
def read_each(context, reader):
    context.outcome_by_line = {}
    for byte in range(256):
        line = context.line.replace(b"*", bytes([byte]))
        response = context.response_of(line)
        context.cutter.response, context.cutter.kept = response, len(response)
        context.outcome_by_line[line] = READERS[reader](context)


@when("{reader} reads the response")
def read_one(context, reader):
    context.outcome = READERS[reader](context)


@then("it takes the responses that the grammar permits, and no others")
def check_each(context):
    found = {line for line, o in context.outcome_by_line.items() if o is not None}
    permitted = set(filter(context.permits, context.outcome_by_line))
    assert permitted, "the grammar permits none"
    taken, refused = sorted(found - permitted), sorted(permitted - found)
    assert not taken and not refused, f"taken: {taken}, refused: {refused}"


@then("it takes no response")
def check_none(context):
    assert context.outcome is None, context.outcome


@then("it takes the response")
def check_taken(context):
    assert context.outcome is not None
