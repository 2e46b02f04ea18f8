"""Steps that check single rules by which prompt parts are blamed and cleared."""

from behave import given, then, when
from emulator.fleet import wait_until
from gateway_item_runner_steps import SERVICE as ITEM_SERVICE
from gateway_item_runner_steps import hold_job, start_item_runner
from sequoiaglade_gateway.coordinator import Coordinator
from sequoiaglade_gateway.messages import (
    BROKEN,
    BeginRequest,
    EndpointsListed,
    FindPartRefusal,
    PartsAnswered,
    PlaceRequest,
    Publish,
    RequestEnded,
)
from sequoiaglade_gateway.peers.codec import decode_state, encode_state
from sequoiaglade_gateway.settings import GatewaySettings, Listeners

from sequoiaglade_decisions.gateway import Endpoint, NodeState, PromptParts

SERVICE = "s"
LOWEST_NODE = "a"
ADDRESS = "127.0.0.1:1"


def _split(names):
    return tuple(names.split(", "))


def _gossip(context, now):
    """Exchange the nodes' records, as encoded in messages."""
    for node_id, node in context.nodes.items():
        crashes = tuple(node.crashes(now, is_relaying=node_id == LOWEST_NODE))
        sound = tuple(node.sound_parts(now))
        state = NodeState(node_id, 1, 1, part_crashes=crashes, sound_parts=sound)
        state = decode_state(encode_state(state))
        for peer in context.nodes.values():
            if peer is not node:
                peer.merge(state.part_crashes, state.sound_parts, now)


def _answer(context, parts, now, service=SERVICE):
    for node in context.nodes.values():
        node.note_answer(service, parts, now)


@given('nodes "{nodes}" that hear of a service\'s answer to "{parts}" at {now:g} s')
def hear_answer(context, nodes, parts, now):
    context.nodes = {node_id: PromptParts() for node_id in _split(nodes)}
    context.answered_at, context.answered = now, _split(parts)


@given('service "{service}" answered "{parts}" at {now:g} s')
def answer_elsewhere(context, service, parts, now):
    _answer(context, _split(parts), now, service)


@when(
    '{requests:d} requests with "{parts}" crash {endpoints:d} endpoints at node '
    '"{node}" from {since:g} s on'
)
def crash(context, requests, parts, endpoints, node, since):
    is_before = context.answered_at <= since
    if is_before:
        _answer(context, context.answered, context.answered_at)
    for n in range(max(requests, endpoints)):
        name, key = f"r{n % requests}", f"e-{n % endpoints}/0"
        now = since + n
        context.nodes[node].note_crash(SERVICE, _split(parts), name, key, now)
        _gossip(context, now)
    if not is_before:
        _answer(context, context.answered, context.answered_at)


@when(
    '{count:d} requests with "{parts}" crash as many endpoints after an event at node '
    '"{node}" from {since:g} s on'
)
def crash_after_event(context, count, parts, node, since):
    _answer(context, context.answered, context.answered_at)
    decisions = context.nodes[node]
    for n in range(count):
        now = since + n
        decisions.note_answer(SERVICE, _split(parts), now, is_complete=False)
        row = (SERVICE, _split(parts), f"r{n}", f"e-{n}/0", now)
        decisions.note_crash(*row, has_begun=True)
        _gossip(context, now)


@when('a request with "{parts}" has its first event at {now:g} s')
def begin_answer(context, parts, now):
    decisions = context.nodes["b"]
    decisions.note_answer(SERVICE, _split(parts), now, is_complete=False)
    _gossip(context, now)


@when('a request with "{parts}" is answered at {now:g} s')
def answer(context, parts, now):
    context.nodes["b"].note_answer(SERVICE, _split(parts), now)
    _gossip(context, now)


@when('node "{node}" is replaced by "{other}" at {now:g} s')
def replace_node(context, node, other, now):
    del context.nodes[node]
    context.nodes[other] = PromptParts()
    _gossip(context, now)


@when(
    "{count:d} requests with parts of their own crash {endpoints:d} endpoints at node "
    '"{node}" in {seconds:g} s'
)
def crash_many(context, count, endpoints, node, seconds):
    for n in range(count):
        parts = (f"p{n}", f"q{n}")
        now = 1.0 + n * seconds / count
        context.nodes[node].note_crash(SERVICE, parts, f"r{n}", f"e-{n}/0", now)
    context.now = 1.0 + seconds


@then('node "{node}" keeps at most {kept:d} crashes and gossips at most {gossiped:d}')
def check_bounds(context, node, kept, gossiped):
    parts = context.nodes[node]
    assert 0 < len(parts.crashes(context.now)) <= gossiped
    assert parts.crash_count <= kept, parts.crash_count


@then('requests with "{parts}" are refused from {now:g} s on at "{nodes}"')
def check_refused(context, parts, now, nodes):
    for node_id in _split(nodes):
        assert context.nodes[node_id].find_refusal(SERVICE, _split(parts), now), node_id


