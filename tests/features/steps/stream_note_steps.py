"""Steps for notes of streams that are sent while a connection is restored."""

import contextlib
import threading
import time
from types import SimpleNamespace

from behave import given, then, when
from emulator.fleet import wait_until
from sequoiaglade_gateway.online import StreamDirectory
from sequoiaglade_gateway.peers import FleetServicer, PeerClient, start_peer_server
from sequoiaglade_gateway.version_messages import StreamAnswer, VersionsRecalled
from sequoiaglade_gateway.versions import FleetVersions

from sequoiaglade_decisions.gateway import Endpoint, EndpointDirectory, NodeState
from sequoiaglade_protocol import fleet_pb2
from sequoiaglade_standins.ports import PortBlock
from sequoiaglade_standins.relay import Relay

GOSSIP_SECONDS = 0.2
CALL_SECONDS = 0.4
NOTED = ("request-1", "v1")


class _Gossip:
    """Answers every digest by an empty one."""

    def make_digest(self, request=None):
        return fleet_pb2.FleetDigest()

    def receive_digest(self, digest):
        """Ignore the digest."""


class _Peer:
    """A peer server behind a link that can be stopped and started again."""

    def __init__(self, stack):
        (port,) = stack.enter_context(PortBlock()).take(1)
        self._address = f"127.0.0.1:{port}"
        self._stack = stack
        self._server_stack = None
        self.streams = StreamDirectory(SimpleNamespace(), None, None)
        self.start()
        relay = stack.enter_context(Relay())
        self.link = relay.link()
        self.address = relay.listen(self.link, self._address)

    def start(self):
        self._server_stack = self._stack.enter_context(contextlib.ExitStack())
        parts = [None] * 5
        servicer = FleetServicer(_Gossip(), *parts, self.streams, None, None)
        start_peer_server(self._server_stack, self._address, servicer)

    def stop(self):
        self._server_stack.close()


@given("a peer whose calls succeed")
def given_peer(context):
    context.peer = _Peer(context.stack)
    context.client = context.stack.enter_context(PeerClient())
    wait_until(lambda: _gossip(context), 5.0, "a call succeeds")


def _gossip(context):
    digest = fleet_pb2.FleetDigest()
    return context.client.gossip(context.peer.address, digest, CALL_SECONDS)


def _go_on_with_gossip(context):
    stopped = threading.Event()

    def run():
        while not stopped.wait(GOSSIP_SECONDS):
            _gossip(context)

    thread = threading.Thread(target=run)
    thread.start()
    context.stack.callback(thread.join)
    context.stack.callback(stopped.set)


@when(
    "the peer stops, a note of a stream is sent, and the peer starts {seconds:g} "
    "seconds later"
)
def restart(context, seconds):
    context.peer.stop()
    wait_until(lambda: _gossip(context) is None, 5.0, "a call fails")
    _go_on_with_gossip(context)
    context.client.note_stream(context.peer.address, *NOTED)
    time.sleep(seconds)
    context.peer.start()


@when("its open connections fall silent, and a note of a stream is sent")
def silence(context):
    context.peer.link.silence_open_connections()
    _go_on_with_gossip(context)
    context.client.note_stream(context.peer.address, *NOTED)


@then("within {seconds:d} seconds the peer knows the stream's version")
def check_known(context, seconds):
    request_id, version = NOTED
    known = lambda: context.peer.streams.known_version(request_id) == version  # noqa: E731
    wait_until(known, seconds, "the peer knows the version")


