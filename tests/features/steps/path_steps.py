"""Steps on end-to-end calls of the published client."""

import json
import time

import openai
from behave import then, when

from sequoiaglade_standins.samples import RESTOCKERS_MODEL

JOB_SECONDS = 60.0
MESSAGES = [{"role": "user", "content": "Which kiosks run short?"}]


def make_client(fleet, workspace="salina", node=0, key=None):
    key = key or fleet.key_by_workspace[workspace]
    url = f"{fleet.nodes[node].url}/v1"
    return openai.OpenAI(base_url=url, api_key=key, max_retries=0)


def make_items(count, max_tokens=2):
    body = {"model": RESTOCKERS_MODEL, "messages": MESSAGES, "max_tokens": max_tokens}
    return [
        {
            "custom_id": f"item-{number}",
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": body,
        }
        for number in range(count)
    ]


def upload(client, items):
    data = "\n".join(json.dumps(item) for item in items).encode()
    return client.files.create(file=("items.jsonl", data), purpose="batch")


def run_job(client, items, seconds=JOB_SECONDS):
    file = upload(client, items)
    job = client.batches.create(
        input_file_id=file.id,
        endpoint="/v1/chat/completions",
        completion_window="24h",
    )
    deadline = time.monotonic() + seconds
    while job.status == "in_progress" and time.monotonic() < deadline:
        time.sleep(0.1)
        job = client.batches.retrieve(job.id)
    return job


def complete(client, model=RESTOCKERS_MODEL, max_tokens=3, **options):
    return client.chat.completions.create(
        model=model, messages=MESSAGES, max_tokens=max_tokens, **options
    )


@when("the openai client lists models, completes and streams at each node")
def use_each_node(context):
    context.seen = []
    for node in range(len(context.fleet.nodes)):
        client = make_client(context.fleet, node=node)
        models = [model.id for model in client.models.list()]
        whole = complete(client).choices[0].message.content
        chunks = complete(client, stream=True)
        streamed = "".join(c.choices[0].delta.content or "" for c in chunks)
        context.seen.append((models, whole, streamed))


@then("each node returned the model, the complete response and the complete stream")
def check_each_node(context):
    expected = ([RESTOCKERS_MODEL], "w0 w1 w2 ", "w0 w1 w2 ")
    assert context.seen == [expected] * len(context.fleet.nodes), context.seen


@when("the openai client runs a job of {count:d} items from upload to output file")
def run_complete_job(context, count):
    client = make_client(context.fleet)
    job = run_job(client, make_items(count))
    assert job.status == "completed", job.status
    context.output = client.files.content(job.output_file_id).text.splitlines()
    context.job = job


@then("the output contains each of the {count:d} items once")
def check_output(context, count):
    ids = sorted(json.loads(line)["custom_id"] for line in context.output)
    assert ids == sorted(f"item-{number}" for number in range(count))


@then("each item was run once by the endpoints")
def check_runs(context):
    prefix = context.job.id
    ids = [run["request_id"] for run in context.fleet.runs()]
    item_ids = [run_id for run_id in ids if run_id.startswith(prefix)]
    assert len(item_ids) == len(context.output) == len(set(item_ids))


@then("the openai client raises {name} for a wrong key")
def check_wrong_key(context, name):
    client = make_client(context.fleet, key="sg-wrong")
    check_raises(name, lambda: complete(client))


@then("the openai client raises {name} for an unknown model")
def check_missing_model(context, name):
    client = make_client(context.fleet)
    check_raises(name, lambda: complete(client, model="no-such-model"))


@then("the openai client raises {name} for a body without a model")
def check_missing_field(context, name):
    client = make_client(context.fleet)
    check_raises(name, lambda: client.post("/chat/completions", cast_to=object))


def check_raises(name, function):
    try:
        function()
    except getattr(openai, name) as error:
        assert error.body["execution"] == "not_run", error.body
        assert error.request_id, "the refusal has no request id"
        return
    raise AssertionError(f"{name} was not raised")


@when("workspace {workspace} uploads a file")
def upload_file(context, workspace):
    client = make_client(context.fleet, workspace)
    context.file = upload(client, make_items(1))


@then("workspace {workspace} gets 404 for that file")
def check_hidden(context, workspace):
    client = make_client(context.fleet, workspace)
    check_raises("NotFoundError", lambda: client.files.content(context.file.id))


@then("no run's headers contained a credential")
def check_headers(context):
    runs = context.fleet.runs()
    assert runs and all(not run["credential_headers"] for run in runs), runs


@then("no log of the fleet contains a key")
def check_logs(context):
    keys = context.fleet.key_by_workspace.values()
    for node in context.fleet.nodes:
        with open(node.process.log_path, encoding="utf-8") as file:
            text = file.read()
        assert text and not any(key in text for key in keys), node.node_id
