"""Steps for answers of the store, and of a node's platform, that are cut."""

import json

from behave import given, then, when
from cut_calls import serve
from fleet_adapter.objects import ObjectStore

from sequoiaglade_decisions.outcomes import Failure, FailureCode
from sequoiaglade_platform.client import PlatformClient

DOCUMENT = {"Metadata": {"Name": "a", "Revision": 12_345}, "Spec": {"x": 1}}
LISTING = {"Items": [DOCUMENT], "AsOf": 12_345, "Truncated": False}
REFUSED = {"error": "refused"}
STORE_CALLS = {
    "get": lambda store: store.get("k", "a"),
    "list": lambda store: store.list("k"),
    "replace": lambda store: store.replace("k", "a", {"x": 1}, 3),
    "create": lambda store: store.create("k", "a", {"x": 1}),
    "status": lambda store: store.put_status("k", "a", {"x": 1}),
    "watch": lambda store: store.watch("k", 1, 0.1),
}
PLATFORM_CALLS = {
    "get": lambda client: client.get("k", "a"),
    "create": lambda client: client.create("k", "a", b"x"),
    "delete": lambda client: client.delete("k", "a", 3),
}


def _answer(status, body, framing):
    head = f"HTTP/1.1 {status} S\r\nETag: 12345\r\n".encode()
    if framing == "without a body":
        return head + b"Content-Length: 0\r\n\r\n"
    if framing == "with a length":
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    chunk = b"%08x\r\n%b\r\n" % (len(body), body)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk + b"00000000\r\n\r\n"


@given("a store that answers {status:d}, {framing}")
def given_store(context, status, framing):
    context.status, context.framing = status, framing


@given("a platform that answers {status:d}, {framing}")
def given_platform(context, status, framing):
    serve(context, _answer(status, b"writer\nvalue", framing))


@when("a gateway makes a {call} for each number of bytes that the answer can be cut to")
def call_store(context, call):
    value = LISTING if call == "list" else DOCUMENT
    body = json.dumps(value if context.status < 300 else REFUSED).encode()
    serve(context, _answer(context.status, body, context.framing))
    with ObjectStore(context.address) as store:
        _call(context, STORE_CALLS[call], store)


@when("a node makes a {call} for each number of bytes that the answer can be cut to")
def call_platform(context, call):
    url = f"http://{context.address}"
    with PlatformClient(url, sleep=lambda seconds: None) as client:
        _call(context, PLATFORM_CALLS[call], client)


def _call(context, call, client):
    context.outcome_by_kept = {}
    for kept in range(len(context.cutter.response) + 1):
        context.cutter.kept = kept
        context.outcome_by_kept[kept] = call(client)


@then(
    "the outcome of each call is unknown, and that of the whole answer is {outcome:w}"
)
def check_failures(context, outcome):
    whole = context.outcome_by_kept.pop(len(context.cutter.response))
    assert isinstance(whole, Failure) and whole.code is FailureCode[outcome], whole
    _check_unknown(context)


@then("the outcome of each call is unknown, and that of the whole answer is a value")
def check_values(context):
    whole = context.outcome_by_kept.pop(len(context.cutter.response))
    assert not isinstance(whole, Failure), whole
    _check_unknown(context)


def _check_unknown(context):
    wrong = {
        kept: outcome
        for kept, outcome in context.outcome_by_kept.items()
        if not isinstance(outcome, Failure) or outcome.code is not FailureCode.UNKNOWN
    }
    assert not wrong, wrong
