"""Steps of gateways that start while other processes take ports."""

import os
import socket
import subprocess
import sys
import time
from pathlib import Path

from behave import then, when

PLATFORM = Path(__file__).resolve().parents[3] / "platform"
IMPORTS = """
import sys
import fleet_adapter, sequoiaglade_gateway.main
print(*sys.modules)
"""
EPHEMERAL_PORTS = Path("/proc/sys/net/ipv4/ip_local_port_range")


@when("gateway 0 is killed and its data address is taken before it restarts")
def take_address(context):
    node = context.gateways.nodes[0]
    node.kill()
    host, port = node.data.split(":")
    context.stack.enter_context(socket.create_server((host, int(port))))
    node.start()


@then(
    "the wait for gateway 0 fails within {seconds:d} seconds with its exit code and "
    "its log"
)
def check_failed_wait(context, seconds):
    began_at = time.monotonic()
    try:
        context.gateways.wait_ready(0)
    except AssertionError as error:
        text = str(error)
    else:
        raise AssertionError("gateway 0 is ready")
    assert time.monotonic() - began_at < seconds
    assert "exited with 3" in text and "can't listen" in text, text


@then("no port of the fleet's gateways can be taken by other processes' connections")
def check_ports(context):
    lowest, highest = map(int, EPHEMERAL_PORTS.read_text(encoding="ascii").split())
    listen = context.gateways.nodes[0].settings["listen"]
    ports = [int(address.rsplit(":", 1)[1]) for address in listen.values()]
    assert not any(lowest <= port <= highest for port in ports), ports


@when("a process imports the gateway and its adapter")
def import_gateway(context):
    run = subprocess.run(
        [sys.executable, "-c", IMPORTS],
        env={**os.environ, "PYTHONPATH": os.pathsep.join([*sys.path, str(PLATFORM)])},
        capture_output=True,
        text=True,
        check=True,
    )
    context.modules = run.stdout.split()


@then('it has imported no part of "{names}"')
def check_modules(context, names):
    for name in names.split(", "):
        found = [m for m in context.modules if m == name or m.startswith(f"{name}.")]
        assert not found, found
