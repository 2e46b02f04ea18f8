"""Steps for what a gateway keeps of jobs that are done."""

import base64
import json

from behave import given, then, when
from emulator.fleet import wait_until
from sequoiaglade_gateway.batch.registry import HeldJob, JobRegistry
from sequoiaglade_gateway.batch.storage import JobHeader

from sequoiaglade_bench.processes import usage
from sequoiaglade_decisions.gateway import Item, ItemOutcome, JobSpec, Result

BODY = b"x" * 300_000
ITEMS = 10
JOB_SECONDS = 20.0


@when("{count:d} jobs of 10 items of 300,000 bytes are run one after the other")
def run_jobs(context, count):
    fleet = context.gateways
    for number in range(count):
        job_id = f"job-{number}"
        items = [
            {
                "Id": f"item-{number}-{n}",
                "Path": f"/batch/{number}/{n}",
                "Headers": {},
                "Body": base64.b64encode(BODY).decode(),
                "Tokens": 20,
            }
            for n in range(ITEMS)
        ]
        body = json.dumps({"Items": items}).encode()
        answer = fleet.send(f"/batch/{job_id}", request_id=job_id, body=body)
        assert answer is not None and answer.status == 202, answer

        def is_done(job_id=job_id):
            status, found = fleet.results(job_id)
            return status == 200 and len(found["Results"]) == ITEMS

        wait_until(is_done, JOB_SECONDS, f"{job_id} is done")


@then("the gateway's resident memory is below {size:d} MB")
def check_memory(context, size):
    bytes_used = usage(context.gateways.nodes[0].process.pid).resident_bytes
    assert bytes_used < size * 1_000_000, bytes_used


@then("the body of an item of the first job is returned")
def check_body(context):
    answer = context.gateways.item_body("job-0", "item-0-3")
    assert answer.status == 200 and answer.body == BODY, answer.status


@then("the results of the first job are returned")
def check_results(context):
    status, found = context.gateways.results("job-0")
    assert status == 200 and len(found["Results"]) == ITEMS, found


@given("a registry that holds a job of 2 items")
def given_registry(context):
    context.now = 0.0
    context.registry = JobRegistry(lambda: context.now)
    items = tuple(Item(f"i-{n}", "/batch/x", (), b"body", 1) for n in range(2))
    spec = JobSpec("job", "yard", "h", "/batch/job", 0.0, "gateway-0", items)
    context.job = HeldJob(JobHeader(spec, (4, 4), False, 1), spec, None)
    context.registry.add(context.job)
    assert context.registry.body("yard.job", "i-0") == b"body"


def _list(context):
    results = [Result(f"i-{n}", True, "text") for n in range(2)]
    context.job.pages.put(0, results, 2)
    context.job.batch.note_listed(results)


@when("the job is listed in full")
def list_job(context):
    _list(context)
    context.job.is_marked_finished = True


@when("the job is listed in full, and the store does not answer")
def list_unmarked(context):
    _list(context)


@when("the job is ended")
def end_job(context):
    _list(context)
    context.registry.end(context.job.key)


@when("an item starts, and the job is listed in full")
def list_while_starting(context):
    context.started = context.job.batch.start_next(context.now)
    list_job(context)


@when("the item stops")
def stop_item(context):
    batch = context.job.batch
    batch.finish(context.started.item.item_id, ItemOutcome.STOPPED, 3, context.now)


@then("the item still has its body")
def check_started(context):
    assert not context.registry.release_closed(context.job)
    assert context.started.item.body == b"body"


@then("its bodies are released, and its results are held for {seconds:d} seconds")
def check_released(context, seconds):
    job, registry = context.job, context.registry
    for context.now in (0.0, seconds - 1.0):
        assert not registry.release_closed(job)
        assert registry.get(job.key) is job
    assert registry.body(job.key, "i-0") is None
    held = (*job.batch.spec.items, *job.header.spec.items, job.batch.item("i-1"))
    assert not any(item.body for item in held), held
    total, window = registry.window(job.key, 0, 1000)
    assert total == len(window) == 2


@then("it is not held any more after {seconds:d} seconds")
def check_forgotten(context, seconds):
    context.now = float(seconds)
    assert context.registry.release_closed(context.job)
    assert context.registry.get(context.job.key) is None


@then("it is still held after {seconds:d} seconds")
def check_held(context, seconds):
    for context.now in (0.0, float(seconds)):
        assert not context.registry.release_closed(context.job)
    assert context.registry.get(context.job.key) is context.job
