"""Steps of gateways that start while other processes take ports."""

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import yaml
from behave import then, when

PLATFORM = Path(__file__).resolve().parents[3] / "platform"
IMPORTS = """
import sys
import fleet_adapter, sequoiaglade_gateway.main
print(*sys.modules)
"""
# Runs a gateway until its listeners are open and it waits for signals. What it loads
# after a delay is put off, so that the machine's speed does not matter.
START = """
import gc, json, os, sys
import launch
sys.path.extend(str(path) for path in sorted(launch.PACKAGES.iterdir()))
from sequoiaglade_gateway import metrics
from sequoiaglade_node import signals

def report(waiter):
    started = {"modules": list(sys.modules), "collects": gc.isenabled()}
    with open(sys.argv[1], "w", encoding="utf-8") as file:
        json.dump(started, file)
    os._exit(0)

metrics.LOAD_DELAY_SECONDS = 3600.0
signals.SignalWaiter.wait = report
launch.main()
"""
START_TIMEOUT_SECONDS = 60
# Each took processor time of every start and is needed by no request: the first ones
# are loaded for metrics a second later or once they are read, the others only by nodes
# that export traces or by the product's own interface.
MODULES_NO_REQUEST_NEEDS = (
    "opentelemetry",
    "prometheus_client",
    "http.server",
    "sequoiaglade_node.telemetry",
    "sequoiaglade_node.calls.spans",
    "sequoiaglade_node.settings",
    "sequoiaglade_platform.client",
)
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
    assert_not_loaded(context.modules, names.split(", "))


@when("gateway 0 is killed, and a process with its settings has opened its listeners")
def start_until_listening(context):
    node = context.gateways.nodes[0]
    node.kill()
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    settings = folder / "node.yaml"
    settings.write_text(yaml.safe_dump(node.settings), encoding="utf-8")
    subprocess.run(
        [sys.executable, "-c", START, str(folder / "started.json")],
        env={
            **os.environ,
            "PYTHONPATH": os.pathsep.join([*sys.path, str(PLATFORM)]),
            "SEQUOIAGLADE_BOOT": str(settings),
        },
        capture_output=True,
        check=True,
        timeout=START_TIMEOUT_SECONDS,
    )
    context.started = json.loads((folder / "started.json").read_text(encoding="utf-8"))


@then("the process has loaded none of the modules that no request needs")
def check_start_modules(context):
    modules = context.started["modules"]
    assert "sequoiaglade_gateway.node" in modules
    assert_not_loaded(modules, MODULES_NO_REQUEST_NEEDS)


@then("its garbage collector runs")
def check_collector(context):
    assert context.started["collects"]


def assert_not_loaded(modules, names):
    """Fail if one of the modules or of their parts is among `modules`."""
    for name in names:
        found = [m for m in modules if m == name or m.startswith(f"{name}.")]
        assert not found, found
