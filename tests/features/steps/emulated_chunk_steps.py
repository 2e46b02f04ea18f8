"""Steps for the chunks that emulated runners write and callers read."""

import itertools
import time

from behave import given, then, when
from emulator import ChunkCut, EmulatedRunner, EmulatedStore, RunnerPlan
from emulator.chunk_cuts import ENDS, GARBLED_SIZES, PLACES
from emulator.chunks import CheckedPool, ChunkParser, format_chunk, format_size_line
from emulator.endless import format_event
from emulator.responses import read_response

EVENTS = [format_event(number, "v1") for number in range(1, 7)]
CUT_AFTER = 2
# Bytes of a size line before its cut: the first, and all zeros of a padded size.
BYTE_COUNTS = (1, 6)


def _is_whole(data):
    parser = ChunkParser()
    parser.feed(data)
    return parser.is_whole


@then('a body with sizes "{spelling}" is whole, and none of its beginnings is')
def check_beginnings(context, spelling):
    chunks = [format_chunk(event, spelling) for event in EVENTS]
    body = b"".join(chunks) + format_size_line(0, spelling) + b"\r\n"
    assert _is_whole(body)
    whole = [body[:end] for end in range(len(body)) if _is_whole(body[:end])]
    assert not whole, whole
    parser = ChunkParser()
    bytewise = [parser.feed(body[at : at + 1]) for at in range(len(body))]
    assert b"".join(bytewise) == b"".join(EVENTS) and parser.is_whole


@then('the bytes "{text}" are no whole body')
def check_invalid(context, text):
    assert not _is_whole(text.encode().decode("unicode_escape").encode())


@given('an emulated runner with sizes "{spelling}"')
def given_runner(context, spelling):
    plan = RunnerPlan(event_seconds=0.0, chunk_spelling=spelling)
    store = context.stack.enter_context(EmulatedStore())
    runner = EmulatedRunner(store, "runner-0", "writer", plan)
    context.runner = context.stack.enter_context(runner)


def _request(context, path):
    headers = {"Request-Id": "r-1", "Expect-Instance": "runner-0"}
    with CheckedPool(context.runner.address, retries=False, timeout=5.0) as pool:
        began_at = time.monotonic()
        options = {"body": b"{}", "headers": headers, "preload_content": False}
        response = read_response(pool.request("POST", path, **options), began_at)
    assert response.status == 200, response
    return response


@then('the response to "{path}" is complete with {count:d} events')
def check_complete(context, path, count):
    response = _request(context, path)
    assert response.is_complete, response
    assert response.events == list(range(1, count + 1)), response


@when('it cuts responses to "{first}" and "{second}" at each place, by each end')
def request_all_cuts(context, first, second):
    details = [(count, GARBLED_SIZES[0]) for count in BYTE_COUNTS]
    details += [(1, garbled) for garbled in GARBLED_SIZES[1:]]
    context.received = []
    for place, end, path in itertools.product(PLACES, ENDS, (first, second)):
        for byte_count, garbled in details:
            cut = ChunkCut(place, end, CUT_AFTER, byte_count, garbled)
            context.runner.plan = context.runner.plan._replace(chunk_cuts=cut)
            context.received.append((cut, _request(context, path)))


@then("none of the runner's responses is complete")
def check_no_complete(context):
    complete = [cut for cut, response in context.received if response.is_complete]
    assert not complete, complete


@then("the runner recorded which of them have all events")
def check_recorded(context):
    calls = context.runner.cut_calls
    assert [call.cut for call in calls] == [cut for cut, _ in context.received]
    for call, (cut, response) in zip(calls, context.received, strict=True):
        is_after_events = PLACES[cut.place](cut, EVENTS, "plain")[0] == len(EVENTS)
        assert call.is_whole == is_after_events, call
        if call.is_whole:
            assert response.events == list(range(1, len(EVENTS) + 1)), (cut, response)
