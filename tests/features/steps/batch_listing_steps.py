"""Steps on listing jobs."""

import time
from concurrent.futures import ThreadPoolExecutor

import openai
from batch_steps import PATH, as_file, open_stores, submit
from behave import then, when
from path_steps import make_client, make_items

from sequoiaglade_decisions.outcomes import Failure, Refusal
from sequoiaglade_node.batch.listing import JobListing


@when("{first} submits {count:d} jobs and {second} submits 1")
def submit_to_two_workspaces(context, first, count, second):
    context.client = make_client(context.fleet, first)
    items = make_items(1)
    context.ids = [submit(context.client, items, f"k{n}").id for n in range(count)]
    context.foreign_id = submit(make_client(context.fleet, second), items, "k").id


@then("the client lists the jobs of hays {limit:d} at a time, newest first")
def check_pages(context, limit):
    listed = [job.id for job in context.client.batches.list(limit=limit)]
    assert listed == context.ids[::-1], listed
    page = context.client.batches.list(limit=limit)
    assert len(page.data) == limit and page.has_more, page
    last = context.client.batches.list(limit=limit, after=context.ids[1])
    assert [job.id for job in last.data] == context.ids[:1], last
    assert not last.has_more, last


@then("a limit of 0 and a cursor of another workspace are refused")
def check_refused(context):
    for options, kind in (
        ({"limit": 0}, openai.BadRequestError),
        ({"after": context.foreign_id}, openai.NotFoundError),
    ):
        try:
            context.client.batches.list(**options)
        except kind:
            continue
        raise AssertionError(f"{options} were accepted")


def create_many(stores, numbers):
    """Create jobs for one file, retrying each until it is accepted."""
    file = stores.files.upload("salina", "items.jsonl", as_file(make_items(1)))
    ids = []
    for number in numbers:
        created = stores.jobs.create(file, PATH, "24h", None, f"k{number}")
        while isinstance(created, Refusal):
            time.sleep(0.01)
            created = stores.jobs.create(file, PATH, "24h", None, f"k{number}")
        ids.append(created.job_id)
    return ids


def pages(stores, limit):
    """Yield the job ids of each page, as a client follows the pages."""
    found = stores.jobs.list("salina", limit)
    while True:
        yield [record.job_id for record in found.records]
        if not found.has_more:
            return
        found = stores.jobs.list("salina", limit, found.records[-1].job_id)


@when("{count:d} jobs are created, and one list entry whose job was refused")
def create_jobs(context, count):
    stores = context.stores
    context.ids = create_many(stores, range(count // 2))
    added = JobListing(stores.platform).add("salina", "batch_refused")
    assert not isinstance(added, Failure), added
    context.ids += create_many(stores, range(count // 2, count))


@then(
    "all are listed {limit:d} at a time with at most {reads:d} platform calls per page"
)
def check_reads(context, limit, reads):
    calls = context.platform_state.calls
    listed = []
    before = sum(calls.values())
    for page in pages(context.stores, limit):
        used = sum(calls.values()) - before
        assert used <= reads, (used, page)
        assert not any(name.startswith("list jobs") for name in calls), calls
        listed += page
        before = sum(calls.values())
    assert listed == context.ids[::-1], len(listed)


@when("{nodes:d} nodes concurrently create {count:d} jobs each")
def create_concurrently(context, nodes, count):
    each = [open_stores(context, f"node-{n}") for n in range(nodes)]
    numbers = [range(n * count, (n + 1) * count) for n in range(nodes)]
    with ThreadPoolExecutor(nodes) as threads:
        found = list(threads.map(create_many, each, numbers))
    context.ids = [job_id for ids in found for job_id in ids]


@then("all {count:d} jobs are listed exactly once")
def check_all(context, count):
    listed = [job_id for page in pages(context.stores, 100) for job_id in page]
    assert len(listed) == count and set(listed) == set(context.ids), len(listed)
