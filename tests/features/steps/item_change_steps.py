"""Steps for batch items whose route or endpoint changes before they are sent."""

import time

from behave import given, then, when
from emulator import RunnerPlan
from gateway_item_runner_steps import ROUTE, hold_job, start_item_runner
from sequoiaglade_gateway.messages import EndpointChanged, EndpointLeaving

from sequoiaglade_decisions.gateway import FleetConfiguration

MANY_SLOTS = RunnerPlan(slots=64, event_count=12, event_seconds=0.1)
# A scheduler of a large fleet has 0.15 seconds to answer.
PLACEMENT_SECONDS = 0.1
# A silent store and silent peers delay the check of ends this long.
ENDS_SECONDS = 1.6
DUE_ROUTE = ROUTE._replace(due_seconds=18.0, waiting_tokens=1000)
CONFIGURATION_BY_CHANGE = {
    "moves to another service": FleetConfiguration(
        2, (ROUTE._replace(targets=(("other", 1),)),), (), ()
    ),
    "is removed": FleetConfiguration(2, (), (), ()),
}


def _change_route(context, change):
    context.store_cache.configuration = CONFIGURATION_BY_CHANGE[change]
    context.changed_at = time.monotonic()


@given("an item runner with slow placements, whose route {change} during the first one")
def given_slow_placements(context, change):
    start_item_runner(
        context,
        lambda: _change_route(context, change),
        MANY_SLOTS,
        PLACEMENT_SECONDS,
    )


@given("an item runner whose route {change} while an item waits for recent ends")
def given_slow_ends(context, change):
    def read_ends():
        _change_route(context, change)
        time.sleep(ENDS_SECONDS)

    start_item_runner(context, plan=MANY_SLOTS, read_ends=read_ends)


@given("an item runner whose endpoint {change} while an item waits for recent ends")
def given_leaving(context, change):
    message_by_change = {
        "announces its shutdown": EndpointLeaving("runner-0", 0),
        "leaves the list": EndpointChanged("runner-0", None),
    }

    def read_ends():
        context.coordinator.tell(message_by_change[change])
        context.changed_at = time.monotonic()
        time.sleep(ENDS_SECONDS)

    start_item_runner(context, plan=MANY_SLOTS, read_ends=read_ends)


@then("no item is sent later than {milliseconds:d} ms after the change")
def check_sent(context, milliseconds):
    time.sleep(5.0)
    late = [
        round(run.began_at - context.changed_at, 3)
        for run in context.endpoint.runs
        if run.began_at > context.changed_at + milliseconds / 1000
    ]
    assert not late, late


@given(
    "an item runner whose route is limited, and a job that was taken over without it"
)
def given_without_route(context):
    start_item_runner(context, route=DUE_ROUTE)
    context.held_job = hold_job(context, 40, submitted_at=100.0, route=None)


@when("{seconds:d} second passes")
def pass_second(context, seconds):
    time.sleep(seconds)


@then("its waiting tokens count for the route, and its items are due by the route")
def check_route(context):
    (summary,) = context.registry.summaries()
    assert summary.waiting_tokens, summary
    assert summary.route == DUE_ROUTE.name, summary
    assert context.held_job.batch.due == 118.0, context.held_job.batch.due
