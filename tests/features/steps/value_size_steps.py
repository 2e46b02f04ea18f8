"""Steps for the sizes of stored documents and of responses with results."""

import base64
import json
import time

from behave import given, then, when
from emulator import RunnerPlan
from emulator.fleet import SERVICE, wait_until
from gateway_batch_steps import EVENTS
from gateway_calls import start

CHARACTER_BY_TEXT = {
    "Thai": "\u0e01",
    "emoji": "\U0001f600",
    "control characters": "\x01",
    "quotes": '"',
    "English": "x",
}
RESPONSE_BYTES_MAX = 1_000_000
ITEMS_MAX = 200


@given(
    "2 gateways and 2 runners whose items answer with {count:d} characters of {text}"
)
def given_answers(context, count, text):
    plan = RunnerPlan(text=CHARACTER_BY_TEXT[text] * (count // EVENTS))
    start(context, 2, [plan] * 2)
    context.response_sizes = []


@given('1 gateway and 2 runners of versions "v1, v2"')
def given_versions(context):
    start(context, 1, [RunnerPlan(version=version) for version in ("v1", "v2")])


def _read_all(context, node):
    """Return the results that reads from successive positions list."""
    found = []
    while True:
        path = f"/v1/lots/{context.job_id}?After={len(found)}"
        response = context.gateways.send(path, node, method="GET", body=b"")
        if response is None or response.status != 200:
            return found
        context.response_sizes.append(len(response.body))
        body = json.loads(response.body)
        found += body["Results"]
        if not body["Results"] or len(found) == body["Total"]:
            return found


@when("gateway 0 is killed after {count:d} results")
def kill_holder(context, count):
    def has_results():
        context.read_before = _read_all(context, 0)
        return len(context.read_before) >= count

    wait_until(has_results, 20, f"{count} results")
    context.gateways.nodes[0].kill()


@when("a job whose items have 1,200,000 bytes of headers is submitted at gateway 0")
def submit_large_headers(context):
    item = {
        "Path": "/batch/1",
        "Headers": {"X-Note": "x" * (1_200_000 // ITEMS_MAX)},
        "Body": base64.b64encode(b"body").decode(),
        "Tokens": 20,
    }
    items = [{"Id": f"item-{n}", **item} for n in range(ITEMS_MAX)]
    context.submitted_at = time.monotonic()
    context.answer = context.gateways.send(
        "/batch/job-1", request_id="job-1", body=json.dumps({"Items": items}).encode()
    )
    context.answered_at = time.monotonic()


@when("1100 runners of versions of 1000 characters are listed")
def list_versions(context):
    store = context.gateways.store
    for number in range(1100):
        entry = {
            "Service": SERVICE,
            "Address": f"127.0.0.1:{20_000 + number}",
            "Zone": "zone-a",
            "Version": f"{number:04d}".ljust(1000, "v"),
            "Slots": 1,
            "State": "draining",
            "ColdLeftMs": 0,
            "Seq": 1,
            "born": 1,
        }
        store.put("servers", f"listed-{number}", entry)


@then(
    "within {seconds:d} seconds all items are completed at every gateway, read in turns"
)
def check_read_everywhere(context, seconds):
    _check_read(context, seconds, 0)
    first = context.results
    for node in range(1, len(context.gateways.nodes)):
        assert _read_all(context, node) == first, node


@then("within {seconds:d} seconds all items are completed at gateway 1, read in turns")
def check_read_at_peer(context, seconds):
    _check_read(context, seconds, 1)


def _check_read(context, seconds, node):
    def is_complete():
        context.results = _read_all(context, node)
        return len(context.results) == len(context.items)

    wait_until(is_complete, seconds, f"all results at gateway {node}")
    assert all(row["State"] == "completed" for row in context.results)
    ids = sorted(row["Id"] for row in context.results)
    assert ids == sorted(name for name, _ in context.items), ids
    text = context.gateways.runners[0].plan.text
    whole = "\n".join(f"piece-{n}{text}" for n in range(1, EVENTS + 1))
    assert {row["Output"] for row in context.results} == {whole}


@then("the results read before the kill are the first ones")
def check_positions(context):
    count = len(context.read_before)
    assert context.results[:count] == context.read_before


@then("each response with results had at most 1 MB")
def check_response_sizes(context):
    assert max(context.response_sizes) <= RESPONSE_BYTES_MAX, context.response_sizes


@then("the store refused no write as too large")
def check_no_refusal(context):
    refused = context.gateways.store.refused_sizes
    assert not refused, refused


@then("it is refused with 413 within 1 second, and the answer names the bytes")
def check_refused_headers(context):
    assert context.answer is not None and context.answer.status == 413, context.answer
    assert b"bytes" in context.answer.body, context.answer
    assert context.answered_at - context.submitted_at < 1.0


@then("a record of some versions is written, which stands {seconds:d} seconds later")
def check_recorded(context, seconds):
    store = context.gateways.store
    wait_until(lambda: store.names("versions"), 5, "a record of versions")
    time.sleep(seconds)
    (name,) = store.names("versions")
    recorded = store.spec("versions", name)["versions"]
    assert len(recorded) > 1 and not set(recorded) <= {"v1", "v2"}, recorded
