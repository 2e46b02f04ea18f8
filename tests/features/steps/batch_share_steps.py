"""Steps on fair scheduling of batch jobs."""

import random
import time
from collections import Counter, deque
from types import SimpleNamespace

from batch_once_steps import await_runs, item_runs
from batch_steps import await_job, submit
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from path_steps import make_client, make_items

from sequoiaglade_decisions.jobs import Contender, FairScheduler, Share
from sequoiaglade_node.batch.item_queue import ItemQueue

TURNS = 600
SHARE_SECONDS = 60.0


@then("in {count:d} random schedules the turns follow tiers and weights")
def check_turns(context, count):
    @settings(max_examples=count, derandomize=True, deadline=None)
    @for_all(st.integers(0, 2**32))
    def contest(seed):
        run_contest(random.Random(seed))

    contest()


def run_contest(rng):
    """Schedule workspaces that always have work, one of which joins late."""
    names = [f"w{number}" for number in range(rng.randint(2, 6))]
    shares = {n: Share(rng.randint(0, 1), rng.choice((1.0, 2.0, 3.0))) for n in names}
    shares["w0"] = shares["w0"]._replace(rank=0)
    jobs = [
        Contender(f"{name}/{job}", name, rng.uniform(0, 9), rng.randint(1, 99))
        for name in names
        for job in range(rng.randint(1, 3))
    ]
    scheduler = FairScheduler()
    first_jobs = [job for job in jobs if job.workspace != names[-1]]
    for _ in range(TURNS):
        scheduler.charge(scheduler.pick(first_jobs, shares), shares)
    counts = Counter()
    for _ in range(TURNS):
        picked = scheduler.pick(jobs, shares)
        scheduler.charge(picked, shares)
        counts[picked.key] += 1
    paying = [name for name in names if shares[name].rank == 0]
    total = sum(shares[name].weight for name in paying)
    for name in names:
        own = sum(counts[job.key] for job in jobs if job.workspace == name)
        weight = shares[name].weight if name in paying else 0.0
        assert abs(own - TURNS * weight / total) <= 2 * len(names), (name, counts)
    check_jobs(jobs, counts, paying)


def check_jobs(jobs, counts, paying):
    """Check that the job due first and the smallest of a workspace both get turns."""
    for name in paying:
        own = [job for job in jobs if job.workspace == name]
        for best in (
            min(own, key=lambda j: j.due_at),
            min(own, key=lambda j: j.remaining),
        ):
            assert counts[best.key] >= TURNS // 60, (best, counts)


@when(
    "hays and salina have jobs of {large:d} items, and dodge and salina submit jobs"
    " of {small:d} items"
)
def submit_all(context, large, small):
    def start(workspace, count):
        client = make_client(context.fleet, workspace)
        return client, submit(client, make_items(count, 4), f"{workspace} {count}")

    context.large_jobs = [start(name, large) for name in ("hays", "salina")]
    time.sleep(1.0)
    context.small_jobs = [start(name, small) for name in ("dodge", "salina")]


@then(
    "both small jobs end within {seconds:d} seconds while the large ones are in"
    " progress"
)
def check_small(context, seconds):
    deadline = time.monotonic() + seconds
    for client, job in context.small_jobs:
        left = max(0.1, deadline - time.monotonic())
        assert await_job(client, job.id, left).request_counts.completed == 20
    for client, job in context.large_jobs:
        assert client.batches.retrieve(job.id).status == "in_progress"


def submit_to_two_nodes(context, first, second):
    """Submit the second job to the second node once the first one is running.

    Both arguments are tuples of workspace, number of items and completion window.
    """
    context.jobs = []
    for node, (workspace, count, window) in enumerate((first, second)):
        context.client = make_client(context.fleet, workspace, node)
        job = submit(context.client, make_items(count, 4), window=window)
        context.jobs.insert(0, job)
        await_runs(context, 1)


@when(
    "{trial} has a job of {trial_count:d} items at one node and {paying} submits"
    " {count:d} items at the other"
)
def submit_tiers(context, trial, trial_count, paying, count):
    context.count = count
    submit_to_two_nodes(context, (trial, trial_count, "24h"), (paying, count, "24h"))


@then(
    "at least {share:d} in 10 items started in the middle half of the paying job are"
    " paying"
)
def check_tiers(context, share):
    job = await_job(context.client, context.jobs[0].id, SHARE_SECONDS)
    assert job.request_counts.completed == context.count, job
    paying = sorted(run["started_at"] for run in item_runs(context))
    start, end = paying[context.count // 4], paying[3 * context.count // 4]
    started = [r for r in context.fleet.runs() if start <= r["started_at"] < end]
    own = sum(start <= at < end for at in paying)
    assert own >= len(started) * share / 10, (own, len(started))


@when(
    "{workspace} has a job of {late_count:d} items due in a day and submits"
    " {count:d} items due in an hour"
)
def submit_due(context, workspace, late_count, count):
    context.count, context.late_count = count, late_count
    submit_to_two_nodes(
        context, (workspace, late_count, "1d"), (workspace, count, "1h")
    )


@then("the job due first ends before half of the other job is done")
def check_due(context):
    job = await_job(context.client, context.jobs[0].id, SHARE_SECONDS)
    assert job.request_counts.completed == context.count, job
    late = context.client.batches.retrieve(context.jobs[1].id)
    done = late.request_counts.completed
    assert late.status == "in_progress", late
    assert done < context.late_count / 2, late


@given("an item queue with a trial segment and a paying one")
def make_item_queue(context):
    shares = {"trial-a": Share(1, 1.0), "hays": Share(0, 1.0)}
    context.queue = ItemQueue(lambda names: {name: shares[name] for name in names})
    context.segment_by_workspace = {name: make_segment(name) for name in shares}
    for segment in context.segment_by_workspace.values():
        context.queue.add(segment)


def make_segment(workspace):
    items = [SimpleNamespace(number=number, not_before=0.0) for number in range(2)]
    return SimpleNamespace(
        job=SimpleNamespace(workspace=workspace, due_at=0.0),
        pending=deque(items),
        in_flight={},
        unfinished_segment_count=1,
    )


@then("a paying item goes before the trial segment, until all paying ones are taken")
def check_gives_way(context):
    trial = context.segment_by_workspace["trial-a"]
    for _ in range(2):
        assert context.queue.has_item_before(trial)
        segment, _ = context.queue.next_item()
        assert segment is context.segment_by_workspace["hays"]
    assert not context.queue.has_item_before(trial)


@then("no item goes before the paying segment")
def check_keeps_place(context):
    paying = context.segment_by_workspace["hays"]
    assert not context.queue.has_item_before(paying)
