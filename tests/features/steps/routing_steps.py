"""Steps on the dispatcher, a state machine driven with an explicit clock."""

import sys
from pathlib import Path
from random import Random

from behave import given, then, when
from hypothesis import given as given_examples
from hypothesis import settings
from hypothesis import strategies as st

from sequoiaglade_decisions.configuration import make_snapshot
from sequoiaglade_decisions.routing import (
    Dispatcher,
    Granted,
    Preempted,
    Priority,
    Rejected,
    RunOutcome,
    Ticket,
    YieldWanted,
)

sys.path.insert(0, str(Path(__file__).parents[2] / "soak"))
from routing import TARGETS, DispatcherDriver, make_document  # noqa: E402

WRITER = TARGETS[0]


@when("a dispatcher is driven by random events")
def drive(context):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given_examples(st.randoms(use_true_random=False))
    def examples(random):
        DispatcherDriver(random).run(60)

    examples()


@then("no ticket is granted twice, beyond the slots, or on a leaving endpoint")
def check_driven(context):
    DispatcherDriver(Random(7)).run(300)


@given("a dispatcher with {count:d} endpoints of {slots:d} slots")
def make_dispatcher(context, count, slots):
    names = {}
    for index in range(count):
        names[f"writer-{index}"] = slots
        names[f"stock-{index}"] = slots
    context.names = [name for name in names if name.startswith("writer")]
    context.dispatcher = Dispatcher("yard-a", Random(3))
    context.snapshot = make_snapshot(1, make_document(names))
    context.dispatcher.configure(context.snapshot, 0.0)


def ticket(ticket_id, workspace="hays", priority=Priority.PAYING_ONLINE, **options):
    options.setdefault("deadline", 1000.0)
    return Ticket(ticket_id, workspace, WRITER, priority, **options)


def of_kind(effects, kind):
    return [effect for effect in effects if isinstance(effect, kind)]


@when("hays sends five times the rate of russell and colby, above the capacity")
def overload_with_one_workspace(context):
    dispatcher = context.dispatcher
    context.served = {"hays": 0, "russell": 0, "colby": 0}
    workspace_by_ticket, ends = {}, []
    number = 0
    for step in range(4000):
        now = step / 100
        effects = []
        for workspace, every in (("hays", 1), ("russell", 5), ("colby", 5)):
            if step % every == 0:
                number += 1
                name = f"t{number}"
                workspace_by_ticket[name] = workspace
                deadline = now + 100.0
                asked = ticket(name, workspace, deadline=deadline)
                effects += dispatcher.submit(asked, now)
        while ends and ends[0][0] <= now:
            done = ends.pop(0)[1]
            effects += dispatcher.release(done, RunOutcome.DONE, now)
        for effect in of_kind(effects, Granted):
            ends.append((now + 0.64, effect.ticket_id))
            context.served[workspace_by_ticket[effect.ticket_id]] += 1


@then("each workspace got at least 0.9 of its fair share")
def check_shares(context):
    total = sum(context.served.values())
    share = min(total / 3, 800)
    worst = min(context.served["russell"], context.served["colby"]) / share
    assert worst >= 0.9, context.served


@when("a ticket that excludes both endpoints is submitted")
def submit_excluded(context):
    excluded = frozenset(context.names)
    asked = ticket("t1", excluded=excluded)
    context.effects = context.dispatcher.submit(asked, 0.0)


@then("it is rejected immediately with a retry time")
def check_rejected(context):
    (effect,) = context.effects
    assert isinstance(effect, Rejected) and effect.refusal.retry_after, effect


@when("batch fills all slots and {count:d} online requests come")
def burst(context, count):
    dispatcher = context.dispatcher
    for number in range(20):
        asked = ticket(f"b{number}", priority=Priority.PAYING_BATCH)
        dispatcher.submit(asked, number / 100)
    context.effects = []
    for number in range(count):
        context.effects += dispatcher.submit(ticket(f"o{number}"), 1.0)


@then("the only effects are the preemptions of the {count:d} latest batch tickets")
def check_preempted(context, count):
    expected = [Preempted(f"b{15 - number}") for number in range(count)]
    assert context.effects == expected, context.effects


