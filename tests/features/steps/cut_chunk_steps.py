"""Steps for endpoints that end responses in chunks early, or break their framing."""

from behave import given, then, when
from cut_calls import CALLS, serve
from emulator import RawResponse, RunnerPlan
from emulator.endless import format_event
from gateway_calls import start

EVENTS = [format_event(number, "v1") for number in range(1, 7)]
# The stream is cut before the event with this number.
CUT_EVENT = 3
TYPE_BY_CONTENT = {"a stream": "text/event-stream", "a whole body": "application/json"}
# The formats of a size, and what follows the line of the last one.
SIZES = {
    "plain sizes": (b"%x", b""),
    "sizes padded with zeros": (b"%08x", b""),
    "extensions": (b'%x;n=42; name="a;b"', b""),
    "trailers": (b"%x", b"X-Events: 6\r\n"),
}
REST_BY_NAME = {
    "nothing": b"",
    "a line end": b"\r\n",
    "an empty line": b"\r\n\r\n",
    "blanks": b"  \r\n\r\n",
    "the chunk's bytes": b" \r\n" + EVENTS[2] + b"\r\n\r\n",
}


def _head(content, request_id="r-1"):
    lines = (
        "HTTP/1.1 200 Emulated",
        f"Request-Id: {request_id}",
        "Server-Stamp: emulated",
        f"Content-Type: {TYPE_BY_CONTENT[content]}",
        "Transfer-Encoding: chunked",
        "",
        "",
    )
    return "\r\n".join(lines).encode()


def _chunks(events, size_format=b"%x"):
    parts = ((size_format % len(event), event) for event in events)
    return b"".join(b"%b\r\n%b\r\n" % part for part in parts)


class _CutStreams:
    """Streams that are cut within the size of a chunk; resumed ones are sound."""

    def take(self, after_event):
        """Return the `RawResponse` to a run after an event, None for a sound one."""
        if after_event:
            return None
        size_format, _ = SIZES["sizes padded with zeros"]
        events = _chunks(EVENTS[: CUT_EVENT - 1], size_format)
        return RawResponse(_head("a stream", "{id}") + events + b"00000")


CUTTING = RunnerPlan(raw=_CutStreams())


@given("an endpoint that cuts {content} in chunks with {sizes}")
def given_cutter(context, content, sizes):
    size_format, trailer = SIZES[sizes]
    end = size_format % 0 + b"\r\n" + trailer + b"\r\n"
    context.head = _head(content)
    serve(context, context.head + _chunks(EVENTS, size_format) + end)


@given('an endpoint that sends "{line}" in place of a chunk\'s size, then {rest}')
def given_no_size(context, line, rest):
    sent = _head("a stream") + _chunks(EVENTS[: CUT_EVENT - 1])
    serve(context, sent + line.encode() + REST_BY_NAME[rest])


@given('an endpoint that cuts a whole body with "{field}" in its head')
def given_framing_field(context, field):
    lines = field.replace(r"\r\n", "\r\n").encode()
    head = _head("a whole body").replace(b"Transfer-Encoding: chunked", lines)
    serve(context, head + b"".join(EVENTS[: CUT_EVENT - 1]))


@given("an endpoint that answers with {content}, framed by {framing}")
def given_framing(context, content, framing):
    says_close = "Connection: close\r\n" if "Connection: close" in framing else ""
    body, field = b"".join(EVENTS), ""
    if framing.endswith("chunks"):
        body, field = _chunks(EVENTS) + b"0\r\n\r\n", "Transfer-Encoding: chunked\r\n"
    elif framing.endswith("a length"):
        field = f"Content-Length: {len(body)}\r\n"
    fields = (says_close + field).encode()
    head = _head(content).replace(b"Transfer-Encoding: chunked\r\n", fields)
    serve(context, head + body)


@given("an endpoint whose chunks are longer than their sizes")
def given_long_chunks(context):
    event = EVENTS[0]
    chunk = b"%x\r\n%b..\r\n" % (len(event), event)
    serve(context, _head("a stream") + chunk + b"0\r\n\r\n")


@given(
    "1 gateway and 2 runners of which 1 cuts streams within a size padded with zeros"
)
def given_one_cutting(context):
    start(context, 1, [CUTTING, RunnerPlan()])


@given("1 gateway and 2 runners of which 2 cut streams within a size padded with zeros")
def given_both_cutting(context):
    start(context, 1, [CUTTING] * 2)


@given(
    "1 gateway and 1 runner whose new streams are cut within a size padded with zeros"
)
def given_cutting(context):
    start(context, 1, [CUTTING])


@when("a call is made {by} for each number of bytes that the body can be cut to")
def call_cut(context, by):
    context.outcome_by_kept = {}
    for kept in range(len(context.head), len(context.cutter.response)):
        context.cutter.kept = kept
        context.outcome_by_kept[kept] = CALLS[by](context)


@when("a call is made {by} for the whole response")
def call_whole(context, by):
    context.outcome_by_kept = {context.cutter.kept: CALLS[by](context)}


@then("no call gets a whole response")
def check_no_response(context):
    found = {kept: o for kept, o in context.outcome_by_kept.items() if o is not None}
    assert not found, found


@then("the call gets a whole response")
def check_response(context):
    (outcome,) = context.outcome_by_kept.values()
    body = outcome[1] if isinstance(outcome, tuple) else outcome
    assert b"".join(EVENTS) in (body, getattr(outcome, "body", None)), outcome