@then('requests with "{parts}" are not refused at {now:g} s at "{nodes}"')
def check_not_refused(context, parts, now, nodes):
    for node_id in _split(nodes):
        refusal = context.nodes[node_id].find_refusal(SERVICE, _split(parts), now)
        assert refusal is None, (node_id, refusal)


@then('streams with "{parts}" are {outcome} at {now:g} s when callers take them up')
def check_taken_up(context, parts, outcome, now):
    for node in context.nodes.values():
        refusal = node.find_refusal(SERVICE, _split(parts), now, has_begun=True)
        assert (refusal is not None) == (outcome == "refused"), refusal


@then('requests with "{parts}" to "{service}" are refused at {now:g} s')
def check_refused_at_service(context, parts, service, now):
    assert context.nodes["a"].find_refusal(service, _split(parts), now)


@then('requests with "{parts}" to "{service}" are not refused at {now:g} s')
def check_not_refused_at_service(context, parts, service, now):
    assert context.nodes["a"].find_refusal(service, _split(parts), now) is None


def _send_many(context, count, parts, since, until):
    """Return the nodes that sent a request, and when, of requests at all nodes."""
    step = (until - since) / count
    for n in range(count):
        now = since + n * step
        for node_id, node in context.nodes.items():
            may_try = node_id == LOWEST_NODE
            if node.find_refusal(SERVICE, _split(parts), now, may_try) is None:
                yield node_id, now


@then(
    '1 of {count:d} requests with "{parts}" from {since:g} s to {until:g} s is sent, '
    'by node "{node}"'
)
def check_one_sent(context, count, parts, since, until, node):
    sent = [node_id for node_id, _ in _send_many(context, count, parts, since, until)]
    assert sent == [node], sent


@then(
    '{sent:d} of {count:d} requests with "{parts}" from {since:g} s to {until:g} s are '
    "sent and crash endpoints"
)
def check_sent_and_crash(context, sent, count, parts, since, until):
    times = []
    for node_id, now in _send_many(context, count, parts, since, until):
        times.append(now)
        name, key = f"trial{len(times)}", f"trial-{len(times)}/0"
        context.nodes[node_id].note_crash(SERVICE, _split(parts), name, key, now)
        _gossip(context, now)
    assert len(times) == sent, times


@given("a coordinator with an endpoint")
def start_coordinator(context):
    listen = dict.fromkeys(Listeners.model_fields, ADDRESS)
    settings = GatewaySettings(
        node_id="n", failure_domain="d", listen=listen, store={"address": ADDRESS}
    )
    context.coordinator = Coordinator(settings, 1, clock=lambda: 100.0)


@when("{count:d} items crash starts of the endpoint")
def crash_items(context, count):
    coordinator = context.coordinator
    for n in range(count):
        endpoint = Endpoint("e", SERVICE, ADDRESS, "d", 4, born=n + 1)
        coordinator.on_receive(EndpointsListed([endpoint]))
        place = PlaceRequest(SERVICE, f"i{n}", is_batch=True)
        assert coordinator.on_receive(BeginRequest(place, "e")) is not None
        coordinator.on_receive(RequestEnded("e", True, BROKEN))


@then("the coordinator gossips no crash of a part")
def check_no_part_crash(context):
    published = context.coordinator.on_receive(Publish(0, 0, (), True))
    assert published.own.part_crashes == ()
    assert published.own.sound_parts == ()


def _is_suspected(context, part):
    message = FindPartRefusal(ITEM_SERVICE, (part,), is_broken=True)
    return context.coordinator.ask(message) is not None


@given(
    "an item runner at whose endpoint {count:d} online requests with the part "
    '"{part}" crashed'
)
def start_after_crashes(context, count, part):
    start_item_runner(context)
    coordinator = context.coordinator
    coordinator.ask(PartsAnswered(ITEM_SERVICE, ("5a",)))
    address = context.endpoint.address
    for n in range(count):
        endpoint = Endpoint("runner-0", ITEM_SERVICE, address, "d", 4, born=n + 1)
        coordinator.ask(EndpointsListed([endpoint]))
        place = PlaceRequest(ITEM_SERVICE, f"r{n}")
        assert coordinator.ask(BeginRequest(place, "runner-0")) is not None
        coordinator.ask(
            RequestEnded("runner-0", False, BROKEN, f"f{n}", ITEM_SERVICE, (part,))
        )
    assert _is_suspected(context, part)


@when('a job of {count:d} item with the prompt "{prompt}" is held')
def hold_with_prompt(context, count, prompt):
    headers = (("Prompt-Prefix", prompt),)
    context.held_job = hold_job(context, count, headers=headers)


@then('requests with the part "{part}" are not suspected')
def check_not_suspected(context, part):
    wait_until(lambda: not _is_suspected(context, part), 1.0, "the part is cleared")
