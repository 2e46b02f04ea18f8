"""Steps for an endpoint whose heads have fields that the grammar of HTTP forbids."""

import uuid

from behave import given, then, when
from early_response_steps import (
    WHOLE_BY_CONTENT,
    send_reaching,
    start_fleet,
    submit,
    wait_reached,
)
from emulator.response_grammar import TOKEN_BYTES, is_field

INVALID_FIELDS = {
    "a blank in a name": "X A: 1",
    "a control byte in a name": "X\x1fA: 1",
    "a bracket in a name": "X(A: 1",
    "no name": ": 1",
    "a control byte in a value": "X-A: 1\0",
    "a line feed at the end": "X-A: 1\n",
    # It stands between a name and its value.
    "a blank in front": " X-A: 1",
}
# The endpoint's head has each of them already.
REPEATED_FIELDS = {
    "a second request id": "Request-Id: other",
    "a second signature": "Server-Stamp: other",
    "the signature again": "Server-Stamp: emulated",
    "a second type": "Content-Type: text/plain",
}
VALUES_BY_VALID_NAME = {
    bytes(sorted(TOKEN_BYTES)).decode(): ["1"],
    "X-Text": ['a\t"b" (c), {d} \x80\x85\xa0\xff'],
    "X-Empty": [""],
    "X-List": ["a", "b"],
}


@given("an endpoint that sends {content} framed by {framing}, reached {by}")
def given_framing(context, content, framing, by):
    start_fleet(context, content, by)
    context.endpoint.status = 200
    context.endpoint.framing = framing


@when('a caller requests "{prefix}" for each of the invalid fields')
def request_invalid(context, prefix):
    fields = INVALID_FIELDS.values()
    assert not any(is_field(field.encode()) for field in fields)
    _request(context, prefix, fields)


@when('a caller requests "{prefix}" for each of the repeated fields')
def request_repeated(context, prefix):
    _request(context, prefix, REPEATED_FIELDS.values())


@when('a caller requests "{prefix}" for each of the odd but valid fields')
def request_valid(context, prefix):
    fields = [
        "\r\n".join(f"{name}: {value}" for value in values)
        for name, values in VALUES_BY_VALID_NAME.items()
    ]
    lines = "\r\n".join(fields).encode("latin-1").split(b"\r\n")
    assert all(map(is_field, lines)), lines
    _request(context, prefix, fields)


def _request(context, prefix, fields):
    context.answers, context.case_count = {}, len(fields)
    for field in fields:
        context.endpoint.fields = [field]
        body = lambda: uuid.uuid4().hex.encode()  # noqa: E731
        context.answers[field] = send_reaching(context, prefix, body)


@then("each response is whole, and has the endpoint's field")
def check_valid(context):
    whole = WHOLE_BY_CONTENT[context.endpoint.content]
    for (name, values), answer in zip(
        VALUES_BY_VALID_NAME.items(), context.answers.values(), strict=True
    ):
        assert answer.status == 200 and answer.is_complete, (name, answer)
        value_by_name = {key.lower(): found for key, found in answer.headers.items()}
        assert value_by_name[name.lower()] == ", ".join(values), (name, answer)
        assert answer.body == whole, (name, answer)


@when("a job of one item is submitted that is answered with {field} among the fields")
def submit_item(context, field):
    wait_reached(context)
    context.endpoint.fields = [(INVALID_FIELDS | REPEATED_FIELDS)[field]]
    submit(context, 2)


@when("it says that it leaves, beside each of the invalid fields")
def announce_invalid(context):
    for field in INVALID_FIELDS.values():
        _announce(context, field)


@when("it says that it leaves, beside a valid field")
def announce(context):
    _announce(context, "X-A: 1")


def _announce(context, field):
    context.endpoint.fields = ["Server-Leaving: 1", field]
    send_reaching(context, "/safe/", lambda: uuid.uuid4().hex.encode())


def _noting_nodes(context):
    nodes = context.gateways.nodes
    return [
        number
        for number, node in enumerate(nodes)
        if any(line["event"] == "endpoint leaving" for line in node.log_lines())
    ]


@then("no gateway has noted that it leaves")
def check_not_noted(context):
    assert not _noting_nodes(context)


@then("the gateway that forwards has noted that it leaves")
def check_noted(context):
    noting = _noting_nodes(context)
    assert 1 in noting, noting
