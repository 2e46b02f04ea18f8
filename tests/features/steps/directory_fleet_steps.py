"""Steps for instances that are lost, and directories that still name them."""

import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from deployment_fleet import STABLE_MILLISECONDS, start_deployment
from emulator.fleet import wait_until

LOST_SECONDS = STABLE_MILLISECONDS / 1000 + 3.0
LATE_ANSWERS_MAX = 3
KNOWN_SECONDS = 60.0
# Each directory is asked so often.
PERIOD_SECONDS = 0.25
STOP_SECONDS = 12.0


@given("{nodes:d} gateways whose directories name each other")
def given_fleet(context, nodes):
    start_deployment(context, nodes, 2)
    fleet = context.gateways
    know_all = lambda: all(  # noqa: E731
        len(fleet.addresses(node) or ()) == nodes for node in range(nodes)
    )
    wait_until(know_all, KNOWN_SECONDS, "all directories name all gateways")
    context.lost_at = {}


@when("gateways {numbers} are killed")
def kill(context, numbers):
    for number in map(int, numbers.split(", ")):
        node = context.gateways.nodes[number]
        node.kill()
        context.lost_at[node.data] = time.monotonic()


@when("gateways {numbers} are stopped, and have exited")
def stop(context, numbers):
    nodes = [context.gateways.nodes[number] for number in map(int, numbers.split(", "))]
    for node in nodes:
        node.terminate()
    for node in nodes:
        node.process.wait(STOP_SECONDS)
        context.lost_at[node.data] = time.monotonic()


@when("callers ask the directories of all others for {seconds:d} seconds")
def ask(context, seconds):
    fleet = context.gateways
    until = time.monotonic() + seconds

    def ask_one(number):
        answers = []
        while time.monotonic() < until:
            answers.append(fleet.resolve(number, region="east", domain="a1"))
            time.sleep(PERIOD_SECONDS)
        return answers

    running = [n for n, node in enumerate(fleet.nodes) if node.is_running]
    with ThreadPoolExecutor(len(running)) as pool:
        context.answers = [row for rows in pool.map(ask_one, running) for row in rows]


@then("at most 3 answers name a gateway that was lost more than 6 seconds before")
def check_late(context):
    late = []
    for row in context.answers:
        times = [context.lost_at.get(name, row.sent_at) for name in row.addresses or ()]
        seconds = row.sent_at - min(times, default=row.sent_at)
        if seconds > LOST_SECONDS:
            late.append((row.gateway, round(seconds, 2)))
    assert len(late) <= LATE_ANSWERS_MAX, (len(late), len(context.answers), late[:10])


@then("all answers name a running gateway")
def check_answers(context):
    running = {node.data for node in context.gateways.nodes if node.is_running}
    for row in context.answers:
        assert running & set(row.addresses or ()), row
