"""Steps that add changes and ends of jobs to the records of a day."""

import time
from types import SimpleNamespace

from behave import given, then, when
from emulator.hunt.change_checks import longest_item_delay, longest_until_in_force
from emulator.hunt.job_faults import EndedJob
from emulator.hunt.operators import (
    CALLERS_KEY,
    PROBE_PERIOD_SECONDS,
    SAFE_ROUTE,
    Change,
    Operator,
    Probe,
)
from emulator.hunt.records import Disturbance
from emulator.runner_plan import ReceivedRequest

# The first change replaces a key and adds a route, the second one removes it.
CHANGED_AT, REMOVED_AT = 3.0, 5.0
OLD_KEY, NEW_KEY = "key-field-0", "key-field-1"
ADDED, INVALID = "added-1", "invalid-2"


# Probes of each gateway in a state of the fleet.
PROBE_ROUNDS = 4


class OperatedFleet:
    """Stands for a fleet; its gateways handle requests by what is `in_force`."""

    def __init__(self):
        self.nodes, self.runners = range(3), []
        self.configuration_version = 3
        self.added_routes = ()
        self.workspaces = {"yard": {"keys": [CALLERS_KEY]}}
        self.in_force = self.written

    @property
    def written(self):
        keys = {key for row in self.workspaces.values() for key in row["keys"]}
        return {SAFE_ROUTE, *self.added_routes}, keys

    def configure(self):
        self.configuration_version += 3

    def send(self, path, node, key, **options):
        routes, keys = self.in_force
        if path.split("/")[1] not in routes:
            return SimpleNamespace(status=404)
        return SimpleNamespace(status=200 if key in keys else 401)


@given("an operator of gateways without a store")
def given_operator(context):
    context.operated = OperatedFleet()
    context.first_version = context.operated.in_force
    context.operator = context.stack.enter_context(Operator(context.operated))
    _disturb(context, "StoreAway", None, time.monotonic(), None)
    context.evidence = context.evidence._replace(
        changes=context.operator.changes, probes=context.operator.probes
    )


@when("the operator adds a route and replaces a key")
def change_configuration(context):
    for kind in ("add route", "replace key"):
        context.operator.change(kind)
        _let_probe()


@when("gateways show the newest version, and the first one again")
def show_newest(context):
    for context.operated.in_force in (context.operated.written, context.first_version):
        _let_probe()


def _let_probe():
    time.sleep(PROBE_ROUNDS * PROBE_PERIOD_SECONDS)


def _change(version, at, routes, key, acknowledged_after=0.0, invalid_route=""):
    return Change(
        version,
        at,
        at + acknowledged_after,
        frozenset([SAFE_ROUTE, *routes]),
        frozenset([CALLERS_KEY, key]),
        invalid_route,
    )


@given("the configuration changed at 3 s and at 5 s")
def given_changes(context):
    changes = [
        _change(3, 1.0, [], OLD_KEY),
        _change(6, CHANGED_AT, [ADDED], NEW_KEY),
        _change(9, REMOVED_AT, [], NEW_KEY),
    ]
    context.evidence = context.evidence._replace(changes=changes, probes=[])


def _probe(context, sent_at, route, key, status, gateway=1):
    number = len(context.evidence.probes)
    probe = Probe(f"p-{number}", gateway, sent_at, sent_at + 0.01, route, key, status)
    context.evidence.probes.append(probe)


def _disturb(context, kind, gateway, began_at, ended_at):
    fault = Disturbance(kind, gateway, began_at, ended_at)
    context.evidence.disturbances.append(fault)


@when("a key that was replaced opens {seconds:g} s later")
def open_by_old_key(context, seconds):
    _probe(context, CHANGED_AT + seconds, SAFE_ROUTE, OLD_KEY, 200)


@when("a key that was added is refused {seconds:g} s later")
def refuse_new_key(context, seconds):
    _probe(context, CHANGED_AT + seconds, SAFE_ROUTE, NEW_KEY, 401)


@when("a removed route is served {seconds:g} s later")
def serve_removed(context, seconds):
    _probe(context, REMOVED_AT + seconds, ADDED, CALLERS_KEY, 200)


@when("a removed route is served {seconds:g} s later by a gateway without a store")
def serve_removed_alone(context, seconds):
    serve_removed(context, seconds)
    # Its store answers for less than 3 s again.
    _disturb(context, "StoreSilent", 1, REMOVED_AT, REMOVED_AT + seconds - 2.9)


