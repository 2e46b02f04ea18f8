"""Steps on the network relay without a fleet."""

import contextlib
import socket
import socketserver
import threading

from behave import given, then, when

from sequoiaglade_standins.relay import Drop, Refuse, Relay, Stall

QUIET_SECONDS = 0.5
ANSWER_SECONDS = 10.0


class Handler(socketserver.StreamRequestHandler):
    def handle(self):
        with contextlib.suppress(OSError):
            for _ in self.rfile:
                self.wfile.write(b"x" * 1000)


@given("a server behind a link that answers 1000 bytes to each line")
def start_server(context):
    server = socketserver.ThreadingTCPServer(("127.0.0.1", 0), Handler)
    server.daemon_threads = True
    context.stack.enter_context(server)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.stack.callback(server.shutdown)
    relay = context.stack.enter_context(Relay())
    context.link = relay.link()
    target = "{}:{}".format(*server.server_address)
    host, _, port = relay.listen(context.link, target).rpartition(":")
    context.address = (host, int(port))


def ask(context, lines=b"?\n"):
    context.count = 0
    sock = socket.create_connection(context.address, ANSWER_SECONDS)
    context.sock = context.stack.enter_context(sock)
    context.sock.sendall(lines)


def receive(context, wanted):
    """Read until `wanted` bytes or a reset arrive; return whether it was a reset."""
    try:
        while context.count < wanted:
            data = context.sock.recv(wanted - context.count)
            assert data, f"ended after {context.count} bytes"
            context.count += len(data)
    except ConnectionResetError:
        return True
    return False


@then("an answer over the link has {count:d} bytes")
def check_answer(context, count):
    ask(context)
    assert not receive(context, count)


@then("an answer over the link has {count:d} bytes and is not ended")
def check_stalled(context, count):
    check_answer(context, count)
    context.sock.settimeout(QUIET_SECONDS)
    try:
        assert context.sock.recv(1) is None, "the link passed more, or ended"
    except TimeoutError:
        context.sock.settimeout(ANSWER_SECONDS)


@then("an answer over the link has {count:d} bytes and is reset")
def check_reset(context, count):
    try:
        ask(context)
        was_reset = receive(context, 1000)
    except OSError:
        was_reset = True
    assert was_reset and context.count <= count, (was_reset, context.count)


@then("an answer to 2 lines is reset within {count:d} bytes")
def check_longer(context, count):
    ask(context, b"?\n?\n")
    assert receive(context, 2000) and context.count <= count, context.count


@then("the rest of the answer comes, so that it has {count:d} bytes")
def check_rest(context, count):
    assert not receive(context, count)


@when("the link stalls after {count:d} bytes of answers")
def stall(context, count):
    context.link.inject_fault(Stall(count))


@when("the link drops a connection after {count:d} bytes of answers")
def drop(context, count):
    context.link.inject_fault(Drop(count))


@when("the link refuses")
def refuse(context):
    context.link.inject_fault(Refuse())


@when("the link is healed")
def heal(context):
    context.link.heal()
