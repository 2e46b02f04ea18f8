"""Steps for the number and the price of calls to the store."""

import re
import time
from types import SimpleNamespace

from behave import given, then, when
from emulator.fleet import wait_until
from holders_steps import submit
from sequoiaglade_gateway.batch.storage import JOBS_KIND
from sequoiaglade_gateway.interface import ReadJob

LISTED_SECONDS = 15.0
# The fleet takes longer to list and watch at its start on a busy machine.
SETTLE_SECONDS = 3.0
# A peer that is not heard of counts as lost after this time.
LOST_SECONDS = 3.0


@when("all items of the job are listed")
def wait_until_listed(context):
    fleet = context.gateways
    count = len(context.items)
    is_complete = lambda: (  # noqa: E731
        len(fleet.results(context.job_id)[1].get("Results", ())) == count
    )
    wait_until(is_complete, LISTED_SECONDS, "all items are listed")


@then('the metrics of gateway 0 count the calls that the store received for "{kinds}"')
def check_counted(context, kinds):
    fleet = context.gateways
    for kind in kinds.split(", "):
        is_equal = lambda: (  # noqa: E731
            _counted(fleet, kind) == fleet.store.calls_by_kind[kind] > 0  # noqa: B023
        )
        wait_until(is_equal, LISTED_SECONDS, f"calls for {kind} are counted")


def _counted(fleet, kind):
    lines = fleet.metrics().splitlines()
    calls = [line for line in lines if re.search(rf'store_calls.*kind="{kind}"', line)]
    return sum(float(line.split()[-1]) for line in calls if "_total{" in line)


@when("{count:d} jobs of 1 item are ended {seconds:g} second apart")
def end_jobs(context, count, seconds):
    fleet = context.gateways
    time.sleep(SETTLE_SECONDS)
    context.price_before = fleet.store.price("batch-ends")
    for number in range(count):
        job_id, answer = fleet.submit([(f"item-{number}", "/batch/x/1")])
        assert answer.status == 202, answer
        assert fleet.end(job_id).status == 200
        time.sleep(seconds)


@then('calls of at most {price:g} full prices were made for "{kind}"')
def check_price(context, price, kind):
    paid = context.gateways.store.price(kind) - context.price_before
    assert 0 < paid <= price, paid


@given("a store that keeps {seconds:d} seconds of history")
def given_history(context, seconds):
    context.gateways.store.keep_history(seconds)


@when("the configuration changes once, and other documents for {seconds:d} seconds")
def change_others(context, seconds):
    store = context.gateways.store
    wait_until(
        lambda: "config" in store.watched_kinds(), LISTED_SECONDS, "config is watched"
    )
    context.gateways.configure()
    before = store.calls_by_kind["config"]
    outdated_before = store.outdated_calls_by_kind["config"]
    lists_before = store.lists_by_kind["config"]
    until = time.monotonic() + seconds
    while (left := until - time.monotonic()) > 0:
        store.put("notes", "n", {"seconds_left": left})
        time.sleep(min(left, 0.1))
    outdated = store.outdated_calls_by_kind["config"] - outdated_before
    context.outdated_count = outdated
    context.call_count = store.calls_by_kind["config"] - before - outdated
    context.list_count = store.lists_by_kind["config"] - lists_before


@then('at most {count:d} calls were made for "config", none of them a list')
def check_config_calls(context, count):
    assert context.call_count <= count, context.call_count
    assert context.list_count == 0, context.list_count


@then("at most {count:d} outdated ones")
def check_outdated_calls(context, count):
    assert context.outdated_count <= count, context.outdated_count


@given("outdated reads of the store show what it held {seconds:g} seconds before")
def given_outdated(context, seconds):
    context.gateways.store.set_outdated(seconds)


@when('"{name}" is cut off, and outdated reads of the store show no documents')
def cut_with_outdated(context, name):
    cut(context, name)
    context.simulation.gateway_by_name[name].store.is_outdated = True


@when('"{name}" is cut off')
def cut(context, name):
    submit(context, "b")
    context.simulation.cut(name)
    context.simulation.run(LOST_SECONDS)


@then('a read at "{name}" returns {count:d} result')
def check_read(context, name, count):
    gateway = context.simulation.gateway_by_name[name]
    assert not gateway.holds(context.key)
    assert len(gateway.read(context.job_id)) == count


@then('an unknown job is not found at "{name}"')
def check_unknown(context, name):
    gateway = context.simulation.gateway_by_name[name]
    call = SimpleNamespace(request_id="r", key=None, path="/jobs/none")
    read = ReadJob("none", 0)
    response = gateway.batch.handle(read, call, None, context.simulation.configuration)
    assert response.status == 404, response


@then(
    'a read at "{name}" returns {count:d} result, and reads the header by an outdated '
    "read"
)
def check_outdated_read(context, name, count):
    store = context.simulation.gateway_by_name[name].store
    before = store.outdated_reads.copy()
    check_read(context, name, count)
    assert store.outdated_reads - before == {JOBS_KIND: 1}, store.outdated_reads
