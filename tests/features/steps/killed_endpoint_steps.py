"""Steps for endpoints whose process is killed in the middle of a response."""

import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from emulator.fleet import SERVICE, wait_until
from emulator.runner_process import EVENT_SECONDS, EVENTS, RunnerProcess, wait_running
from gateway_batch_steps import results, submit
from gateway_calls import start

FRAMING = {"end with the connection": "close", "are in chunks": "chunks"}
# Some events have been sent then, and some have not.
SECONDS_TO_END = 4.5 * EVENT_SECONDS
START_SECONDS = 5.0
# Gateways hear of a change of the list within this time; the stream goes on meanwhile.
TOLD_SECONDS = 2 * EVENT_SECONDS
LONG_BODY = bytes(200_000)


def _start_processes(context, count, framing):
    fleet = context.gateways
    context.processes = [
        context.stack.enter_context(
            RunnerProcess(fleet.store, f"process-{n}", SERVICE, FRAMING[framing])
        )
        for n in range(count)
    ]
    for node in range(len(fleet.nodes)):
        wait_until(
            lambda node=node: fleet.send("/safe/warm", node).status == 200,
            START_SECONDS,
            f"gateway {node} uses the endpoints",
        )
    for process in context.processes:
        _drop_runs(process)


def _drop_runs(process):
    while True:
        try:
            wait_running([process], 0.1)
        except TimeoutError:
            return


@given("1 gateway and 1 endpoint process whose responses {framing}")
def given_one(context, framing):
    start(context, 1, [])
    _start_processes(context, 1, framing)


@given("1 gateway and 2 endpoint processes whose responses {framing}")
def given_two(context, framing):
    start(context, 1, [])
    _start_processes(context, 2, framing)


@given(
    "2 gateways, one cut off, and 1 endpoint process whose responses end with the "
    "connection"
)
def given_cut_off(context):
    start(context, 1, [], has_runner_links=True)
    fleet = context.gateways
    fleet.wait_ready(fleet.add_node(store_address=fleet.store.address))
    _start_processes(context, 1, "end with the connection")
    fleet.runner_links[0].cut("refuse")
    wait_until(
        lambda: fleet.send("/safe/cut", 0).status == 200,
        START_SECONDS,
        "gateway 0 asks its peer",
    )
    _drop_runs(context.processes[0])


def _request(context, path, end, body=b"{}"):
    with ThreadPoolExecutor(1) as pool:
        asked = pool.submit(context.gateways.send, path, body=body)
        process = wait_running(context.processes, START_SECONDS)
        time.sleep(SECONDS_TO_END)
        end(process)
        context.answers = [asked.result()]


@when('a caller requests "{path}" and the endpoint is killed meanwhile')
def request_killed(context, path):
    _request(context, path, RunnerProcess.kill)


@when('a caller requests "{path}" with a deadline of {seconds:g} seconds')
def request_by(context, path, seconds):
    context.answers = [context.gateways.send(path, deadline=seconds)]


@when('a caller sends 200 kB to "{path}" and the endpoint is suspended meanwhile')
def request_suspended(context, path):
    _request(context, path, RunnerProcess.suspend, LONG_BODY)


@when('a caller requests "{path}" and the endpoint leaves and stops meanwhile')
def request_stopped(context, path):
    def leave(process):
        process.register("draining")
        process.stop()

    _request(context, path, leave)


@when('a caller requests "{path}" and the endpoint is listed as draining and killed')
def request_drained(context, path):
    def leave(process):
        process.register("draining")
        time.sleep(TOLD_SECONDS)
        process.kill()

    _request(context, path, leave)


@when('a caller requests "{path}" and the endpoint is removed from the list and killed')
def request_removed(context, path):
    def leave(process):
        context.gateways.store.remove("servers", process.runner_id)
        time.sleep(TOLD_SECONDS)
        process.kill()

    _request(context, path, leave)


@when("a job of 4 items is submitted at gateway 0 and an endpoint is killed meanwhile")
def submit_killed(context):
    submit(context, [f"item-{n}" for n in range(4)], 0)
    process = wait_running(context.processes, START_SECONDS)
    time.sleep(SECONDS_TO_END)
    process.kill()


@then("every result has the data of all events")
def check_output(context):
    expected = "\n".join(f"piece-{n}" for n in range(1, EVENTS + 1))
    assert {row["Output"] for row in results(context, 0)} == {expected}
