"""Steps for an item runner of its own, without a node, on an emulated runner."""

import threading
import time
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from emulator import EmulatedRunner, EmulatedStore
from emulator.fleet import wait_until
from fleet_adapter.dialect import PlatformDialect
from gateway_calls import SLOW
from sequoiaglade_gateway.batch import ItemRunner, JobEnds, JobRegistry
from sequoiaglade_gateway.batch.registry import HeldJob
from sequoiaglade_gateway.batch.storage import JobHeader
from sequoiaglade_gateway.bounded_reads import ResponseMemory
from sequoiaglade_gateway.coordinator import Coordinator
from sequoiaglade_gateway.forwarding import EndpointPaths
from sequoiaglade_gateway.messages import EndpointsListed, GetStatus
from sequoiaglade_gateway.settings import GatewaySettings, Listeners

from sequoiaglade_decisions.gateway import (
    Endpoint,
    FleetConfiguration,
    Item,
    JobSpec,
    Route,
    RouteKind,
)

HOST, SERVICE = "kiosk.example", "writer"
ROUTE = Route(
    "batch", HOST, "/batch/", RouteKind.BATCH, ((SERVICE, 1),), 5.0, 0.3, attempts=3
)
ITEM_SECONDS = SLOW.event_count * SLOW.event_seconds


class _Placer:
    """Places requests by the coordinator, after a fault that happens once."""

    def __init__(self, coordinator, fault, seconds):
        self._coordinator = coordinator
        self._fault = fault
        self._seconds = seconds

    def place(self, place):
        time.sleep(self._seconds)
        fault, self._fault = self._fault, None
        if fault is not None:
            fault()
        return self._coordinator.ask(place)


class _ThreadLimit:
    """Makes the next `count` threads of items fail to start."""

    def __init__(self, count):
        self._count = count
        self._start = threading.Thread.start

    def start(self, thread):
        if thread.name == "item" and self._count:
            self._count -= 1
            raise RuntimeError("can't start new thread")
        self._start(thread)


def start_item_runner(
    context,
    fault=None,
    plan=SLOW,
    placement_seconds=0.0,
    read_ends=lambda: None,
    route=ROUTE,
    settings=(),
):
    stack = context.stack
    store = stack.enter_context(EmulatedStore())
    context.endpoint = stack.enter_context(
        EmulatedRunner(store, "runner-0", SERVICE, plan)
    )
    address = context.endpoint.address
    parts = SimpleNamespace(
        settings=GatewaySettings(
            node_id="gateway-0",
            failure_domain="d",
            listen=dict.fromkeys(Listeners.model_fields, address),
            store={"address": store.address},
            **dict(settings),
        ),
        dialect=PlatformDialect(),
        store_cache=SimpleNamespace(
            configuration=FleetConfiguration(1, (route,), (), ()),
            confirmed_at=0.0,
            lacks_evacuations=False,
        ),
        writer=SimpleNamespace(wake=lambda: None),
        response_memory=ResponseMemory(),
    )
    parts.coordinator = Coordinator.start(parts.settings, 1)
    stack.callback(parts.coordinator.stop)
    endpoint = Endpoint("runner-0", SERVICE, address, "d", plan.slots)
    parts.coordinator.tell(EndpointsListed([endpoint]))
    parts.paths = EndpointPaths(parts, client=None)
    parts.placer = _Placer(parts.coordinator, fault, placement_seconds)
    context.store_cache = parts.store_cache
    context.coordinator = parts.coordinator
    context.registry = JobRegistry()
    parts.metrics = SimpleNamespace(count=lambda event, outcome: None)
    parts.job_ends = JobEnds(context.registry, parts.metrics, read_ends, lambda: None)
    context.item_runner = stack.enter_context(ItemRunner(parts, context.registry))


def hold_job(
    context,
    count,
    job_id="job",
    headers=(),
    submitted_at=0.0,
    route=ROUTE,
    path="/batch/job",
):
    items = tuple(Item(f"item-{n}", "/batch/x", headers, b"", 1) for n in range(count))
    spec = JobSpec(job_id, "yard", HOST, path, submitted_at, "gateway-0", items)
    job = HeldJob(JobHeader(spec, (0,) * count, False, 1), spec, route)
    context.registry.add(job)
    return job


@given("an item runner whose next placement raises an exception")
def given_failing_placement(context):
    start_item_runner(context, mock.Mock(side_effect=OSError("no placement")))


@given("an item runner that cannot start threads for {count:d} items")
def given_thread_limit(context, count):
    limit = _ThreadLimit(count)
    context.stack.enter_context(
        mock.patch.object(threading.Thread, "start", lambda thread: limit.start(thread))
    )
    start_item_runner(context)


@given("an item runner whose job is released to a peer during the first placement")
def given_released(context):
    def release():
        context.registry.release(context.held_job.key)
        context.item_runner.stop_job(context.held_job.key)

    start_item_runner(context, release)


@when("a job of {count:d} items is held")
@when("a job of {count:d} item is held")
def hold(context, count):
    context.held_job = hold_job(context, count)


@when("it is adopted again beside a job of {count:d} items while its item runs")
def adopt_again(context, count):
    wait_until(lambda: context.endpoint.running, ITEM_SECONDS, "the item runs")
    context.held_job = hold_job(context, len(context.held_job.batch.spec.items))
    hold_job(context, count, "other")


@then("within {seconds:d} seconds it has {count:d} completed items")
@then("within {seconds:d} seconds it has {count:d} completed item")
def check_done(context, seconds, count):
    batch = context.held_job.batch
    wait_until(lambda: not batch.unfinished_count, seconds, "all items are completed")
    assert [result.is_completed for result in batch.unlisted()] == [True] * count


@then("no request counts as in flight")
def check_counts(context):
    counts = lambda: context.coordinator.ask(GetStatus())["in_flight_by_endpoint"]  # noqa: E731
    wait_until(lambda: not counts(), 1.0, "no request is in flight")
