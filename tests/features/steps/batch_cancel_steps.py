"""Steps on the cancellation of batch jobs."""

import time

from batch_once_steps import await_runs, finish, item_runs
from batch_steps import await_job, output_of, submit
from behave import then, when
from path_steps import make_client, make_items

from sequoiaglade_decisions.jobs import Candidate, WorkState

STOP_SECONDS = 3.0
OBSERVED_SECONDS = 6.0
LONG_TOKENS = 100


def start_slow_job(context, count, max_tokens=30):
    context.items = make_items(count, max_tokens)
    context.client = make_client(context.fleet)
    context.jobs = [submit(context.client, context.items, "sheet-9")]


def cancel(context):
    job = context.client.batches.cancel(context.jobs[0].id)
    context.accepted_at = time.time()
    assert job.status in ("cancelling", "cancelled"), job.status


@when(
    "a job of {count:d} slow items is cancelled at node 0 once {started:d} items"
    " were started"
)
def cancel_job(context, count, started):
    start_slow_job(context, count)
    await_runs(context, started)
    cancel(context)


@when(
    "a job of {count:d} slow items is cancelled at node 0 while {lost:d} responses"
    " are lost, and node 0 is killed"
)
def cancel_and_kill(context, count, lost):
    start_slow_job(context, count)
    await_runs(context, 20)
    context.fleet.set_platform_faults(lose_answers=lost)
    deadline = time.monotonic() + 15
    while True:
        try:
            cancel(context)
            break
        except Exception:
            assert time.monotonic() < deadline
            time.sleep(0.1)
    context.fleet.nodes[0].process.kill()
    context.client = make_client(context.fleet, node=1)


@when(
    "node {node:d} is disconnected from the platform and a job of {count:d} slow"
    " items is cancelled"
)
def cancel_with_disconnected_node(context, node, count):
    start_slow_job(context, count, LONG_TOKENS)
    await_runs(context, 20)
    refused = [context.fleet.nodes[node].node_id]
    context.fleet.set_platform_faults(refused_clients=refused)
    cancel(context)


@then("the cancel is accepted, and accepted again when repeated at node {node:d}")
def repeat_cancel(context, node):
    client = make_client(context.fleet, node=node)
    job = client.batches.cancel(context.jobs[0].id)
    assert job.status in ("cancelling", "cancelled"), job.status


@then("no item starts later than 3 seconds after the cancel was accepted")
def check_no_late_start(context):
    time.sleep(max(0.0, context.accepted_at + OBSERVED_SECONDS - time.time()))
    late = [
        run["started_at"] - context.accepted_at
        for run in item_runs(context)
        if run["started_at"] > context.accepted_at + STOP_SECONDS
    ]
    assert not late, sorted(late)
    assert len(item_runs(context)) < len(context.items)


@then("the items in flight are aborted at the endpoints")
def check_aborted(context):
    states = {run["state"] for run in item_runs(context)}
    assert "running" not in states, states
    assert states & {"hung_up", "cancelled"}, states


@then("the job ends as cancelled and its finished results are readable")
def check_cancelled(context):
    job = await_job(context.client, context.jobs[0].id)
    assert job.status == "cancelled", job
    lines = output_of(context.client, job)
    ids = [line["custom_id"] for line in lines]
    assert len(ids) == len(set(ids)) == job.request_counts.completed, job
    assert len(ids) < len(context.items)
    assert all(line["response"]["status_code"] == 200 for line in lines)


@when("the job is cancelled, its segment is closed, and node-a commits afterwards")
def close_claims(context):
    stores = context.stores
    stores.jobs.cancel("salina", context.job.job_id)
    ((version, header),) = stores.work.headers(context.job.job_id).values()
    stores.work.close(context.job.job_id, Candidate(0, version, header))
    finish(context.segment)
    assert context.leases.finalize(context.segment, WorkState.COMMITTED)


@then("node-a detects that its claim is lost")
def check_lost(context):
    assert context.segment.is_lost
    assert not context.platform_state.store.list("job-results", "")
    ((_, header),) = context.stores.work.headers(context.job.job_id).values()
    assert header.state == WorkState.CLOSED.value, header
