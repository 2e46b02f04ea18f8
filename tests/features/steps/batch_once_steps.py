"""Steps on exactly-once completion of batch items."""

import json
import os
import random
import signal
import sys
import threading
import time
from pathlib import Path

from batch_steps import (
    await_job,
    batch_fleet,
    open_stores,
    output_of,
    submit,
    submit_locally,
)
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from online_calls import wait_until
from path_steps import make_client, make_items

from sequoiaglade_decisions.jobs import (
    Candidate,
    ItemResult,
    JobProgress,
    Usage,
    WorkState,
)
from sequoiaglade_decisions.outcomes import Failure, FailureCode
from sequoiaglade_node.batch import WorkStore
from sequoiaglade_node.batch.leases import LeaseWriter
from sequoiaglade_node.batch.segments import HeldSegment, new_claim

sys.path.insert(0, str(Path(__file__).parents[2] / "soak"))
import jobs as soak_jobs  # noqa: E402

PLATFORM_MAX_BYTES = 1_000_000
AWAIT_SECONDS = 30.0
REVISION_SECONDS = 20.0


@then("{count:d} random jobs end with each segment committed once")
def check_machine(context, count):
    @settings(max_examples=count, derandomize=True, deadline=None)
    @for_all(st.integers(0, 2**32))
    def drive(seed):
        rng = random.Random(seed)
        soak_jobs.drive(rng, rng.randint(1, 8), rng.randint(1, 12))

    drive()


def hold_segment(stores, job, candidate, node_id):
    header = new_claim(node_id, candidate)
    version = stores.work.claim(job.job_id, candidate, header)
    segment = HeldSegment(job, candidate.index, header.claim_id, version, header)
    lines = stores.files.segment(job.input_file_id, candidate.index)
    segment.load(lines, stores.work.read_partial_results(header))
    return segment


def finish(segment, count=None, text=None):
    """Finish the pending items of a segment, or `count` of them."""
    for _ in range(len(segment.pending) if count is None else count):
        pending = segment.pending.popleft()
        body = {"usage": {"prompt_tokens": 1, "completion_tokens": 2}}
        body["text"] = text or segment.header.node_id
        result = ItemResult(pending.item.custom_id, 200, body, None)
        segment.record_result(pending, result, Usage(1, 2))


@given("a segment of {count:d} items claimed by node-a")
def claim_one(context, count):
    context.stores = open_stores(context)
    context.job = submit_locally(context.stores, make_items(count), "k")
    candidate = Candidate(0, None, None)
    context.segment = hold_segment(context.stores, context.job, candidate, "node-a")
    context.leases = LeaseWriter(context.stores.work)
    context.winner = "node-a"


@given("a segment of {count:d} items claimed by node-a and then taken over by node-b")
def claim_two(context, count):
    claim_one(context, count)
    context.late = context.segment
    progress = JobProgress(context.job.job_id, 1, "node-b", 10.0)
    for now in (0.0, 6.0, 12.0):
        progress.observe(context.stores.work.headers(context.job.job_id), now)
    candidate = progress.begin_claim(12.0)
    context.segment = hold_segment(context.stores, context.job, candidate, "node-b")


@when("node-b commits its results and then node-a does")
def commit_both(context):
    for segment in (context.segment, context.late):
        finish(segment)
        assert context.leases.finalize(segment, WorkState.COMMITTED)
    context.winner = "node-b"


@then("the results of node-b are readable, and node-a detects that its claim is lost")
def check_winner(context):
    check_results(context)
    assert context.late.is_lost and not context.segment.is_lost
    names = [n for n, _ in context.platform_state.store.list("job-results", "")]
    assert all(context.segment.claim_id[:12] in name for name in names), names


@then("the results of node-a are readable")
def check_results(context):
    ((_, header),) = context.stores.work.headers(context.job.job_id).values()
    assert header.state == "committed" and header.node_id == context.winner, header
    lines = context.stores.work.read_results(header.output_parts)
    ids = [json.loads(line)["custom_id"] for line in lines]
    assert ids == [f"item-{number}" for number in range(5)], ids
    parts = context.platform_state.store.list("job-results", "")
    assert all(len(entry.value) < PLATFORM_MAX_BYTES for _, entry in parts)
    assert (header.completed, list(header.usage)) == (5, [5, 10]), header


class LosingPlatform:
    """Platform whose updates take effect; the first `lost` report an unknown outcome.

    Meanwhile work headers can't be read.
    """

    def __init__(self, platform, lost):
        self._platform = platform
        self._lost = lost

    def __getattr__(self, name):
        return getattr(self._platform, name)

    def update(self, *arguments):
        stored = self._platform.update(*arguments)
        self._lost -= 1
        return Failure(FailureCode.UNKNOWN, "lost") if self._lost >= 0 else stored

    def get(self, kind, name):
        if self._lost >= 0 and kind == "job-work":
            return Failure(FailureCode.UNAVAILABLE, "down")
        return self._platform.get(kind, name)


@when("node-a renews and commits while {count:d} updates end with an unknown outcome")
def commit_losing(context, count):
    finish(context.segment)
    losing = LosingPlatform(context.stores.platform, count)
    leases = LeaseWriter(WorkStore(losing, sleep=lambda seconds: None))
    leases.renew(context.segment)
    for _ in range(20):
        if leases.finalize(context.segment, WorkState.COMMITTED):
            return
    raise AssertionError("the outcome of the commit remained unknown")


@when("node-a commits while the platform is down and again once it is up")
def commit_down(context):
    finish(context.segment)
    context.platform_state.set_faults({"down": True})
    context.first = context.leases.finalize(context.segment, WorkState.COMMITTED)
    context.platform_state.set_faults({})
    assert context.leases.finalize(context.segment, WorkState.COMMITTED)


