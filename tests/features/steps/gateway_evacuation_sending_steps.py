"""Steps for the checks of requests right before they are sent, and for two releases."""

import itertools
import socket
import threading
from types import SimpleNamespace

from behave import given, then, when
from emulator import RunnerPlan
from emulator.release import ReleaseSources
from gateway_calls import start
from gateway_evacuation_decision_steps import SERVICE
from gateway_evacuation_steps import SETTINGS, check_known
from sequoiaglade_gateway.access_messages import FindEndpoint
from sequoiaglade_gateway.evacuation_messages import IsEvacuated
from sequoiaglade_gateway.evacuations import PlacedAttempt
from sequoiaglade_gateway.forwarding import Forwarder
from sequoiaglade_gateway.messages import InFlightRequest, PlaceRequest, SchedulerQuery
from sequoiaglade_gateway.placing import Placer

from sequoiaglade_decisions.gateway import Endpoint, Placed
from sequoiaglade_protocol import fleet_pb2

RECEIVE_SECONDS = 0.3


def _ignore(*args, **options):
    return None


def _parts(ask, **fields):
    return SimpleNamespace(
        settings=SimpleNamespace(evacuations=True),
        coordinator=SimpleNamespace(ask=ask, tell=_ignore),
        metrics=SimpleNamespace(count=_ignore),
        **fields,
    )


@given('a request that is placed in "{domain}" and sent {seconds:g} seconds later')
def given_attempt(context, domain, seconds):
    context.evacuated = set()
    context.domain = domain
    times = itertools.chain([0.0], itertools.repeat(seconds))
    parts = _parts(lambda message: message.failure_domain in context.evacuated)
    context.attempt = PlacedAttempt(parts, "request-1", frozenset, lambda: next(times))
    endpoint = Endpoint("e-1", SERVICE, "10.0.0.1:80", domain, 8)
    context.attempt.note_placed(endpoint, next(times), 1)


@when("the domain is {state} meanwhile")
def change_domain(context, state):
    if state == "evacuated":
        context.evacuated.add(context.domain)


@then("its attempt is {outcome}")
def check_attempt(context, outcome):
    assert context.attempt.may_send() == (outcome == "sent")
    assert context.attempt.is_aborted == (outcome == "withheld")


@given('a gateway that is asked to send a request to an endpoint in "{domain}"')
def given_forwarder(context, domain):
    listener = context.stack.enter_context(socket.create_server(("127.0.0.1", 0)))
    listener.settimeout(RECEIVE_SECONDS)
    port = listener.getsockname()[1]
    context.endpoint = Endpoint("e-1", SERVICE, f"127.0.0.1:{port}", domain, 8)
    context.received = []

    def accept():
        try:
            sock, _ = listener.accept()
        except TimeoutError:
            return
        with sock:
            context.received.append(sock.recv(100))

    context.acceptor = threading.Thread(target=accept)
    context.acceptor.start()


@when("it learns of the evacuation {case}")
def forward(context, case):
    def ask(message):
        match message:
            case FindEndpoint():
                is_evacuated = case == "before"
                return context.endpoint._replace(is_evacuated=is_evacuated)
            case IsEvacuated():
                return case == "while it connects"

    parts = _parts(
        ask,
        store_cache=SimpleNamespace(lacks_evacuations=case == "after its start"),
        paths=SimpleNamespace(note_connected=_ignore, note_failed=_ignore),
    )
    request = fleet_pb2.ForwardRequest(
        endpoint_id="e-1", data=b"POST / HTTP/1.1\r\n\r\n", timeout_ms=500
    )
    call = SimpleNamespace(add_callback=lambda callback: True)
    context.replies = list(Forwarder(parts).forward(request, call))


@then("the endpoint gets nothing, and the peer may send the request elsewhere")
def check_not_forwarded(context):
    context.acceptor.join()
    assert context.received in ([], [b""]), context.received
    (reply,) = context.replies
    assert reply.end.kind == fleet_pb2.ForwardEnd.NOT_FORWARDED, reply


@when('a scheduler that knows no evacuation places a request, first in "{domain}"')
def place_by_scheduler(context, domain):
    context.asked = []
    coordinator = context.coordinator

    def schedule(address, query, place):
        context.asked.append(place.excluded)
        ids = [e.endpoint_id for e in context.endpoints]
        return Placed(next(i for i in ids if i not in place.excluded))

    def ask(message):
        if type(message).__name__ == "FindSchedulers":
            report = SimpleNamespace(node_id="n-0")
            candidates = [("n-1", "10.0.1.1:7000")]
            return SchedulerQuery(candidates, 0, 1, report, frozenset())
        return coordinator.on_receive(message)

    placer = Placer(_parts(ask), SimpleNamespace(schedule=schedule))
    context.placed = placer.place(PlaceRequest(SERVICE, "spread"))


@then(
    'the request runs in "{used}" after {count:d} questions, without all endpoints in '
    '"{domain}"'
)
def check_asked(context, used, count, domain):
    assert isinstance(context.placed, InFlightRequest), context.placed
    assert context.placed.endpoint.failure_domain == used, context.placed
    evacuated = {e.endpoint_id for e in context.endpoints if e.failure_domain == domain}
    assert context.asked == [frozenset(), evacuated], context.asked
    assert len(context.asked) == count


@given(
    "{old:d} gateways of the release in production beside {new:d} of this one with "
    "evacuations"
)
def given_releases(context, old, new):
    production = context.stack.enter_context(ReleaseSources())
    sources = dict.fromkeys(range(old), production)
    start(
        context,
        old + new,
        [RunnerPlan()],
        settings=SETTINGS,
        sources_by_node=sources,
    )
    context.lost = set()
    context.new_numbers = range(old, old + new)


@then(
    "the gateways of this release know within {seconds:d} second that "
    '"{domains}" is evacuated'
)
def check_new_know(context, seconds, domains):
    check_known(context, seconds, domains, context.new_numbers)
