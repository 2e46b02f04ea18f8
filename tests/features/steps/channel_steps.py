"""Steps for the gRPC channels between nodes."""

import contextlib
import threading
import time

import grpc
from behave import given, then, when

from sequoiaglade_node.calls import PeerServer, open_channel
from sequoiaglade_standins.ports import PortBlock
from sequoiaglade_standins.relay import Relay

METHOD = "/sequoiaglade.v1.Fleet/Gossip"
CALL_SECONDS = 0.4


def add_echo(_, server):
    """Register a method that returns its request after the seconds that it names."""

    def echo(request, context):
        time.sleep(float(request))
        return request

    handler = grpc.unary_unary_rpc_method_handler(echo)
    _, service, method = METHOD.split("/")
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler(service, {method: handler}),)
    )


@given("a peer server behind a link, and a channel on which calls succeed")
def given_channel(context):
    (port,) = context.stack.enter_context(PortBlock()).take(1)
    address = f"127.0.0.1:{port}"
    context.stack.enter_context(PeerServer(address, [(add_echo, None)]))
    relay = context.stack.enter_context(Relay())
    context.link = relay.link()
    channel = open_channel(relay.listen(context.link, address))
    context.stack.callback(channel.close)
    context.call = channel.unary_unary(METHOD)
    assert context.call(b"0", timeout=5.0) == b"0"


@given("a channel on which calls fail for {seconds:g} seconds without a peer")
def given_unconnected_channel(context, seconds):
    (port,) = context.stack.enter_context(PortBlock()).take(1)
    context.address = f"127.0.0.1:{port}"
    channel = open_channel(context.address)
    context.stack.callback(channel.close)
    context.call = channel.unary_unary(METHOD)
    end_at = time.monotonic() + seconds
    while time.monotonic() < end_at:
        with contextlib.suppress(grpc.RpcError):
            context.call(b"0", timeout=CALL_SECONDS)
            raise AssertionError("the call succeeded without a peer")
        time.sleep(0.05)


@when("the peer server starts")
def start_peer(context):
    server = PeerServer(context.address, [(add_echo, None)])
    context.stack.enter_context(server)


@then(
    "a call on the channel that waits for the connection succeeds within "
    "{seconds:g} seconds"
)
def check_connects(context, seconds):
    reply = context.call(b"0", timeout=seconds, wait_for_ready=True)
    assert reply == b"0"


@when("the open connections of the link fall silent")
def silence(context):
    context.link.silence_open_connections()


@when("a call on the channel is cancelled every {seconds:g} seconds")
def cancel_calls(context, seconds):
    stopped = threading.Event()

    def run():
        while not stopped.wait(seconds):
            context.call.future(b"0", timeout=CALL_SECONDS).cancel()

    thread = threading.Thread(target=run)
    thread.start()
    context.stack.callback(thread.join)
    context.stack.callback(stopped.set)


@then("within {seconds:d} seconds a call on the channel succeeds")
def check_succeeds(context, seconds):
    deadline = time.monotonic() + seconds
    while True:
        try:
            context.call(b"0", timeout=CALL_SECONDS)
            return
        except grpc.RpcError as error:
            assert time.monotonic() < deadline, error


@when("a call of 1 second runs while shorter calls time out")
def call_beside_timeouts(context):
    context.replies = []
    long_call = lambda: context.replies.append(context.call(b"1", timeout=3.0))  # noqa: E731
    thread = threading.Thread(target=long_call)
    thread.start()
    for _ in range(2):
        try:
            context.call(b"0.5", timeout=0.2)
        except grpc.RpcError as error:
            assert error.code() is grpc.StatusCode.DEADLINE_EXCEEDED, error
    thread.join()


@then("the call of 1 second succeeds")
def check_long_call(context):
    assert context.replies == [b"1"], context.replies
