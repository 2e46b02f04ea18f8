"""Steps that test the stand-ins."""

import contextlib
import time

from behave import then, when

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
