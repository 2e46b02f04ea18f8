"""Steps on the acceptance and resubmission of batch jobs."""

import io
import json
import tempfile
import time
import tracemalloc

import openai
from batch_platform import Stores, local_platform
from behave import given, then, when
from path_steps import make_client, make_items, upload

from sequoiaglade_decisions.outcomes import Execution, Refusal, RefusalCode
from sequoiaglade_node.batch import ResultReader
from sequoiaglade_standins.fleet import Fleet
from sequoiaglade_standins.samples import restockers_document, restockers_endpoints

JOB_SECONDS = 30.0
PATH = "/v1/chat/completions"


def as_file(items):
    return io.BytesIO("\n".join(json.dumps(item) for item in items).encode())


def submit(client, items, key=None, window="24h"):
    file = upload(client, items)
    headers = {"Idempotency-Key": key} if key else {}
    return client.batches.create(
        input_file_id=file.id,
        endpoint=PATH,
        completion_window=window,
        extra_headers=headers,
    )


def await_job(client, job_id, seconds=JOB_SECONDS):
    deadline = time.monotonic() + seconds
    job = client.batches.retrieve(job_id)
    while job.completed_at is None and job.cancelled_at is None:
        assert time.monotonic() < deadline, f"{job.status} {job.request_counts}"
        time.sleep(0.1)
        job = client.batches.retrieve(job_id)
    return job


def output_of(client, job):
    text = client.files.content(job.output_file_id).text
    return [json.loads(line) for line in text.splitlines() if line]


def submit_locally(stores, items, key):
    file = stores.files.upload("salina", "items.jsonl", as_file(items))
    if isinstance(file, Refusal):
        return file
    return stores.jobs.create(file, PATH, "24h", None, key)


def open_stores(context, node_id="node-a"):
    if not hasattr(context, "platform_state"):
        found = context.stack.enter_context(local_platform())
        context.platform_state, context.platform_url = found
    return Stores(context.platform_url, node_id)


@given("a batch fleet of {nodes:d} nodes and {endpoints:d} endpoints")
def batch_fleet(context, nodes, endpoints):
    limits = {"batch_workers": 16, "batch_lease_seconds": 2.0}
    plans = restockers_endpoints(endpoints, slots=8, token_seconds=0.02)
    settings = {"limits": limits, "drain_seconds": 1.0}
    fleet = Fleet(nodes, plans, restockers_document(), settings)
    context.fleet = context.stack.enter_context(fleet)


@given("a batch platform that loses the responses to {count:d} writes")
def losing_platform(context, count):
    context.stores = open_stores(context)
    context.platform_state.set_faults({"lose_answers": count})


@given("a batch platform that is down")
def down_platform(context):
    context.stores = open_stores(context)
    context.platform_state.set_faults({"down": True})


@when(
    "node {node:d} accepts a job of {count:d} items under the idempotency key {key}"
    " and is killed immediately"
)
def accept_and_kill(context, node, count, key):
    context.items = make_items(count)
    client = make_client(context.fleet, node=node)
    context.jobs = [submit(client, context.items, key)]
    context.fleet.nodes[node].process.kill()


@when("the client uploads the same items again and resubmits the job to node {node:d}")
def resend(context, node):
    context.client = make_client(context.fleet, node=node)
    context.jobs.append(submit(context.client, context.items, "sheet-1"))


@then("both responses have the same job id")
def check_same(context):
    assert context.jobs[0].id == context.jobs[1].id


@then("the job ends as {status} with {count:d} results, each item once")
def check_job(context, status, count):
    job = await_job(context.client, context.jobs[0].id)
    assert job.status == status, job
    ids = [line["custom_id"] for line in output_of(context.client, job)]
    assert len(ids) == len(set(ids)) == count, ids


@when(
    "the client submits different items under the idempotency key {key} to node"
    " {node:d}"
)
def send_other(context, key, node):
    context.error = None
    try:
        submit(make_client(context.fleet, node=node), make_items(3, 9), key)
    except openai.ConflictError as error:
        context.error = error


@then("the response is a conflict")
def check_conflict(context):
    assert context.error is not None


@when("the same items are uploaded and submitted twice under one idempotency key")
def submit_twice(context):
    other = open_stores(context, "node-b")
    context.jobs = [
        submit_locally(stores, make_items(50), "sheet-1")
        for stores in (context.stores, other)
    ]


@then("the platform stores one job and one entry in the index of open jobs")
def check_one(context):
    first, second = context.jobs
    assert first.job_id == second.job_id, context.jobs
    entries = context.stores.index.read("")
    assert [entry.job_id for entry in entries] == [first.job_id], entries
    assert len(context.stores.jobs.list("salina", 100).records) == 1


@when("an upload and a job submission are attempted")
def attempt_both(context):
    context.refusals = [submit_locally(context.stores, make_items(3), "k")]
    context.platform_state.set_faults({})
    file = context.stores.files.upload("salina", "f", as_file(make_items(3)))
    context.platform_state.set_faults({"down": True})
    attempted = context.stores.jobs.create(file, PATH, "24h", None, "k")
    context.refusals.append(attempted)


@then("both are refused as not run")
def check_refusals(context):
    for refusal in context.refusals:
        assert refusal.code is RefusalCode.PLATFORM_UNAVAILABLE, refusal
        assert refusal.execution is Execution.NOT_RUN and refusal.retry_after
    context.platform_state.set_faults({})
    assert context.stores.jobs.list("salina", 100).records == []


@when(
    "a file with {count:d} invalid lines among valid ones and a duplicate custom_id"
    " is uploaded"
)
def upload_bad(context, count):
    context.stores = open_stores(context)
    bad = [b"{not json", b'{"custom_id": 1}', b"\xff\xfe", b'"' + b"x" * 600_000]
    lines = []
    for number, item in enumerate(make_items(count)):
        lines += [json.dumps(item).encode(), b"", bad[number % len(bad)]]
    lines.append(lines[0])
    file = io.BytesIO(b"\n".join(lines))
    context.refusal = context.stores.files.upload("salina", "bad.jsonl", file)


@then(
    "the refusal gives the count of invalid lines and the line numbers of the first"
    " ones"
)
def check_bad(context):
    reason = context.refusal.reason
    assert reason.startswith("401 bad lines: line 3: not valid JSON"), reason[:200]
    for number in (6, 9, 12, 60):
        assert f"line {number}: " in reason, reason
    assert "line 63: " not in reason and len(reason) < 4000, reason


@then("nothing of the file is stored on the platform")
def check_nothing(context):
    assert not any(name.startswith("put") for name in context.platform_state.calls)


@when("a file of {count:d} items is uploaded and read back as a stream")
def upload_large(context, count):
    context.stores = stores = open_stores(context)
    context.count = count
    with tempfile.TemporaryFile() as file:
        for item in make_items(count):
            file.write(json.dumps(item).encode() + b"\n")
        file.seek(0)
        context.ids, context.peak = measure_peak_memory(lambda: read_back(stores, file))


def read_back(stores, file):
    record = stores.files.upload("salina", "items.jsonl", file)
    reader = ResultReader(stores.files, stores.work)
    custom_ids = []
    for part in reader.input_parts(record):
        custom_ids += [json.loads(line)["custom_id"] for line in part.splitlines()]
    return custom_ids


def measure_peak_memory(function):
    tracemalloc.start()
    try:
        found = function()
        return found, tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@then("each line is returned once, in order, and peak memory is below {limit:d} MB")
def check_large(context, limit):
    assert context.ids == [f"item-{n}" for n in range(context.count)]
    assert context.peak < limit * 1_000_000, context.peak