@given('a gateway that listed versions "{before}" and lists "{now}" now')
def given_left(context, before, now):
    context.now = 0.0
    directory = context.directory = EndpointDirectory()
    endpoints = [
        Endpoint(version, "service", "", "", 8, version=version)
        for version in before.split(", ")
    ]
    directory.replace(endpoints, context.now)
    directory.replace([e for e in endpoints if e.version == now], context.now)
    context.noted_ids = []
    context.answer = None
    context.lost_notes = 0

    def note_stream(address, request_id, version, on_lost):
        if context.lost_notes:
            context.lost_notes -= 1
            on_lost()
        else:
            context.noted_ids.append(request_id)

    client = SimpleNamespace(
        find_stream=lambda addresses, request_id, service: context.answer,
        note_stream=note_stream,
    )
    context.peer_state = NodeState("peer-1", 1, 1, peer_address="peer:1")
    versions = FleetVersions(
        lambda: NodeState("node-0", 1, 1),
        directory,
        SimpleNamespace(live=lambda now: [context.peer_state], is_large=False),
    )
    versions.handle(VersionsRecalled({}), context.now)
    ask = lambda message: versions.handle(message, context.now)  # noqa: E731
    parts = SimpleNamespace(coordinator=SimpleNamespace(ask=ask))
    read_versions = lambda service: context.store_versions  # noqa: E731
    context.store_versions = {now}
    context.streams = StreamDirectory(parts, client, read_versions, lambda: context.now)


@when('a stream begins there, {event}, and "{version}" is listed as well')
def begin_before_release(context, event, version):
    context.streams.note("early", "service", "v1", "early")
    match event:
        case "it breaks":
            context.streams.end("early", is_complete=False)
        case "it ends":
            context.streams.end("early", is_complete=True)
        case "it goes on":
            pass
        case "a peer loses the first note":
            context.lost_notes = 1
    assert not context.noted_ids, context.noted_ids
    context.directory.replace(
        [
            Endpoint(name, "service", "", "", 8, version=name)
            for name in ("v1", version)
        ],
        context.now,
    )


@when("it looks for peers to tell, {seconds:g} seconds later")
def tell_peers(context, seconds):
    context.now += seconds
    context.streams.tell_peers()


@when("the peer has started again")
def restart_peer(context):
    context.peer_state = context.peer_state._replace(incarnation=2)


@then("the peer has been told of the stream {count:d} times")
def check_told(context, count):
    assert context.noted_ids == ["early"] * count, context.noted_ids


@when("it can't read the list and no peer answers for {seconds:d} seconds")
def cut_off(context, seconds):
    context.directory.note_outage()
    context.store_versions = None
    context.now += seconds


@when('the store lists "{versions}", and no peer answers')
def list_others(context, versions):
    context.store_versions = set(versions.split(", "))


@when('the store lists "{versions}", and a peer answers that knows versions "{known}"')
def answer_with_versions(context, versions, known):
    context.answer = StreamAnswer(None, frozenset(known.split(", ")), True)


@when('the store lists "{versions}", and a peer answers that has just started')
def answer_from_start(context, versions):
    list_others(context, versions)
    context.answer = StreamAnswer(None, frozenset(["v1"]), False)


@then('it does not take an unknown stream up at "{version}"')
def check_not_joined(context, version):
    assert context.streams.find_version("unknown", "service") is None


@then('it does not take an unknown stream up at "{version}" {seconds:d} seconds later')
def check_not_taken_up_later(context, version, seconds):
    assert context.now == seconds
    assert context.streams.find_version("unknown", "service") != version


@then('it does not take an unknown stream up at "{version}" within {seconds:d} seconds')
def check_not_taken_up(context, version, seconds):
    for context.now in (0.1, float(seconds)):
        assert context.streams.find_version("unknown", "service") != version


@then("it tells peers of new streams for {seconds:d} seconds")
def check_noted(context, seconds):
    for context.now in (0.1, float(seconds)):
        request_id = f"request at {context.now}"
        context.streams.note(request_id, "service", "v2", request_id)
        assert context.noted_ids[-1] == request_id


@then('it takes an unknown stream up at "{version}" after {seconds:d} seconds')
def check_taken_up(context, version, seconds):
    context.now = float(seconds)
    assert context.streams.find_version("unknown", "service") == version
