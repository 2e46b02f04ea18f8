"""Steps for the number of calls to the store."""

import re

from behave import then, when
from emulator.fleet import wait_until

LISTED_SECONDS = 15.0


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
