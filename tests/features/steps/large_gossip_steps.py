"""Steps for the gossip of large fleets, by simulation."""

import contextlib
import heapq
import random
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from sequoiaglade_gateway.peers import codec
from waiting_token_steps import given_limit

from sequoiaglade_decisions.gateway import choose_targets

FANOUT = 2
RELAY_SECONDS = 1.0
# States are complete this long after a fleet's start.
WARM_UP_SECONDS = 10.0
SAMPLE_SECONDS = 0.5


class _Fleet:
    """Nodes that exchange the times at which the states that they know were made."""

    def __init__(self, count, domain_count, seed=1):
        self.random = random.Random(seed)
        self.nodes = [
            SimpleNamespace(
                node_id=number,
                failure_domain=f"d{number % domain_count}",
                made_at=[0.0] * count,
                arrived_at=[-RELAY_SECONDS] * count,
                acknowledged_at={},
            )
            for number in range(count)
        ]
        self.oldest = 0.0
        self.remote_count = 0

    def play(self, seconds):
        due = [(self.random.random(), node.node_id) for node in self.nodes]
        heapq.heapify(due)
        sample_at = WARM_UP_SECONDS
        while (now := due[0][0]) < seconds:
            if now >= sample_at:
                sample_at += SAMPLE_SECONDS
                self.oldest = max(self.oldest, now - min(map(_oldest, self.nodes)))
            number = heapq.heappop(due)[1]
            self._run_round(self.nodes[number], now)
            interval = 0.8 + 0.4 * self.random.random()
            heapq.heappush(due, (now + interval, number))

    def _run_round(self, node, now):
        live = [other for other in self.nodes if other is not node]
        acknowledged_at = node.acknowledged_at
        targets = choose_targets(
            live,
            node.failure_domain,
            FANOUT,
            lambda i: acknowledged_at.get(i, 0.0),
            self.random,
        )
        node.made_at[node.node_id] = now
        for target in targets:
            acknowledged_at[target.node_id] = now
            self.remote_count += target.failure_domain != node.failure_domain
            for sender, receiver in ((node, target), (target, node)):
                self._send(sender, receiver, now)

    def _send(self, sender, receiver, now):
        for number, made_at in enumerate(sender.made_at):
            is_own = number == sender.node_id
            if is_own or now - sender.arrived_at[number] <= RELAY_SECONDS:
                if made_at > receiver.made_at[number]:
                    receiver.made_at[number] = made_at
                    receiver.arrived_at[number] = now


def _oldest(node):
    return min(at for i, at in enumerate(node.made_at) if i != node.node_id)


@given("a simulated fleet of {nodes:d} nodes in {domains:d} failure domains")
def given_fleet(context, nodes, domains):
    context.gossip_fleet = _Fleet(nodes, domains)


@when("they exchange states for {seconds:d} seconds")
def exchange(context, seconds):
    context.seconds = seconds
    context.gossip_fleet.play(seconds)


@then("each node's states are at most {seconds:g} seconds old at all others")
def check_oldest(context, seconds):
    assert context.gossip_fleet.oldest <= seconds, context.gossip_fleet.oldest


@then("a node begins at most {most:g} exchanges a second with other domains")
def check_remote(context, most):
    fleet = context.gossip_fleet
    rate = fleet.remote_count / len(fleet.nodes) / context.seconds
    assert rate <= most, rate


@when("gossip goes on for {seconds:d} seconds, with a round each second")
def count_messages(context, seconds):
    simulation = context.simulation
    context.seconds = seconds
    with contextlib.ExitStack() as stack:
        messages = mock.Mock(wraps=codec.fleet_pb2)
        messages.FleetNode = mock.Mock(wraps=codec.fleet_pb2.FleetNode)
        stack.enter_context(mock.patch.object(codec, "fleet_pb2", messages))
        states = mock.Mock(wraps=codec.NodeState)
        stack.enter_context(mock.patch.object(codec, "NodeState", states))
        simulation.run(float(seconds), 1.0)
    context.encoded_count = messages.FleetNode.call_count
    context.decoded_count = states.call_count


@then(
    "a gateway decodes at most {decoded:g} and encodes at most {encoded:g} states a "
    "second of each of them"
)
def check_counts(context, decoded, encoded):
    count = len(context.simulation.gateway_by_name)
    total = count * count * context.seconds
    rates = context.decoded_count / total, context.encoded_count / total
    assert rates[0] <= decoded and rates[1] <= encoded, rates


@given("{count:d} gateways of which {other:d} are in another failure domain")
def given_domains(context, count, other):
    names = [f"g{number:02}" for number in range(count)]
    context.other_names = names[-other:]
    given_limit(context, ", ".join(names), {n: "other" for n in context.other_names})


@when("that domain is cut off from the others for {seconds:d} seconds")
def cut_domain(context, seconds):
    simulation = context.simulation
    names = set(simulation.gateway_by_name) - set(context.other_names)
    for name in context.other_names:
        simulation.cut(name, names)
    context.isolated_seconds = {}
    for second in range(1, seconds + 1):
        simulation.run(1.0, 1.0)
        for name in context.other_names:
            if _contact_since(context, name) is None:
                context.isolated_seconds.setdefault(name, second)
            else:
                context.isolated_seconds.pop(name, None)
    for name in context.other_names:
        simulation.heal(name, names)
    context.healed_at = simulation.now


def _contact_since(context, name):
    return context.simulation.gateway_by_name[name].gossip.contact_since()


@then(
    "for its gateways others may have adopted jobs from {seconds:d} seconds after the "
    "cut on"
)
def check_isolated(context, seconds):
    late = [context.isolated_seconds.get(n, 99) for n in context.other_names]
    assert max(late) <= seconds, late


@then("their contact has lasted since the cut ended")
def check_contact(context):
    since = [_contact_since(context, name) for name in context.other_names]
    assert all(at is not None and at >= context.healed_at for at in since), since
