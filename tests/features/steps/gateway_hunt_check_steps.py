"""Steps that change the records of a day so that it breaks a rule."""

import math

from behave import given, then, when
from emulator.endless import EndlessCall
from emulator.hunt.checks import Evidence, find_broken_rules
from emulator.hunt.days import draw_day
from emulator.hunt.records import Attempt, Disturbance, Job, JobRead, OnlineRequest
from emulator.hunt.scale import EVENT_COUNT
from emulator.runner_plan import Crash, ReceivedRequest

EVENTS = tuple((number, "v1") for number in range(1, EVENT_COUNT + 1))
OUTPUT = "\n".join(f"piece-{number}" for number, _ in EVENTS)
RUNNERS = ("runner-0", "runner-1", "runner-2")
FAULT_AT = 3.0
ITEM_IDS = ["item-0", "item-1"]


def _attempt(request_id, sent_at, **changes):
    attempt = Attempt(
        request_id,
        gateway=0,
        sent_at=sent_at,
        deadline_at=sent_at + 3.5,
        ended_at=sent_at + 1.3,
        status=200,
        end="complete",
        events=EVENTS,
        first_event_at=sent_at + 0.1,
        resumes=None,
    )
    return attempt._replace(**changes)


def _run(request_id, began_at, path="/resume/x", batch=False):
    return ReceivedRequest(request_id, path, "yard", False, 0, began_at, batch)


def _results(**changes):
    rows = {item_id: (item_id, "completed", OUTPUT) for item_id in ITEM_IDS}
    return tuple((rows | changes).values())


@given("the records of a day that kept the rules")
def given_records(context):
    online, runs = [], {runner_id: [] for runner_id in RUNNERS}
    for number in range(120):
        route = ("resume", "resume", "safe", "once")[number % 4]
        request_id, sent_at = f"r-{number}", number / 12
        online.append(OnlineRequest(route, (_attempt(request_id, sent_at),)))
        runs[RUNNERS[number % 3]].append(_run(request_id, sent_at))
    job = Job("job-0", ITEM_IDS, "unlucky-0")
    job.sent_at, job.accepted_at, job.statuses = 0.5, 0.6, [202]
    reads = [JobRead(n, 12.0 + n, 200, 2, _results()) for n in range(3)]
    job.reads, job.is_final = [JobRead(0, 2.7, 200, 2, _results()), *reads], True
    for number, item_id in enumerate(ITEM_IDS):
        runs["runner-1"].append(_run(item_id, 0.7, f"/batch/{number}", True))
    context.job = job
    context.evidence = Evidence(
        day=draw_day(0),
        began_at=0.0,
        online=online,
        jobs=[job],
        runs=runs,
        endless_calls=[],
        serving={runner_id: ("v1", 0.0, math.inf) for runner_id in RUNNERS},
        outages=[],
        disturbances=[],
        memory_growths=[],
        crashes=[],
        is_crash_burst_over=True,
        ended_processes=[],
        errors=[],
    )
    assert not find_broken_rules(context.evidence)


def _change(context, route, count, **changes):
    """Change the only attempt of the first requests of a route."""
    online = context.evidence.online
    numbers = [n for n, request in enumerate(online) if request.route == route]
    for number in numbers[:count]:
        attempt = online[number].attempts[0]._replace(**changes)
        online[number] = OnlineRequest(route, (attempt,))
    return [online[number].attempts[0] for number in numbers[:count]]


@when("three streams are joined of two versions")
def join(context):
    events = EVENTS[:5] + tuple((number, "v2") for number, _ in EVENTS[5:])
    _change(context, "resume", 3, events=events)


@when("three whole responses are joined of two versions")
def join_whole(context):
    events = EVENTS[:5] + tuple((number, "v2") for number, _ in EVENTS[5:])
    _change(context, "safe", 3, events=events)


@when("three whole requests are cut and answered by another version")
def answer_again(context):
    fault = Disturbance("Crashes", None, 0.0, FAULT_AT)
    context.evidence.disturbances.append(fault)
    events = tuple((number, "v2") for number, _ in EVENTS)
    online = context.evidence.online
    whole = [n for n, request in enumerate(online) if request.route == "safe"]
    for number in whole[:3]:
        cut = online[number].attempts[0]._replace(end="broken", events=EVENTS[:5])
        again = _attempt(f"{cut.request_id}-again", cut.ended_at)
        attempts = (cut, again._replace(events=events))
        online[number] = OnlineRequest("safe", attempts)


@when("a stream lacks an event")
def lack_event(context):
    _change(context, "resume", 1, events=EVENTS[:4] + EVENTS[5:])


@when("a stream has an event twice")
def repeat_event(context):
    _change(context, "resume", 1, events=EVENTS[:4] + EVENTS[3:])


@when("a stream ends as complete before its last event")
def end_early(context):
    _change(context, "once", 1, events=EVENTS[:-1])


@when("an item's output is of two versions")
def join_output(context):
    output = OUTPUT.replace("piece-3", "piece-3 of v2")
    rows = _results(**{"item-1": ("item-1", "completed", output)})
    context.job.reads = [read._replace(results=rows) for read in context.job.reads]


@when("a request that may not be repeated runs at two runners")
def run_twice(context):
    (attempt,) = _change(context, "once", 1)
    for runs in context.evidence.runs.values():
        runs.append(_run(attempt.request_id, attempt.sent_at))


@when("an item is listed at two positions")
def list_twice(context):
    rows = (*_results(), _results()[0])
    context.job.reads = [read._replace(results=rows) for read in context.job.reads]


@when("a result changes between two reads")
def change_result(context):
    reads = context.job.reads
    reads[0] = reads[0]._replace(results=_results()[::-1])


