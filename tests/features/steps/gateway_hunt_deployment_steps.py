"""Steps that add cold runners, evacuations and homes to the records of a day."""

import math

from behave import then, when
from emulator.cold_starts import ColdBound, ColdSpan
from emulator.fleet import HOST
from emulator.hunt.deployment import (
    WEST_HOST,
    DeploymentRecords,
    Instance,
    RunnerRecord,
)
from emulator.hunt.deployment_checks import evacuation_figures, late_answers
from emulator.hunt.records import Disturbance
from emulator.layout import Arrival, DirectoryAnswer, Evacuation

RUNNERS = (
    ("runner-0", "a1", "east"),
    ("runner-1", "a2", "east"),
    ("runner-2", "b1", "west"),
)
REGIONS = ("east", "east", "west")
EVACUATED_AT = 1.0
LOST_AT = 1.0
INFINITE = math.inf


def _deploy(context, **changes):
    """Put records of a deployment that kept the rules beside those of the day."""
    if context.evidence.deployment is None:
        records = DeploymentRecords(
            bound=ColdBound(8.5, 1.5, 5.0),
            runners=tuple(RunnerRecord(*row, (), (), ()) for row in RUNNERS),
            evacuations=(),
            stalls=(),
            homes_by_request_id={},
            answers=(),
            instances=tuple(
                Instance(number, f"127.0.0.1:{number}", region)
                for number, region in enumerate(REGIONS)
            ),
        )
        context.evidence = context.evidence._replace(deployment=records)
    records = context.evidence.deployment._replace(**changes)
    context.evidence = context.evidence._replace(deployment=records)


def _change_runner(context, number, **changes):
    _deploy(context)
    runners = list(context.evidence.deployment.runners)
    runners[number] = runners[number]._replace(**changes)
    _deploy(context, runners=tuple(runners))


def _disturb(context, kind, gateway, began_at, ended_at):
    row = Disturbance(kind, gateway, began_at, ended_at)
    disturbances = [*context.evidence.disturbances, row]
    context.evidence = context.evidence._replace(disturbances=disturbances)


def _be_cold(context, counts_by_second, is_restart=False):
    arrived = tuple(
        second + 0.95 * number / count
        for second, count in counts_by_second
        for number in range(count)
    )
    span = ColdSpan(2.0, 8.0, arrived, is_restart)
    _change_runner(context, 0, cold_spans=(span,))


@when("a cold runner gets {count:d} requests in one second")
def overload(context, count):
    _be_cold(context, [(4.0, count)])


@when("a cold runner gets {count:d} requests in each of two seconds")
def load_twice(context, count):
    _be_cold(context, [(4.0, count), (5.0, count)])


@when("a cold runner gets {count:d} requests across the border of two seconds")
def overload_across(context, count):
    _be_cold(context, [(4.5, count)])


@when("a cold runner gets {count:d} requests in one second while {what}")
def overload_while(context, count, what):
    overload(context, count)
    _excuse(context, what, 4.2, 4.6)


@when("a runner becomes cold and gets {count:d} requests in one second while {what}")
def overload_untold(context, count, what):
    overload(context, count)
    _excuse(context, what, 1.5, 5.0)


@when("a runner is back cold and gets {count:d} requests in one second while {what}")
def overload_restarted(context, count, what):
    _be_cold(context, [(4.0, count)], is_restart=True)
    _excuse(context, what, 1.5, 5.0)


def _excuse(context, what, began_at, ended_at):
    match what:
        case "the emulator stands still":
            _deploy(context, stalls=((began_at, ended_at),))
        case "gateway 0 is suspended":
            _disturb(context, "GatewaySuspended", 0, began_at, ended_at)
        case "gateway 0 is cut off":
            _disturb(context, "GatewaysCutOff", None, began_at, ended_at)
        case "gateway 0 has no store":
            _disturb(context, "StoreSilent", 0, began_at, ended_at)
        case "the store is away":
            _disturb(context, "StoreAway", None, began_at, ended_at)
        case _:
            raise AssertionError(what)


def _evacuate(context, arrived_at, removed_at=INFINITE, number=0):
    _deploy(context)
    row = Evacuation("a1", EVACUATED_AT - 0.1, EVACUATED_AT, removed_at)
    arrival = Arrival("r-0", "/safe/x", arrived_at)
    _deploy(context, evacuations=(row,))
    _change_runner(context, number, arrivals=(arrival,))


@when("a request reaches an evacuated domain {seconds:g} s after its evacuation")
def reach_late(context, seconds):
    _evacuate(context, EVACUATED_AT + seconds)


@when("a request reaches another domain {seconds:g} s after the evacuation")
def reach_other(context, seconds):
    _evacuate(context, EVACUATED_AT + seconds, number=1)


