"""Steps for the groups of items of an item runner."""

import time
from unittest import mock

from behave import given, then, when
from sequoiaglade_gateway.batch.runner import ItemRunner
from sequoiaglade_gateway.messages import BatchShare

from sequoiaglade_decisions.gateway import Full


@given("an item runner whose items get no slot")
def given_runner(context):
    parts, registry = mock.MagicMock(), mock.MagicMock()
    parts.placer.place.return_value = Full(5.0, True)
    parts.coordinator.ask.side_effect = lambda message: (
        1 if isinstance(message, BatchShare) else {""}
    )
    parts.settings.evacuations = False
    registry.clock.return_value = 0.0
    configuration = parts.store_cache.configuration
    configuration.regions_of.return_value = frozenset()
    job = mock.MagicMock(held_since=0.0)
    job.batch.spec.submitted_at = time.time()
    job.batch.unfinished_count = 1
    job.batch.give_up_overdue.return_value = False
    registry.open_jobs.return_value = [job]
    context.registry, context.configuration = registry, configuration
    context.runner = ItemRunner(parts, registry)


@when("jobs of {count:d} groups wait, one after another")
def wait(context, count):
    context.services = [f"s-{number}" for number in range(count)]
    for service in context.services:
        route = mock.MagicMock(retention=0)
        route.service_for.return_value = service
        context.configuration.match.return_value = route
        context.runner._tick(context.configuration, 0.0)


@then("it keeps when to try again for the last group, and for none when all are gone")
def check_kept(context):
    kept = [service for service, _ in context.runner._retry_at_by_group]
    assert kept == context.services[-1:], kept
    context.registry.open_jobs.return_value = []
    context.runner._tick(context.configuration, 0.0)
    assert not context.runner._retry_at_by_group
