"""Steps for connections that fall silent without a reset."""

import contextlib
import socket

from behave import then, when
from emulator.links import Link


@when("a connection through a link falls silent")
def silence_link(context):
    listener = context.stack.enter_context(socket.create_server(("127.0.0.1", 0)))
    host, port = listener.getsockname()
    context.link = context.stack.enter_context(Link(f"{host}:{port}"))
    context.listener = listener
    context.ends = open_through_link(context)
    assert context.link.silence() == 1


def open_through_link(context):
    """Return both ends of a new connection that has passed data in both directions."""
    host, port = context.link.address.split(":")
    client = socket.create_connection((host, int(port)))
    server, _ = context.listener.accept()
    for sock in (client, server):
        context.stack.enter_context(contextlib.closing(sock))
        sock.settimeout(0.5)
    assert is_passing(client, server) and is_passing(server, client)
    return client, server


def is_passing(sender, receiver):
    sender.sendall(b"x")
    try:
        return receiver.recv(1) == b"x"
    except TimeoutError:
        return False


@then("it passes nothing in either direction and is not closed")
def check_silent(context):
    client, server = context.ends
    assert not is_passing(client, server) and not is_passing(server, client)


@then("a connection that is opened later passes data")
def check_new_connection(context):
    open_through_link(context)