@then("the first commit is to be retried")
def check_first(context):
    assert context.first is False


@when("node-a commits results of {size:d} random bytes each")
def commit_large(context, size):
    finish(context.segment, text=os.urandom(size // 2).hex())
    assert context.leases.finalize(context.segment, WorkState.COMMITTED)


@when("node-a releases the segment with {count:d} results and node-b claims it")
def release_some(context, count):
    finish(context.segment, count)
    assert context.leases.finalize(context.segment, WorkState.RELEASED)
    ((version, header),) = context.stores.work.headers(context.job.job_id).values()
    candidate = Candidate(0, version, header)
    context.segment = hold_segment(context.stores, context.job, candidate, "node-b")


@then("node-b has {left:d} items left to run and commits {count:d} results")
def check_released(context, left, count):
    assert len(context.segment.pending) == left
    finish(context.segment)
    assert context.leases.finalize(context.segment, WorkState.COMMITTED)
    context.winner = "node-b"
    check_results(context)


@given(
    "a batch fleet of {nodes:d} nodes and {endpoints:d} endpoints with an"
    " unrepeatable model"
)
def unrepeatable_fleet(context, nodes, endpoints):
    batch_fleet(context, nodes, endpoints)
    document = context.fleet.document()
    document["routes"]["writer"]["repeatable"] = False
    revision = context.fleet.apply(document)
    for node in range(nodes):
        wait_until(
            lambda node=node: node_revision(context, node) >= revision,
            REVISION_SECONDS,
            f"node {node} has revision {revision}",
        )


def node_revision(context, node):
    return context.fleet.operator("GET", "status", node=node)["revision"]


def start_job(context, count):
    context.items = make_items(count, 4)
    for number, item in enumerate(context.items):
        item["body"] = item["body"] | {"max_tokens": 3 + number % 7}
    context.client = make_client(context.fleet)
    context.jobs = [submit(context.client, context.items, "sheet-1")]


@when(
    "a job of {count:d} items runs while node {killed:d} is killed and node"
    " {frozen:d} is frozen for {seconds:d} seconds"
)
def run_with_node_failures(context, count, killed, frozen, seconds):
    start_job(context, count)
    await_runs(context, count // 8)
    context.fleet.nodes[killed].process.kill()
    process = context.fleet.nodes[frozen].process
    process.send(signal.SIGSTOP)
    timer = threading.Timer(seconds, lambda: process.send(signal.SIGCONT))
    timer.start()
    context.stack.callback(timer.join)


def await_runs(context, count):
    deadline = time.monotonic() + AWAIT_SECONDS
    while len(item_runs(context)) < count:
        assert time.monotonic() < deadline, "too few items were started"
        time.sleep(0.02)


def item_runs(context):
    prefix = context.jobs[0].id
    return [r for r in context.fleet.runs() if r["request_id"].startswith(prefix)]


@when(
    "a job of {count:d} items runs while the platform is down for {seconds:d}"
    " seconds and then loses {lost:d} responses"
)
def run_with_outage(context, count, seconds, lost):
    start_job(context, count)
    await_runs(context, count // 8)
    context.fleet.set_platform_faults(down=True)
    time.sleep(seconds)
    context.fleet.set_platform_faults(lose_answers=lost)


@when(
    "a job of {count:d} items runs with platform outages of {seconds:d} seconds at"
    " its start, after its first commit and at its end"
)
def run_with_outages(context, count, seconds):
    start_job(context, count)
    fail_platform(context, seconds, lambda: item_runs(context))
    fail_platform(context, seconds, lambda: committed_count(context) > 0)
    fail_platform(context, seconds, lambda: len(item_runs(context)) >= count)


def fail_platform(context, seconds, is_due):
    deadline = time.monotonic() + AWAIT_SECONDS
    while not is_due():
        assert time.monotonic() < deadline, "the job did not reach the stage"
        time.sleep(0.02)
    context.fleet.set_platform_faults(down=True)
    time.sleep(seconds)
    context.fleet.set_platform_faults()


def committed_count(context):
    return context.client.batches.retrieve(context.jobs[0].id).request_counts.completed


@then("each result belongs to its item, and each item was run")
def check_answers(context):
    job = await_job(context.client, context.jobs[0].id)
    tokens = {i["custom_id"]: i["body"]["max_tokens"] for i in context.items}
    for line in output_of(context.client, job):
        text = line["response"]["body"]["choices"][0]["message"]["content"]
        expected = "".join(f"w{n} " for n in range(tokens[line["custom_id"]]))
        assert text == expected, line
    ran = {run["request_id"] for run in item_runs(context)}
    assert len(ran) == len(context.items)
    assert job.request_counts.completed == len(context.items)


@then("each of the {count:d} items has either one result or one outcome_unknown error")
def check_unknown(context, count):
    job = await_job(context.client, context.jobs[0].id)
    lines = output_of(context.client, job)
    if job.error_file_id:
        text = context.client.files.content(job.error_file_id).text
        errors = [json.loads(line) for line in text.splitlines()]
        codes = {line["error"]["code"] for line in errors}
        assert codes == {"outcome_unknown"}, codes
        lines += errors
    ids = [line["custom_id"] for line in lines]
    assert sorted(ids) == sorted(i["custom_id"] for i in context.items), len(ids)
    assert len(ids) == count


@then("no item was run twice")
def check_once(context):
    ids = [run["request_id"] for run in item_runs(context)]
    assert len(ids) == len(set(ids)), sorted(ids)
