"""Steps of stops whose signals reach threads other than the main one."""

import ctypes
import os
import signal
import time

from behave import then, when
from emulator.fleet import wait_until

LIBC = ctypes.CDLL(None, use_errno=True)


def send_to_thread(pid, number):
    """Send a signal to the newest thread of a process, which isn't its main one."""
    # Numbers of threads start anew at the system's limit, so that the main thread's may
    # be the highest.
    threads = {int(name) for name in os.listdir(f"/proc/{pid}/task")} - {pid}
    assert threads, "the process has one thread"
    thread = max(threads)
    if LIBC.tgkill(pid, thread, number) != 0:
        raise OSError(ctypes.get_errno(), "tgkill failed")


@when("a thread of gateway 0 other than the main one receives SIGTERM")
def stop_gateway_thread(context):
    context.stopped_at = time.monotonic()
    send_to_thread(context.gateways.nodes[0].process.pid, signal.SIGTERM)


@when("threads of gateway 0 other than the main one receive SIGHUP, then SIGTERM")
def reload_and_stop_gateway_thread(context):
    context.stopped_at = time.monotonic()
    send_to_thread(context.gateways.nodes[0].process.pid, signal.SIGHUP)
    send_to_thread(context.gateways.nodes[0].process.pid, signal.SIGTERM)


@when("a thread of node 0 other than the main one receives SIGTERM")
def stop_node_thread(context):
    send_to_thread(context.fleet.nodes[0].process.pid, signal.SIGTERM)


@then("node 0 exits with code 0 within {seconds:d} seconds")
def check_node_exited(context, seconds):
    process = context.fleet.nodes[0].process
    wait_until(lambda: not process.is_running, seconds, "node 0 has exited")
    assert process.exit_code == 0, process.exit_code