@when(
    "a request reaches an evacuated domain {seconds:g} s after its evacuation and "
    "{after:g} s after its end"
)
def reach_again(context, seconds, after):
    arrived_at = EVACUATED_AT + seconds
    _evacuate(context, arrived_at, removed_at=arrived_at - after)


@when(
    "a request reaches an evacuated domain {seconds:g} s after its evacuation while "
    "{what}"
)
def reach_excused(context, seconds, what):
    reach_late(context, seconds)
    _excuse(context, what, EVACUATED_AT + seconds - 0.5, EVACUATED_AT + seconds + 0.5)


@when(
    "a request reaches an evacuated domain {seconds:g} s after its evacuation, and "
    "the store was away from {since:g} to {until:g} s after it"
)
def reach_without_store(context, seconds, since, until):
    reach_late(context, seconds)
    span = (EVACUATED_AT + since, EVACUATED_AT + until)
    _disturb(context, "StoreAway", None, *span)


@when(
    "a request reaches an evacuated domain {seconds:g} s after its evacuation, and "
    "gateway {number:d} was killed {before:g} s before it"
)
def reach_beside_gone(context, seconds, number, before):
    reach_late(context, seconds)
    lost_at = EVACUATED_AT + seconds - before
    _lose(context, number, lost_at=lost_at)


@when(
    "the directory of homes in the west names {names} to a caller in the {region} "
    "{seconds:g} s into the day"
)
def name_early(context, names, region, seconds):
    numbers = {"all": (0, 1, 2), "the east": (0, 1)}[names]
    _answer(context, WEST_HOST, region, numbers, at=seconds)


@then("the time from the write to the last arrival is {seconds:g} s")
def check_figure(context, seconds):
    (row,) = evacuation_figures(context.evidence)
    assert row == {"domain": "a1", "seconds": seconds}, row


@when("a request with homes in the {region} runs in the {where}")
def run_at(context, region, where):
    _deploy(context, homes_by_request_id={"r-0": frozenset([region])})
    number = next(n for n, row in enumerate(RUNNERS) if row[2] == where)
    _change_runner(context, number, arrivals=(Arrival("r-0", "/safe/x", 4.0),))


@when("although {what}, a request with homes in the {region} runs in the {where}")
def run_excused(context, what, region, where):
    run_at(context, region, where)
    _excuse(context, what, 3.5, 4.5)


@when("a request whose homes exclude each other runs")
def run_nowhere(context):
    run_at(context, "west", "west")
    _deploy(context, homes_by_request_id={"r-0": frozenset()})


def _answer(context, host, region, numbers, count=1, at=4.0):
    addresses = tuple(f"127.0.0.1:{number}" for number in numbers)
    answers = tuple(
        DirectoryAnswer(0, host, region, at + n / 100, at + n / 100, addresses)
        for n in range(count)
    )
    _deploy(context, answers=answers)


@when("the directory of homes in the west names {names} to a caller in the {region}")
def name_for_homes(context, names, region):
    numbers = {"all": (0, 1, 2), "the west": (2,), "the east": (0, 1)}[names]
    _answer(context, WEST_HOST, region, numbers)


@when("the directory without homes names all to a caller in the {region}")
def name_for_all(context, region):
    _answer(context, HOST, region, (0, 1, 2))


@when("the west is lost, and the directory of its homes names the east")
def name_next_best(context):
    name_for_homes(context, "the east", "east")
    _lose(context, 2)


def _lose(context, number, back_at=20.0, lost_at=LOST_AT):
    instances = list(context.evidence.deployment.instances)
    instances[number] = instances[number]._replace(losses=((lost_at, back_at),))
    _deploy(context, instances=tuple(instances))
    _disturb(context, "GatewayKilled", number, lost_at, back_at)


@when("{count:d} directory answers name a gateway that was killed {seconds:g} s before")
def name_lost(context, count, seconds):
    _answer(context, HOST, "east", (0, 1, 2), count, LOST_AT + seconds)
    _lose(context, 1)


@when(
    "{count:d} directory answers name a gateway that was killed {seconds:g} s before "
    "and has started since"
)
def name_started(context, count, seconds):
    _answer(context, HOST, "east", (0, 1, 2), count, LOST_AT + seconds)
    _lose(context, 1, back_at=LOST_AT + seconds - 0.5)


@when(
    "{count:d} directory answers name a gateway that was killed {seconds:g} s before "
    "while {what}"
)
def name_excused(context, count, seconds, what):
    name_lost(context, count, seconds)
    _excuse(context, what, LOST_AT + seconds - 0.5, LOST_AT + seconds + 0.5)


@then("{count:d} directory answers are late")
def check_late(context, count):
    assert len(late_answers(context.evidence)) == count