@given("a second node whose batch fills all slots")
def make_full_peer(context):
    first = context.dispatcher
    make_dispatcher(context, 2, 8)
    context.second, context.dispatcher = context.dispatcher, first
    for number in range(20):
        asked = ticket(f"b{number}", priority=Priority.PAYING_BATCH)
        context.second.submit(asked, 0.0)
    first.observe_peers(context.second.in_flight_by_endpoint(), 1.0)


@when("{count:d} online requests come to the first node")
def burst_at_first(context, count):
    context.granted = []
    pending = []
    for number in range(count):
        now = 1.0 + number * 0.2
        pending += context.dispatcher.submit(ticket(f"o{number}"), now)
        while pending:
            effect = pending.pop(0)
            match effect:
                case Granted():
                    context.granted.append(effect)
                case YieldWanted(target=target, count=missing):
                    _, slots = context.second.yield_batch(target, missing, now)
                    pending += context.dispatcher.peers_yielded(target, slots, now)


@then("the second node yields slots and {count:d} requests are granted")
def check_peer_yield(context, count):
    assert len(context.granted) == count, context.granted


@when("requests take 2 seconds and 10 are submitted with a deadline in 5 seconds")
def submit_beyond_capacity(context):
    dispatcher = context.dispatcher
    now = 0.0
    for number in range(6):
        dispatcher.submit(ticket(f"s{number}"), now)
        now += 2.0
        dispatcher.release(f"s{number}", RunOutcome.DONE, now)
    context.effects = []
    for number in range(10):
        asked = ticket(f"t{number}", deadline=now + 5.0)
        context.effects += dispatcher.submit(asked, now)


@then("those that would miss it are refused with a retry time")
def check_refused(context):
    rejected = of_kind(context.effects, Rejected)
    assert len(rejected) == 6, context.effects
    assert all(effect.refusal.retry_after >= 5.0 for effect in rejected), rejected


@when("one endpoint can't be reached and requests keep arriving")
def eject(context):
    dispatcher = context.dispatcher
    effects = dispatcher.submit(ticket("t0"), 0.0)
    context.bad = effects[0].endpoint_id
    effects = dispatcher.release("t0", RunOutcome.UNREACHABLE, 0.0)
    context.seen = []
    context.numbers = iter(range(1, 1000))
    context.on_bad = set()
    now = 0.0
    for _ in range(100):
        now += 0.1
        effects = dispatcher.tick(now)
        for name in list(context.on_bad):
            context.on_bad.discard(name)
            effects += dispatcher.release(name, RunOutcome.DONE, now)
        for _ in range(4):
            asked = ticket(f"t{next(context.numbers)}", deadline=now + 60)
            effects += dispatcher.submit(asked, now)
        granted = [e for e in of_kind(effects, Granted) if e.endpoint_id == context.bad]
        context.on_bad.update(effect.ticket_id for effect in granted)
        context.seen.append(len(granted))


@then("it gets one request first, and twice as many after each successful round")
def check_readmission(context):
    assert context.seen[:7] == [0] * 7, context.seen
    used = [count for count in context.seen if count]
    assert used[:4] == [1, 2, 4, 8], context.seen


@when("one endpoint could not be reached and single requests follow")
def eject_once(context):
    dispatcher = context.dispatcher
    (effect,) = dispatcher.submit(ticket("t0"), 0.0)
    dispatcher.release("t0", RunOutcome.UNREACHABLE, 0.0)
    dispatcher.observe_peers({name: (2, 0) for name in context.names}, 0.0)
    context.bad = effect.endpoint_id
    context.used = []
    for step in range(1, 21):
        now = step / 10
        dispatcher.tick(now)
        (effect,) = dispatcher.submit(ticket(f"t{step}"), now)
        context.used.append(effect.endpoint_id)
        dispatcher.release(f"t{step}", RunOutcome.DONE, now)


@then("a request runs on it within 2 seconds")
def check_readmitted(context):
    assert context.bad in context.used, context.used
