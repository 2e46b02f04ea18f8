"""Steps that play requests with a part that crashes endpoints, in simulated time."""

import itertools
import random
from types import SimpleNamespace

from behave import given, then, when
from parts_simulation import (
    CALM_SECONDS,
    KNOWN_SECONDS,
    Parts,
    Request,
    Simulation,
    WholeRequests,
)

# Sound load before the first culprit, and after the last one.
WARM_SECONDS = 10.0
COOL_SECONDS = 15.0
SOUND_RATE_PER_ENDPOINT = 6.0
FIRST_PARTS = ("first0", "first1")
COMMON_PARTS = tuple(f"middle{n}" for n in range(6))
RARE_PARTS = tuple(f"rare{n}" for n in range(40))
RARE_PROBABILITY = 0.05
LATE_MAX = 3
BEGUN_RATIO_MIN = 0.5


class _Callers:
    """Makes requests; no two are alike."""

    def __init__(self, seed, culprits, position, events_max=0, events_before=0):
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._culprits = culprits
        self._position = position
        self._events_max = events_max
        self._events_before = events_before

    def sound(self):
        parts = [self._random.choice(FIRST_PARTS), self._middle()]
        return Request(f"r{next(self._numbers)}", tuple(parts), None)

    def culprit(self):
        culprit = self._random.choice(self._culprits)
        parts = [FIRST_PARTS[0], self._middle()]
        parts.insert(self._position, culprit)
        name = f"r{next(self._numbers)}"
        events = (self._events_max, self._events_before)
        return Request(name, tuple(parts), culprit, *events)

    def _middle(self):
        is_rare = self._random.random() < RARE_PROBABILITY
        return self._random.choice(RARE_PARTS if is_rare else COMMON_PARTS)


@given("a simulated fleet of {nodes:d} nodes and {endpoints:d} endpoints")
def _(context, nodes, endpoints):
    context.plan = SimpleNamespace(
        nodes=nodes,
        endpoints=endpoints,
        culprits=[],
        position=1,
        rate=0.0,
        seconds=40.0,
        events_max=0,
        events_before=0,
        restart_at=None,
        disruptions=[],
        decisions=Parts,
    )


@given("nodes that blame whole requests")
def _(context):
    context.plan.decisions = WholeRequests


@given("{count:d} culprit parts at position {position:d} of {rate:g} requests a second")
def _(context, count, position, rate):
    context.plan.culprits = [f"culprit{n}" for n in range(count)]
    context.plan.position = position
    context.plan.rate = rate


@given("culprits for {seconds:g} seconds")
def _(context, seconds):
    context.plan.seconds = seconds


@given(
    "{fraction:g} of the endpoints crash for another cause after {seconds:g} seconds"
)
def _(context, fraction, seconds):
    def disrupt(simulation):
        for endpoint in simulation.endpoints[
            : round(fraction * len(simulation.endpoints))
        ]:
            simulation.after(WARM_SECONDS + seconds, simulation.crash, endpoint)

    context.plan.disruptions.append(disrupt)


@given("all endpoints crash every {period:g} seconds for another cause")
def _(context, period):
    def disrupt(simulation):
        at = WARM_SECONDS
        while at < WARM_SECONDS + context.plan.seconds:
            for endpoint in simulation.endpoints:
                simulation.after(at, simulation.crash, endpoint)
            at += period

    context.plan.disruptions.append(disrupt)


@given("the endpoints are replaced one after the other")
def _(context):
    def disrupt(simulation):
        for number, endpoint in enumerate(simulation.endpoints):
            simulation.after(WARM_SECONDS + number, simulation.crash, endpoint)

    context.plan.disruptions.append(disrupt)


@given("endpoints that crash after up to {count:d} events of such a request")
def _(context, count):
    context.plan.events_max = count


@given("endpoints that crash after {count:d} events of such a request")
def _(context, count):
    context.plan.events_before = count


@given("streams of {least:g} to {most:g} seconds")
def _(context, least, most):
    def disrupt(simulation):
        simulation.stream_seconds = (least, most)

    context.plan.disruptions.append(disrupt)


