"""Steps for grant requests over a link that fails for a while."""

import time

from behave import given, then, when

from sequoiaglade_decisions.limits import GrantRequest, PoolGrant
from sequoiaglade_node.calls import PeerServer
from sequoiaglade_node.peers.limits import LimitsPeers, LimitsServicer
from sequoiaglade_protocol import limits_pb2_grpc
from sequoiaglade_standins.ports import PortBlock
from sequoiaglade_standins.relay import Refuse, Relay

REQUEST_INTERVAL_SECONDS = 0.1
REQUEST = GrantRequest("node-a", "hays", 1)


@given("a pool node behind a link")
def start_pool(context):
    (port,) = context.stack.enter_context(PortBlock()).take(1)
    address = f"127.0.0.1:{port}"
    servicer = LimitsServicer(None, lambda request: PoolGrant(1, 1, 0.0))
    service = (limits_pb2_grpc.add_LimitsServicer_to_server, servicer)
    context.stack.enter_context(PeerServer(address, [service]))
    relay = context.stack.enter_context(Relay())
    context.link = relay.link()
    context.address = relay.listen(context.link, address)
    context.peers = context.stack.enter_context(LimitsPeers())
    await_grant(context, 3.0)


def await_grant(context, seconds):
    deadline = time.monotonic() + seconds
    while context.peers.ask(context.address, REQUEST) is None:
        assert time.monotonic() < deadline, f"no grant within {seconds} s"
        time.sleep(REQUEST_INTERVAL_SECONDS)


@when("the link refuses connections for {seconds:d} s while a peer requests grants")
def refuse_connections(context, seconds):
    context.link.inject_fault(Refuse())
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        assert context.peers.ask(context.address, REQUEST) is None
        time.sleep(REQUEST_INTERVAL_SECONDS)
    context.link.heal()


@then("a grant arrives within {seconds:d} s after the link works again")
def check_grant(context, seconds):
    await_grant(context, seconds)
