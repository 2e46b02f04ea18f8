"""Steps for breaks of responses at endpoints that stay up."""

import threading
import time

from behave import given, then, when
from emulator import RunnerPlan, UnframedResponse
from gateway_calls import start
from sequoiaglade_gateway.coordinator import Coordinator
from sequoiaglade_gateway.messages import (
    BROKEN,
    BeginRequest,
    EndpointAnswered,
    EndpointsListed,
    FindPartRefusal,
    IsQuarantined,
    PartsAnswered,
    PeerStatesReceived,
    PlaceRequest,
    Publish,
    RequestEnded,
)
from sequoiaglade_gateway.peers.codec import decode_state, encode_state
from sequoiaglade_gateway.settings import GatewaySettings, Listeners

from sequoiaglade_decisions.gateway import Endpoint

SERVICE = "s"
ADDRESS = "127.0.0.1:1"
FINGERPRINT = "f"
BROKE_AT = 100.0
RUNNERS = 3
PART, OTHER_PART = "rare", "other"
ENDPOINTS = 4
OTHERS_PAUSE_SECONDS = 0.05
# Longer than until a blamed part is refused.
OTHERS_SECONDS = 1.3


class _CutSome:
    """Cuts the responses to some paths; those to all others are sound."""

    def __init__(self, response):
        self.response = response

    def take(self, path):
        return self.response if "/cut-" in path else None


@given("1 gateway and 3 runners that reset some responses after the head")
def given_cutting(context):
    context.cuts = _CutSome(UnframedResponse("after the head", True, "text"))
    start(context, 1, [RunnerPlan(slots=64, unframed=context.cuts)] * RUNNERS)
    assert _send(context, "/safe/first", OTHER_PART).status == 200


def _send(context, path, part=PART):
    headers = [("Prompt-Prefix", f"{part}:200,{path.replace('/', '')}:90")]
    return context.gateways.send(path, 0, headers=headers)


@when('"{path}" is requested beside others')
def request_one(context, path):
    _request_beside_others(context, path)


def _request_beside_others(context, path):
    is_over = threading.Event()

    def send_others():
        number = 0
        while not is_over.wait(OTHERS_PAUSE_SECONDS):
            _send(context, f"/safe/{number}", OTHER_PART)
            number += 1

    others = threading.Thread(target=send_others)
    others.start()
    try:
        assert _send(context, path).status == 502
        time.sleep(OTHERS_SECONDS)
    finally:
        is_over.set()
        others.join()


@when("the runners cut no more")
def end_cuts(context):
    context.cuts.response = None


@then('a request for "{path}" has the status {status:d}')
def check_status(context, path, status):
    response = _send(context, path)
    assert response.status == status, (response.status, response.body)


def _start_coordinators(context):
    context.now = BROKE_AT
    listen = dict.fromkeys(Listeners.model_fields, ADDRESS)
    context.coordinators = []
    for node_id in ("a", "b"):
        settings = GatewaySettings(
            node_id=node_id,
            failure_domain="d",
            listen=listen,
            store={"address": ADDRESS},
        )
        coordinator = Coordinator(settings, 1, clock=lambda: context.now)
        endpoints = [
            Endpoint(f"e{n}", SERVICE, ADDRESS, "d", 4, born=5)
            for n in range(ENDPOINTS)
        ]
        coordinator.on_receive(EndpointsListed(endpoints))
        context.coordinators.append(coordinator)


def _break(context, endpoint_id, fingerprint, parts=()):
    first = context.coordinators[0]
    first.on_receive(BeginRequest(PlaceRequest(SERVICE, "r"), endpoint_id))
    ended = RequestEnded(endpoint_id, False, BROKEN, fingerprint, SERVICE, parts)
    first.on_receive(ended)


@given("nodes that hear of 2 breaks of a request at two endpoints")
def given_breaks(context):
    _start_coordinators(context)
    for n in range(2):
        _break(context, f"e{n}", FINGERPRINT)
    _gossip(context)
    assert _quarantined(context) == [True, True]


@given("nodes that hear of breaks of 3 requests with a part at three endpoints")
def given_part_breaks(context):
    _start_coordinators(context)
    for coordinator in context.coordinators:
        coordinator.on_receive(PartsAnswered(SERVICE, (OTHER_PART,)))
    for n in range(3):
        _break(context, f"e{n}", f"f{n}", (PART,))
    _gossip(context)
    assert all(_refusals(context, is_broken=True))


def _gossip(context):
    states = [c.on_receive(Publish(0, 0, (), True)).own for c in context.coordinators]
    states = [decode_state(encode_state(state)) for state in states]
    for coordinator, state in zip(context.coordinators, reversed(states), strict=True):
        coordinator.on_receive(PeerStatesReceived([state]))


def _quarantined(context):
    ask = IsQuarantined(FINGERPRINT)
    return [c.on_receive(ask) for c in context.coordinators]


@when(
    "an endpoint answers an attempt sent {seconds:g} s {order} the break, at one node"
)
def hear_answer(context, seconds, order):
    sent_at = BROKE_AT + {"after": seconds, "before": -seconds}[order]
    _answer(context, "e0", sent_at)


@when("one of them hears other endpoints answer")
def hear_others(context):
    for name in ("e2", "e3"):
        _answer(context, name, BROKE_AT + 0.3)


def _answer(context, endpoint_id, sent_at):
    context.now = max(BROKE_AT, sent_at) + 0.1
    # The peer finds it, and tells the node that saw the break.
    context.coordinators[1].on_receive(EndpointAnswered(endpoint_id, 5, sent_at))
    _gossip(context)


@then("the request is {state} at both nodes")
def check_state(context, state):
    is_quarantined = {"quarantined": True, "not quarantined": False}[state]
    assert _quarantined(context) == [is_quarantined] * 2


def _refusals(context, is_broken=False):
    ask = FindPartRefusal(SERVICE, (PART,), is_broken)
    return [c.on_receive(ask) for c in context.coordinators]


@when(
    "each of these endpoints answers an attempt sent {seconds:g} s after the break, at "
    "one node"
)
def hear_all(context, seconds):
    for n in range(3):
        _answer(context, f"e{n}", BROKE_AT + seconds)


@when(
    "one of these endpoints answers an attempt sent {seconds:g} s after the break, at "
    "one node"
)
def hear_late(context, seconds):
    _answer(context, "e0", BROKE_AT + seconds)


@then("requests with the part are {state} at both nodes")
def check_part(context, state):
    # A blamed part is refused a second later.
    context.now += 1.5
    is_refused = {"refused": True, "not refused": False}[state]
    found = [refusal is not None for refusal in _refusals(context)]
    assert found == [is_refused] * 2, found
