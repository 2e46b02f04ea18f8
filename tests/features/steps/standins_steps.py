"""Steps that test the stand-ins."""

import contextlib
import socket
import time

from batch_platform import local_platform
from behave import given, then, when

from sequoiaglade_platform import PlatformClient
from sequoiaglade_standins.fleet import Fleet
from sequoiaglade_standins.ports import PortBlock
from sequoiaglade_standins.samples import restockers_document, restockers_endpoints


@when("{fleets:d} fleets claim {count:d} ports each before any of them listens")
def claim_ports(context, fleets, count):
    with contextlib.ExitStack() as stack:
        blocks = [stack.enter_context(PortBlock()) for _ in range(fleets)]
        context.ports = [port for block in blocks for port in block.take(count)]


@then("no port is allocated twice")
def check_ports(context):
    assert len(set(context.ports)) == len(context.ports)


@when("a fleet starts whose node settings have an unknown key")
def start_faulty_fleet(context):
    settings = {"no_such_setting": 1}
    fleet = Fleet(1, restockers_endpoints(1), restockers_document(), settings)
    started_at = time.monotonic()
    try:
        context.stack.enter_context(fleet)
    except (RuntimeError, TimeoutError) as error:
        context.fault = str(error)
    context.seconds = time.monotonic() - started_at


@then("the start fails within {seconds:d} s with the exit code and the unknown key")
def check_fault(context, seconds):
    assert "ended with 2" in context.fault, context.fault
    assert "no_such_setting" in context.fault, context.fault
    assert context.seconds < seconds, context.seconds


@given("a platform stand-in")
def given_platform(context):
    _, context.url = context.stack.enter_context(local_platform())


@when(
    "connections end after {first:d} and after {second:d} bytes of a body of 10 bytes"
)
def end_within_body(context, first, second):
    host, port = context.url.removeprefix("http://").split(":")
    for sent in (first, second):
        head = f"PUT /objects/work/n{sent} HTTP/1.1\r\nHost: {host}\r\n"
        head += "Content-Length: 10\r\n\r\n"
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(head.encode() + b"x" * sent)
            connection.shutdown(socket.SHUT_WR)
            # The stand-in closes the connection once it has handled the request.
            connection.recv(1024)


@then("the stand-in stores none of these writes")
def check_none_stored(context):
    context.client = PlatformClient(context.url, "node-0")
    assert context.client.list("work") == [], context.client.list("work")


@then("a complete write is stored")
def check_stored(context):
    context.client.create("work", "n", b"x" * 10)
    (stored,) = context.client.list("work")
    assert stored.value == b"x" * 10, stored
