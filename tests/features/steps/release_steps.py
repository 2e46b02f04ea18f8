"""Steps for gateways of the release in production beside those of this one."""

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from emulator import RunnerPlan
from emulator.fleet import wait_until
from emulator.process import SOURCES
from emulator.release import ReleaseSources
from gateway_calls import start

LISTED_SECONDS = 30.0
STOP_SECONDS = 12.0
GROUP = 5
CALLERS = 3
PAUSE_SECONDS = 0.05
# Jobs come at a part of the requests.
JOB_SHARE = 0.05
LIMIT, JOB_TOKENS, OVERSHOOT = 100_000, 6_000, 0.1
JOBS_MAX = 60


@given(
    "{old:d} gateways of the release in production and {new:d} of this one, and "
    "{runners:d} runners"
)
def given_releases(context, old, new, runners):
    _start(context, old, new, [RunnerPlan()] * runners)


@given(
    "{old:d} gateways of the release in production and {new:d} of this one, and 1 "
    "runner with long items"
)
def given_long_items(context, old, new):
    _start(context, old, new, [RunnerPlan(event_count=400, event_seconds=0.1)])


def _start(context, old, new, plans):
    context.production = context.stack.enter_context(ReleaseSources())
    sources = dict.fromkeys(range(old), context.production)
    start(context, old + new, plans, sources_by_node=sources)
    context.lost = set()
    wait_until(lambda: _knows_all(context), LISTED_SECONDS, "all know each other")


def _knows_all(context):
    fleet = context.gateways
    count = len(fleet.nodes) - 1
    return all(len(fleet.status(n)["peers"]) == count for n in range(count + 1))


@when("a job of {count:d} items is accepted at each gateway")
def accept_jobs(context, count):
    fleet = context.gateways
    context.job_ids = []
    for number in range(len(fleet.nodes)):
        items = [(f"item-{n}", "/batch/x/1") for n in range(count)]
        job_id, response = fleet.submit(items, number)
        assert response.status == 202, response
        context.job_ids.append(job_id)
    context.item_count = count


@then("each gateway serves requests, and tells all results of all jobs")
def check_all(context):
    fleet = context.gateways
    for number in range(len(fleet.nodes)):
        response = fleet.send("/safe/x", number)
        assert response is not None and response.status == 200, (number, response)
        for job_id in context.job_ids:
            wait_until(
                lambda: _count(fleet, job_id, number) == context.item_count,  # noqa: B023
                LISTED_SECONDS,
                f"gateway {number} tells the results of {job_id}",
            )


def _count(fleet, job_id, number):
    status, body = fleet.results(job_id, number)
    return len(body["Results"] or ()) if status == 200 else None


@then("a job that one gateway accepted is ended at the next one")
def end_jobs(context):
    fleet = context.gateways
    for number, job_id in enumerate(context.job_ids):
        response = fleet.end(job_id, (number + 1) % len(fleet.nodes))
        assert response.status == 200, (number, response)


@when("jobs of one workspace arrive at all gateways in turn until each has refused one")
def fill_limit(context):
    fleet = context.gateways
    refusing, context.tokens = set(), 0
    for number in range(JOBS_MAX):
        node = number % len(fleet.nodes)
        items = [(f"item-{number}", f"/batch/x/{number}")]
        _, response = fleet.submit(items, node, tokens=JOB_TOKENS)
        assert response.status in (202, 429), response
        if response.status == 202:
            context.tokens += JOB_TOKENS
        else:
            refusing.add(node)
        if len(refusing) == len(fleet.nodes):
            return
    raise AssertionError(f"refused by {sorted(refusing)} alone")


@then("their tokens are at most a tenth above the limit")
def check_tokens(context):
    assert LIMIT - JOB_TOKENS < context.tokens <= LIMIT * (1 + OVERSHOOT), (
        context.tokens
    )


@when("they are replaced five at a time {detour}, while callers send requests and jobs")
def replace_all(context, detour):
    fleet = context.gateways
    here = SOURCES
    steps = [(first, here) for first in range(0, len(fleet.nodes), GROUP)]
    if detour != "in order":
        steps[1:1] = [(0, context.production), (0, here)]
    context.load = _Load(fleet)
    with context.load:
        for first, sources in steps:
            _replace(context, range(first, first + GROUP), sources)


def _replace(context, numbers, sources):
    fleet = context.gateways
    context.load.away = set(numbers)

    def replace(number):
        node = fleet.nodes[number]
        node.terminate()
        node.process.wait(STOP_SECONDS)
        node.sources = sources
        node.start()
        fleet.wait_ready(number)

    with ThreadPoolExecutor(GROUP) as pool:
        list(pool.map(replace, numbers))
    context.load.away = set()


class _Load:
    """Callers that send requests and jobs to the gateways that are not replaced."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._is_over = threading.Event()
        self._random = random.Random(1)
        self.away = set()
        self.unserved = []
        self.served_count = 0
        self.job_ids = []
        self._threads = [threading.Thread(target=self._run) for _ in range(CALLERS)]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info):
        self._is_over.set()
        for thread in self._threads:
            thread.join()

    def _run(self):
        while not self._is_over.wait(PAUSE_SECONDS):
            if self._random.random() < JOB_SHARE:
                items = [(f"item-{n}", "/batch/x/1") for n in range(3)]
                job_id, response = self._fleet.submit(items, self._choose())
                if response is not None and response.status == 202:
                    self.job_ids.append(job_id)
                continue
            tries = [self._fleet.send("/safe/x", self._choose())]
            if not _is_served(tries[0]):
                time.sleep(PAUSE_SECONDS)
                tries.append(self._fleet.send("/safe/x", self._choose()))
            if _is_served(tries[-1]):
                self.served_count += 1
            else:
                self.unserved.append(tries)

    def _choose(self):
        numbers = set(range(len(self._fleet.nodes))) - self.away
        return self._random.choice(sorted(numbers))


def _is_served(response):
    return response is not None and response.status == 200 and response.is_complete


@then("each request was served, at the second attempt at the latest")
def check_served(context):
    assert context.load.served_count > 0
    assert not context.load.unserved, context.load.unserved[:3]


@then("all items of the accepted jobs have one result")
def check_results(context):
    fleet = context.gateways
    assert context.load.job_ids
    for job_id in context.load.job_ids:
        wait_until(
            lambda: _count(fleet, job_id, 0) == 3,  # noqa: B023
            LISTED_SECONDS,
            f"the results of {job_id} are listed",
        )
        _, body = fleet.results(job_id)
        ids = [row["Id"] for row in body["Results"]]
        assert sorted(ids) == sorted(set(ids)), body
