"""Steps on settings and on errors of the command line."""

import os
import socket
import subprocess
import sys
import tempfile

from behave import given, then, when

from sequoiaglade_node.settings import NodeSettings
from sequoiaglade_node.settings_loading import load_settings
from sequoiaglade_standins.ports import PortBlock


def run_module(context, module, *arguments, **variables):
    command = [sys.executable, "-m", module, *arguments]
    environment = os.environ | variables
    context.done = subprocess.run(
        command, capture_output=True, text=True, timeout=60, env=environment
    )


@given("a settings file")
def write_settings(context):
    write_settings_text(context, context.text)


@given("a settings file with these ports")
def write_settings_with_ports(context):
    text = context.text
    for number, port in enumerate(context.ports):
        text = text.replace(f"PORT_{number}", str(port))
    write_settings_text(context, text)


def write_settings_text(context, text):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.path = os.path.join(folder, "node.yaml")
    with open(context.path, "w", encoding="utf-8") as file:
        file.write(text)


@when("sequoiaglade-node checks it")
def check_settings(context):
    arguments = ("--settings", context.path, "--check")
    run_module(context, "sequoiaglade_node.main", *arguments)


@when("sequoiaglade runs with {arguments}")
def run_command(context, arguments):
    run_module(context, "sequoiaglade_cli.main", *arguments.split())


@then("the exit code is {code:d}")
def check_exit_code(context, code):
    assert context.done.returncode == code, context.done


@then("standard error has {count:d} lines")
def check_line_count(context, count):
    lines = context.done.stderr.splitlines()
    assert len(lines) == count, context.done.stderr


@then("standard error names each of line {numbers}")
def check_line_numbers(context, numbers):
    for number in numbers.split():
        assert f"node.yaml:{number}: " in context.done.stderr, context.done.stderr


@then("standard error names each of {names}")
def check_names(context, names):
    for name in names.split():
        assert f" {name}: " in context.done.stderr, context.done.stderr


@given("{count:d} claimed ports, with a listener on number {number:d}")
def listen(context, count, number):
    # Other runs on the machine have ports of their own.
    context.ports = context.stack.enter_context(PortBlock()).take(count)
    listener = context.stack.enter_context(socket.socket())
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", context.ports[number]))
    listener.listen()


@when("sequoiaglade-node runs it")
def run_node(context):
    run_module(context, "sequoiaglade_node.main", "--settings", context.path)


@when("sequoiaglade-node runs it with {arguments}")
def run_node_with(context, arguments):
    options = ("--settings", context.path, *arguments.split())
    run_module(context, "sequoiaglade_node.main", *options)


@then(
    "with SEQUOIAGLADE_KEEP_SECONDS={variable} and --set keep_seconds={flag} "
    "it is {force:g}"
)
def check_in_force(context, variable, flag, force):
    environment = {"SEQUOIAGLADE_KEEP_SECONDS": variable} if variable != "none" else {}
    overrides = {"keep_seconds": flag} if flag != "none" else {}
    loaded = load_settings(context.path, environment, overrides)
    assert isinstance(loaded, NodeSettings) and loaded.keep_seconds == force, loaded


@when("sequoiaglade-node checks it with variable {variable} and {flag}")
def check_overridden(context, variable, flag):
    name, _, value = variable.partition("=")
    arguments = ("--settings", context.path, "--check", flag)
    run_module(context, "sequoiaglade_node.main", *arguments, **{name: value})


@then("standard error is the line {line}")
def check_whole_error(context, line):
    assert context.done.stderr == line + "\n", context.done.stderr


@then("standard error ends with a line that names {text}")
def check_last_line(context, text):
    assert text in context.done.stderr.splitlines()[-1], context.done.stderr


@when("an invariant is broken in a thread of a node")
def break_invariant(context):
    program = (
        "import threading\n"
        "from sequoiaglade_decisions.outcomes import check_invariant\n"
        "from sequoiaglade_node import main\n"
        "main.set_invariant_handler(main._stop_at_once)\n"
        "main.configure_logs('info', 'node-a')\n"
        "target = lambda: check_invariant(False, 'a proof')\n"
        "thread = threading.Thread(target=target)\n"
        "thread.start()\n"
        "thread.join()\n"
    )
    command = [sys.executable, "-c", program]
    context.done = subprocess.run(command, capture_output=True, text=True, timeout=60)
