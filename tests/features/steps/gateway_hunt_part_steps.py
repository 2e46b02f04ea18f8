"""Steps that add a part of prompts that crashes runners to the records of a day."""

from behave import given, then, when
from emulator.hunt.part_checks import part_figures
from emulator.hunt.part_faults import Culprit, PartRecords
from emulator.hunt.records import Disturbance, OnlineRequest
from emulator.prompt_parts import PartArrival, PartCrash
from gateway_hunt_check_steps import EVENTS

PART = "bad0"
BEGAN_AT, FIRST_AT, PERIOD = 3.0, 3.1, 0.1
# Requests with the part come until then, and runners are back later.
LAST_AT, ENDED_AT = 18.0, 20.0
DAY_SECONDS = 32.0
RUNNER = "runner-0"


@given("a part of prompts that crashed {count:d} runners")
def given_part(context, count):
    evidence = context.evidence
    # Sound requests come until some time after the last one with the part.
    model = next(r for r in evidence.online if r.route == "resume").attempts[0]
    times = [number / 8 for number in range(80, int(8 * DAY_SECONDS))]
    for number, sent_at in enumerate(times):
        attempt = model._replace(
            request_id=f"later-{number}",
            sent_at=sent_at,
            deadline_at=sent_at + 3.5,
            ended_at=sent_at + 1.3,
            first_event_at=sent_at + 0.1,
            gateway=number % 3,
        )
        assert attempt.events == EVENTS
        evidence.online.append(OnlineRequest("resume", (attempt,)))
    records = PartRecords((PART,), [], [], [])
    for number in range(count):
        _arrive(records, f"culprit-{number}", FIRST_AT + number * PERIOD - 0.1)
        _crash(records, FIRST_AT + number * PERIOD)
    for number in range(count, int((LAST_AT - FIRST_AT) / PERIOD) + 1):
        sent_at = FIRST_AT + number * PERIOD
        _send(records, f"culprit-{number}", sent_at, 503, number % 3)
    fault = Disturbance("PromptPartCrashes", None, BEGAN_AT, ENDED_AT)
    evidence.disturbances.append(fault)
    context.evidence = evidence._replace(records_by_kind={"PromptPartCrashes": records})
    context.fifth_at = FIRST_AT + (count - 1) * PERIOD


def _send(records, request_id, sent_at, status, gateway=0):
    row = Culprit(PART, "resume", request_id, gateway, sent_at, status)
    records.culprits.append(row)


def _arrive(records, request_id, at, gateway=0):
    _send(records, request_id, at - 0.01, 200, gateway)
    records.arrivals.append(PartArrival(PART, request_id, RUNNER, at))


def _crash(records, at):
    records.crashes.append(PartCrash(PART, "culprit", RUNNER, at, at + 3.0))


@when(
    "{count:d} requests with the part reach runners {seconds:g} s after the fifth crash"
)
def reach_late(context, count, seconds):
    for number in range(count):
        at = context.fifth_at + seconds
        _arrive(context.evidence.part_records, f"late-{number}", at)


@when(
    "1 request with the part reaches {count:d} runners {seconds:g} s after the fifth "
    "crash"
)
def reach_repeatedly(context, count, seconds):
    records, at = context.evidence.part_records, context.fifth_at + seconds
    _arrive(records, "late", at)
    for number in range(1, count):
        records.arrivals.append(PartArrival(PART, "late", f"runner-{number}", at))


@when(
    "{count:d} requests reach runners {seconds:g} s after the fifth crash, from a "
    "gateway killed {before:g} s before"
)
def reach_after_kill(context, count, seconds, before):
    reach_late(context, count, seconds)
    at = context.fifth_at + seconds - before
    fault = Disturbance("GatewayKilled", 0, at - 1.0, at)
    context.evidence.disturbances.append(fault)


@when(
    "{count:d} requests with the part reach runners {seconds:g} s after the fourth "
    "crash, the last one"
)
def reach_after_fourth(context, count, seconds):
    context.evidence.part_records.crashes.pop()
    reach_late(context, count, seconds - PERIOD)


@when(
    "sound requests get {status:d} from {first:g} to {last:g} s after the fifth crash"
)
@when("sound requests get {status:d} from {first:g} to {last:g} s after the last crash")
def refuse_sound(context, status, first, last):
    span = (context.fifth_at + first, context.fifth_at + last)
    _refuse(context, status, lambda n, at: span[0] <= at <= span[1])


@when(
    "sound requests get {status:d} from {first:g} to {last:g} s after the fifth crash, "
    "and 1 of {share:d} outside"
)
def refuse_usually(context, status, first, last, share):
    refuse_sound(context, status, first, last)
    _refuse(context, status, lambda n, at: n % share == 0)


def _refuse(context, status, is_refused):
    online = context.evidence.online
    chosen = [n for n, request in enumerate(online) if request.route == "resume"]
    for place, number in enumerate(chosen):
        attempt = online[number].attempts[0]
        if is_refused(place, attempt.sent_at):
            changes = {"status": status, "events": (), "first_event_at": None}
            attempts = (attempt._replace(**changes),)
            online[number] = OnlineRequest("resume", attempts)


@when("no runner crashes under the part")
def crash_none(context):
    context.evidence.part_records.crashes.clear()


@then(
    "the figures are {crashes:d} crashes in {seconds:g} s, {late:d} late requests and "
    "{percent:d}% of sound ones refused"
)
def check_figures(context, crashes, seconds, late, percent):
    figures = part_figures(context.evidence)
    row = {"crashes": crashes, "late": late, "refused_after": seconds}
    assert figures["parts"] == {PART: row}, figures
    assert abs(figures["sound_refused"] * 100 - percent) < 1, figures