@when("a request that may not be repeated is refused and ran")
def refuse(context):
    _change(context, "once", 1, status=503, events=())


@when("a job is refused at every attempt and its items ran")
def refuse_job(context):
    context.job.accepted_at, context.job.statuses = None, [503, 503]
    context.job.reads, context.job.is_final = [], False


@when("a request runs that no caller sent")
def run_unasked(context):
    context.evidence.runs["runner-0"].append(_run("unknown", 1.0))


@when("a request has no answer")
def lose_answer(context):
    _change(context, "safe", 1, status=0, end="broken", events=())


@when("a request is silent until its deadline has passed")
def stay_silent(context):
    _change(context, "safe", 1, status=0, end="silent", events=())


@when("a stream is cut before its deadline")
def cut(context):
    _change(context, "resume", 1, end="broken", events=EVENTS[:4])


@when("streams that are taken up are refused")
def refuse_resumed(context):
    online = context.evidence.online
    for number, request in enumerate(online[:48]):
        if request.route == "resume":
            left = request.attempts[0]._replace(end="left", events=EVENTS[:3])
            again = _attempt(f"{left.request_id}-again", left.ended_at)
            again = again._replace(
                status=503, events=(), first_event_at=None, resumes=left.request_id
            )
            online[number] = OnlineRequest("resume", (left, again))


@when("an accepted job is not found")
def not_found(context):
    context.job.reads.insert(0, JobRead(0, 5.0, 404, None, ()))


@when("an item is not listed at the end")
def not_listed(context):
    context.job.reads = context.job.reads[1:]
    reads = context.job.reads
    reads[0] = reads[0]._replace(results=_results()[:1])


@when("an item does not run again after a crash")
def not_run_again(context):
    context.evidence.crashes.append(Crash("runner-1", 0.9, "/batch/0"))


@when("an item is given up")
def give_up(context):
    rows = _results(**{"item-1": ("item-1", "dead_letter", "")})
    context.job.reads = [read._replace(results=rows) for read in context.job.reads]


@when("a job's total changes")
def change_total(context):
    context.job.reads[0] = context.job.reads[0]._replace(total=3)


@when("a result lacks a part of its output")
def shorten_output(context):
    output = OUTPUT.removesuffix(f"\npiece-{EVENT_COUNT}")
    rows = _results(**{"item-1": ("item-1", "completed", output)})
    context.job.reads = [read._replace(results=rows) for read in context.job.reads]


@when("a gateway sends a runner a request long after its announcement")
def ignore_announcement(context):
    _change(context, "resume", 1, announced_at=0.1)


@when("a runner that was silent gets no request")
def avoid_runner(context):
    fault = Disturbance("RunnersSilent", None, FAULT_AT, FAULT_AT + 1)
    context.evidence.disturbances.append(fault)
    runs = context.evidence.runs["runner-2"]
    runs[:] = [run for run in runs if run.began_at < FAULT_AT]


@when("a gateway sends no request to a runner that was silent")
def avoid_by_gateway(context):
    evidence = context.evidence
    fault = Disturbance("RunnersSilent", None, FAULT_AT, FAULT_AT + 1)
    evidence.disturbances.append(fault)
    evidence.outages.append(("runner-2", FAULT_AT, FAULT_AT + 1))
    ids = {run.request_id for run in evidence.runs["runner-2"]}
    for number, request in enumerate(evidence.online):
        (attempt,) = request.attempts
        if attempt.request_id in ids:
            attempt = attempt._replace(gateway=1)
            evidence.online[number] = OnlineRequest(request.route, (attempt,))


@when("an endless response is closed late")
def close_late(context):
    context.evidence.endless_calls.append(EndlessCall("r-1", 1000, 4.1))


@when("an endless response is closed after too many bytes")
def close_after_bytes(context):
    context.evidence.endless_calls.append(EndlessCall("r-1", 16_000_001, 1.0))


@when("a request waits for an endless response until its deadline")
def wait_until_deadline(context):
    (attempt,) = _change(context, "safe", 1)
    context.evidence.endless_calls.append(EndlessCall(attempt.request_id, 1000, 3.5))


@when("a gateway's memory grows")
def grow(context):
    context.evidence.memory_growths.append((0, 20_000_001))


@when("no request reaches a gateway after a power loss")
def reach_none(context):
    _lose_power(context, status=0, end="unreachable", events=())


@when("all requests are refused after a power loss")
def refuse_all(context):
    _lose_power(context, status=503, events=())


def _lose_power(context, **changes):
    fault = Disturbance("PowerLost", None, FAULT_AT, FAULT_AT + 1)
    context.evidence.disturbances.append(fault)
    for number, request in enumerate(context.evidence.online):
        if request.sent_at > FAULT_AT:
            attempt = request.attempts[0]._replace(**changes)
            changed = OnlineRequest(request.route, (attempt,))
            context.evidence.online[number] = changed
    for runs in context.evidence.runs.values():
        runs[:] = [run for run in runs if run.began_at <= FAULT_AT]


@when("a gateway ends by itself")
def end_gateway(context):
    context.evidence.ended_processes.append("gateway-0")


@when("the crashes of the day did not all happen")
def stop_crashing(context):
    context.evidence.crashes.append(Crash("runner-1", 0.6, "/batch/0"))
    context.evidence = context.evidence._replace(is_crash_burst_over=False)


@when("a fault could not be injected")
def fail_injection(context):
    context.evidence.errors.append("StoreAway: OSError()")


@then("no rule is broken")
def check_kept(context):
    broken = find_broken_rules(context.evidence)
    assert not broken, broken


@then('the rule "{rule}" is broken, and no other')
def check_broken(context, rule):
    broken = find_broken_rules(context.evidence)
    assert {row.rule for row in broken} == {rule}, broken
