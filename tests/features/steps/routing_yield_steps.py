"""Steps on preemption of batch tickets for online ones, in the dispatcher."""

from random import Random

from behave import given, then, when
from routing_steps import make_document, make_snapshot, of_kind, ticket

from sequoiaglade_decisions.routing import (
    Dispatcher,
    Granted,
    PayingBatchWaits,
    Preempted,
    Priority,
    RunOutcome,
    YieldWanted,
)

ALL_SLOTS = 16


def submit_batch(context, count, now=1.0, **options):
    effects = []
    for number in range(count):
        asked = ticket(f"b{number}", priority=Priority.PAYING_BATCH, **options)
        effects += context.dispatcher.submit(asked, now)
    context.granted = of_kind(effects, Granted)


def release(context, granted, outcome, now):
    found = context.dispatcher.release(granted.ticket_id, outcome, now)
    return of_kind(found, Granted)


@given(
    "peers that hold {first:d} slots of the first endpoint and {second:d} of the second"
)
def observe_held_slots(context, first, second):
    counts = {"writer-0": (0, first), "writer-1": (0, second)}
    context.dispatcher.observe_peers(counts, 0.0)


@given(
    "a dispatcher that hears of {count:d} batch slots at peers before its endpoint of"
    " {slots:d} slots"
)
def make_dispatcher_after_peers(context, count, slots):
    context.dispatcher = Dispatcher("yard-a", Random(3))
    context.dispatcher.observe_peers({"writer-0": (0, count)}, 0.0)
    snapshot = make_snapshot(1, make_document({"writer-0": slots}))
    context.dispatcher.configure(snapshot, 0.1)


@then("no batch ticket was granted, and {count:d} requests get the slots of peers")
def check_asked_to_yield(context, count):
    assert context.granted == []
    effects, now = context.effects, 100.0
    yielded_count = 0
    while asked := of_kind(effects, YieldWanted):
        yielded_count += asked[-1].count
        now += 0.5
        counts = {"writer-0": asked[-1].count}
        effects = context.dispatcher.peers_yielded("writer", counts, now)
        effects += context.dispatcher.tick(now)
    assert yielded_count == count, yielded_count
    assert context.dispatcher.in_flight_by_endpoint() == {"writer-0": (count, 0)}


@given("peers whose short requests hold {count:d} slots of the first endpoint")
def observe_short_requests(context, count):
    for number in range(10):
        context.dispatcher.submit(ticket(f"s{number}"), 0.0)
        context.dispatcher.release(f"s{number}", RunOutcome.DONE, 0.1)
    context.dispatcher.observe_peers({"writer-0": (0, count)}, 0.1)


@when("{batch:d} batch tickets and then {online:d} online request come")
def submit_both(context, batch, online):
    submit_batch(context, batch, now=100.0)
    context.effects = []
    for number in range(online):
        context.effects += context.dispatcher.submit(ticket(f"o{number}"), 100.0)


@then(
    "{count:d} batch tickets were granted,"
    " and the latest one is preempted for the request"
)
def check_yields(context, count):
    check_granted(context, count)
    assert context.effects == [Preempted(context.granted[-1].ticket_id)]
    granted = release(context, context.granted[-1], RunOutcome.PREEMPTED, 100.0)
    assert granted == [Granted("o0", context.granted[-1].endpoint_id)], granted


@then("{count:d} batch tickets were granted")
def check_granted(context, count):
    assert len(context.granted) == count, context.granted


@when("a peer asks for {asked:d} slots, and then {ended:d} batch tickets end")
def yield_to_peer(context, asked, ended):
    effects, slots = context.dispatcher.yield_batch("writer", asked, 100.0)
    preempted = [effect.ticket_id for effect in effects]
    assert len(preempted) == asked == sum(slots.values()), effects
    context.after = []
    for number, held in enumerate(reversed(context.granted[-ended:])):
        is_yielded = held.ticket_id in preempted
        outcome = RunOutcome.PREEMPTED if is_yielded else RunOutcome.DONE
        context.after += release(context, held, outcome, 100.0 + number / 100)


@then(
    "{first:d} waiting batch ticket is granted,"
    " and {second:d} more once the peer's requests end"
)
def check_regranted(context, first, second):
    assert len(context.after) == first, context.after
    effects = context.dispatcher.observe_peers({}, 101.0)
    assert len(of_kind(effects, Granted)) == second - 1, effects
    ended = release(context, context.granted[0], RunOutcome.DONE, 101.0)
    assert len(ended) == 1, ended


@when("a peer's paying batch waits and {count:d} trial batch tickets come")
def submit_beside_paying(context, count):
    peer = Dispatcher("yard-b", Random(4))
    peer.configure(context.snapshot, 0.0)
    for number in range(ALL_SLOTS + 1):
        peer.submit(ticket(f"p{number}", priority=Priority.PAYING_BATCH), 1.0)
    context.effects = context.dispatcher.observe_paying_batch(
        peer.paying_batch_targets(1.0), 1.0
    )
    for number in range(count):
        trial = ticket(f"t{number}", "trial-a", Priority.TRIAL_BATCH)
        context.effects += context.dispatcher.submit(trial, 1.0)


@then("no trial batch ticket is granted until the peer's paying batch has slots")
def check_held_back(context):
    assert not of_kind(context.effects, Granted), context.effects
    paying = ticket("b0", priority=Priority.PAYING_BATCH)
    effects = context.dispatcher.submit(paying, 2.0)
    assert [granted.ticket_id for granted in of_kind(effects, Granted)] == ["b0"]
    effects = context.dispatcher.observe_paying_batch([], 3.0)
    assert len(of_kind(effects, Granted)) == ALL_SLOTS - 1, effects


@then("the next tick tells the peers that paying batch waits, and later ones do not")
def check_told_once(context):
    first, *later = (context.dispatcher.tick(100.1 + step) for step in range(20))
    assert first == [PayingBatchWaits("writer")], first
    assert not any(of_kind(effects, PayingBatchWaits) for effects in later), later


@when("{count:d} batch tickets that may not be repeated and 1 online request come")
def submit_unrepeatable(context, count):
    submit_batch(context, count, preemptible=False)
    context.effects = context.dispatcher.submit(ticket("o0"), 1.0)


@then("none of them is preempted, and the peers are asked to yield")
def check_not_preempted(context):
    assert len(context.granted) == ALL_SLOTS, context.granted
    assert context.effects == [YieldWanted("writer", 1)], context.effects


@when("{count:d} online requests come and end within a second, and batch follows")
def burst_before_batch(context, count):
    for number in range(count):
        now = 1.0 + number / count
        context.dispatcher.submit(ticket(f"o{number}"), now)
        context.dispatcher.release(f"o{number}", RunOutcome.DONE, now)
    submit_batch(context, 20, now=2.0)


@then("batch leaves some slots free, and none {seconds:d} seconds later")
def check_headroom(context, seconds):
    assert ALL_SLOTS / 2 <= len(context.granted) < ALL_SLOTS, context.granted
    release(context, context.granted[0], RunOutcome.DONE, 2.0)
    effects = context.dispatcher.tick(2.0 + seconds)
    effects += context.dispatcher.observe_peers({}, 2.0 + seconds)
    held = context.dispatcher.in_flight_by_endpoint()
    assert sum(batch for _, batch in held.values()) == ALL_SLOTS, (held, effects)
