"""Steps on responses that break between the endpoint and the node."""

import openai
from behave import given, then, when
from online_calls import chat, model_client, read_stream, runs_of, text_of, wait_until

from sequoiaglade_standins.fleet import EndpointPlan, Fleet
from sequoiaglade_standins.relay import Drop, Stall
from sequoiaglade_standins.samples import RESTOCKERS_MODEL, restockers_document

FAULT_BY_NAME = {"stalls": Stall, "drops": Drop}
HALF_BYTES = 10_000
# More than a load report.
STREAM_BYTES = 2_000
READ_TOKENS = 20
RECOVERY_SECONDS = 20.0


@given("a runner that can't resume behind a link")
def start_runner(context):
    plan = EndpointPlan("runner-0", model=RESTOCKERS_MODEL, token_seconds=0.0005)
    settings = {"limits": {"stall_seconds": 1.0, "answer_seconds": 5.0}}
    document = restockers_document() | {"rates": {}}
    fleet = Fleet(1, [plan], document, settings, has_links=True)
    context.fleet = context.stack.enter_context(fleet)
    context.link = fleet.links.to_endpoint("runner-0")


@when("the link {breaks:w} half-way through a complete response of {tokens:d} tokens")
def break_response(context, breaks, tokens):
    assert len(text_of(tokens)) > HALF_BYTES
    context.link.inject_fault(FAULT_BY_NAME[breaks](HALF_BYTES))
    try:
        client = model_client(context.fleet, timeout=60.0)
        context.answer = chat(client, tokens, request_id="half-way")
    except openai.APIStatusError as error:
        context.answer = error
    context.link.heal()


@then("the caller got an error with unknown execution")
def check_failure(context):
    error = context.answer
    assert isinstance(error, openai.APIStatusError), error
    assert error.status_code >= 500 and error.body["execution"] == "unknown", error
    assert len(runs_of(context.fleet, "half-way")) == 1


@when("the link {breaks:w} half-way through a stream of {tokens:d} tokens")
def break_stream(context, breaks, tokens):
    client = model_client(context.fleet, timeout=60.0)
    chunks = iter(chat(client, tokens, True))
    context.streamed = read_stream(next(chunks) for _ in range(READ_TOKENS))
    context.link.inject_fault(FAULT_BY_NAME[breaks](STREAM_BYTES))
    try:
        context.streamed += read_stream(chunks)
        context.error = None
    except openai.APIError as error:
        context.error = error
    context.complete_text = text_of(tokens)
    context.link.heal()


@then("the client raises before the stream's end")
def check_stream(context):
    assert context.error is not None, context.streamed
    assert (
        context.complete_text.startswith(context.streamed)
        and context.streamed != context.complete_text
    )


@then("a call gets a complete response after the link is healed")
def check_healed(context):
    client = model_client(context.fleet)

    def is_answered():
        try:
            answer = chat(client, 2)
        except openai.APIStatusError:
            return False
        return answer.choices[0].message.content == text_of(2)

    wait_until(is_answered, RECOVERY_SECONDS, "a complete response")