@when("a removed route is served {seconds:g} s later by a gateway that was suspended")
def serve_removed_after_suspension(context, seconds):
    serve_removed(context, seconds)
    _disturb(context, "GatewaySuspended", 1, REMOVED_AT, REMOVED_AT + seconds - 2.9)


@when("a removed route is served {seconds:g} s later beside a suspended gateway")
def serve_removed_beside_suspended(context, seconds):
    serve_removed(context, seconds)
    _disturb(context, "GatewaySuspended", 0, REMOVED_AT, REMOVED_AT + seconds)


@when(
    "a removed route is served {seconds:g} s later beside another gateway without a"
    " store"
)
def serve_removed_beside(context, seconds):
    serve_removed(context, seconds)
    _disturb(context, "StoreSilent", 0, REMOVED_AT, REMOVED_AT + seconds)


@when(
    "a route is served {seconds:g} s after its removal was sent, {later:g} s after its"
    " late acknowledgement"
)
def serve_removed_unacknowledged(context, seconds, later):
    context.evidence.changes[-1] = _change(
        9, REMOVED_AT, [], NEW_KEY, acknowledged_after=seconds - later
    )
    serve_removed(context, seconds)


@when("an added route is refused {seconds:g} s later")
def refuse_added(context, seconds):
    context.evidence.changes.pop()
    _probe(context, CHANGED_AT + seconds, ADDED, CALLERS_KEY, 404)


@when("a gateway goes back to an older version")
def go_back(context):
    _probe(context, CHANGED_AT + 0.2, SAFE_ROUTE, NEW_KEY, 200)
    _probe(context, CHANGED_AT + 0.5, SAFE_ROUTE, OLD_KEY, 200)


@when("a gateway that was killed goes back to an older version")
def go_back_after_kill(context):
    go_back(context)
    _disturb(context, "GatewayKilled", 1, CHANGED_AT + 0.3, CHANGED_AT + 0.4)


@when("a gateway that was suspended goes back to an older version")
def go_back_after_suspension(context):
    go_back(context)
    _disturb(context, "GatewaySuspended", 1, CHANGED_AT + 0.3, CHANGED_AT + 0.4)


@when("a gateway serves the route of an invalid document")
def serve_invalid(context):
    context.evidence.changes.append(_change(12, 6.0, [], "", invalid_route=INVALID))
    _probe(context, 6.1, INVALID, CALLERS_KEY, 200)


@when("an item runs {seconds:g} s after the end of its job")
def run_ended_item(context, seconds):
    evidence = context.evidence
    job = EndedJob("ended-0", "running", ("ended-0-0",), 4.0)
    evidence = evidence._replace(
        request_ids=set(job.item_ids), records_by_kind={"JobsEnded": [job]}
    )
    run = ReceivedRequest("ended-0-0", "/batch/x", "yard", False, 0, 4 + seconds, True)
    evidence.runs["runner-1"].append(run)
    context.evidence = evidence


@when("an item runs {seconds:g} s after the end of its job while a gateway is {away}")
def run_ended_item_excused(context, seconds, away):
    run_ended_item(context, seconds)
    kind = {"killed": "GatewayKilled", "suspended": "GatewaySuspended"}[away]
    _disturb(context, kind, 0, 4.0, 4.0 + seconds - 2.9)


@when(
    "the gateways show the changes {first:g}, {second:g} and {third:g} s after their"
    " acknowledgement"
)
def show_changes(context, first, second, third):
    for gateway, seconds in enumerate((first, second, third)):
        _probe(context, 1.1, SAFE_ROUTE, OLD_KEY, 200, gateway)
        for change, key in ((CHANGED_AT, CALLERS_KEY), (REMOVED_AT, NEW_KEY)):
            status = 200 if change == CHANGED_AT else 404
            sent_at = change + seconds - 0.01
            _probe(context, sent_at, ADDED, key, status, gateway)


@then("the day's figures are {change:g} s and {item:g} s")
def check_figures(context, change, item):
    found = longest_until_in_force(context.evidence)
    assert abs(found - change) < 0.001, found
    found = longest_item_delay(context.evidence)
    assert abs(found - item) < 0.001, found