@given("all endpoints cut their responses for {seconds:g} seconds and stay up")
def _(context, seconds):
    def disrupt(simulation):
        for endpoint in simulation.endpoints:
            endpoint.cuts_from = WARM_SECONDS
            endpoint.cuts_until = WARM_SECONDS + seconds

    context.plan.disruptions.append(disrupt)


@given("half of the nodes start {seconds:g} seconds after the first culprit")
def _(context, seconds):
    def disrupt(simulation):
        for node in simulation.nodes[::2]:
            node.is_live = False
            simulation.after(WARM_SECONDS + seconds, simulation.restart, node)

    context.plan.disruptions.append(disrupt)


@given("a third of the nodes reach no others for {seconds:g} seconds")
def _(context, seconds):
    def disrupt(simulation):
        group = frozenset(simulation.nodes[::3])
        simulation.after(WARM_SECONDS + 1.0, simulation.separate, group)
        simulation.after(WARM_SECONDS + 1.0 + seconds, simulation.separate, frozenset())

    context.plan.disruptions.append(disrupt)


@given("all nodes restart {seconds:g} seconds after the first culprit")
def _(context, seconds):
    at = context.plan.restart_at = WARM_SECONDS + seconds

    def disrupt(simulation):
        for node in simulation.nodes:
            simulation.after(at, simulation.restart, node)

    context.plan.disruptions.append(disrupt)


@when("{count:d} seeds are played")
def _(context, count):
    plan = context.plan
    context.plays = {seed: _play(plan, seed) for seed in range(count)}


def _play(plan, seed):
    simulation = Simulation(seed, plan.nodes, plan.endpoints, plan.decisions)
    events = (plan.events_max, plan.events_before)
    callers = _Callers(seed, plan.culprits, plan.position, *events)
    end_at = WARM_SECONDS + plan.seconds
    sound_rate = SOUND_RATE_PER_ENDPOINT * plan.endpoints
    simulation.load(sound_rate, end_at + COOL_SECONDS, callers.sound)
    if plan.culprits:
        simulation.load(plan.rate, plan.seconds, callers.culprit, WARM_SECONDS)
    for disrupt in plan.disruptions:
        disrupt(simulation)
    simulation.run(end_at + COOL_SECONDS + 5.0)
    return simulation


@then("at most three requests with each culprit are sent after it must be known")
def _(context):
    late = _late_counts(context)
    assert all(count <= LATE_MAX for count in late.values()), late


# Nodes that started less than this before are not in touch.
@then(
    "at most three are sent after it must be known, not counting 3 s from the restart"
)
def _(context):
    restart_at = context.plan.restart_at
    late = {
        (seed, culprit): sum(
            not restart_at <= at <= restart_at + KNOWN_SECONDS
            for at in play.late_times(culprit)
        )
        for seed, play in context.plays.items()
        for culprit in context.plan.culprits
    }
    assert all(count <= LATE_MAX for count in late.values()), late


@then("more than three requests with a culprit are sent after it must be known")
def _(context):
    assert any(count > LATE_MAX for count in _late_counts(context).values())


def _late_counts(context):
    return {
        (seed, culprit): play.late_count(culprit)
        for seed, play in context.plays.items()
        for culprit in context.plan.culprits
        if play.crashed_at[culprit]
    }


@then("sound requests with the same first part begin at least half as often as before")
def _(context):
    for seed, play in context.plays.items():
        since = WARM_SECONDS + CALM_SECONDS
        for culprit in context.plan.culprits:
            since = max(since, play.reference_at(culprit) + CALM_SECONDS)
        share, count = _begun(play, since, WARM_SECONDS + context.plan.seconds)
        usual, usual_count = _begun(play, 0.0, WARM_SECONDS)
        assert min(count, usual_count) >= 20, (seed, count, usual_count)
        assert share >= BEGUN_RATIO_MIN * usual, (seed, share, usual)


def _begun(play, since, until):
    return play.begun_share(since, until, lambda parts: FIRST_PARTS[0] in parts)


@then("at most {percent:g} % of the sound requests are refused for a part")
def _(context, percent):
    shares = {
        seed: 100 * play.refused_share(0.0, play.now)
        for seed, play in context.plays.items()
    }
    assert all(share <= percent for share in shares.values()), shares
