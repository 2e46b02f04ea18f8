"""Steps for gateways that are cut off from all runners."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from emulator import RunnerPlan
from gateway_calls import SLOW, start
from paced_calls import send_evenly, wait_until_met

# The rule begins this long after a cut, and compares shares of first attempts.
SETTLED_SECONDS = 3.0
SERVED_FACTOR = 2 / 3
ONCE_RATE = 40


@given("{nodes:d} gateways and {count:d} runners with links of their own")
def given_links(context, nodes, count):
    start(context, nodes, [RunnerPlan()] * count, has_runner_links=True)
    context.cut_nodes = []
    wait_until_met(context)


@given("{nodes:d} gateways and {count:d} slow runners with links of their own")
def given_slow_links(context, nodes, count):
    start(context, nodes, [SLOW] * count, has_runner_links=True)
    context.cut_nodes = []
    wait_until_met(context)


@when('gateway {number:d} is cut off by "{how}"')
def cut_one(context, number, how):
    context.cut_nodes.append(number)
    context.gateways.runner_links[number].cut(how)


@when('gateways {numbers} are cut off by "{how}"')
def cut_several(context, numbers, how):
    for number in map(int, numbers.split(", ")):
        cut_one(context, number, how)


@when("gateway {number:d} is reconnected")
def reconnect(context, number):
    context.gateways.runner_links[number].mend()


@when("the gateways are reconnected")
def reconnect_all(context):
    for number in context.cut_nodes:
        reconnect(context, number)


@when(
    "callers send {rate:d} requests a second for {seconds:d} seconds at gateway "
    "{node:d}"
)
def send_at_one(context, rate, seconds, node):
    send_evenly(context, "safe", rate, seconds, [node])


@when("{count:d} streams run at gateway {node:d}")
def run_streams(context, count, node):
    pool = context.stack.enter_context(ThreadPoolExecutor(count))
    context.pending = [
        pool.submit(context.gateways.send, f"/resume/{number}", node)
        for number in range(count)
    ]
    runners = context.gateways.runners
    while sum(runner.running for runner in runners) < count:
        time.sleep(0.01)


@when(
    "callers send {rate:d} requests a second that may not be repeated, at gateway "
    "{node:d}"
)
def send_once(context, rate, node):
    def send():
        send_evenly(context, "once", rate, 6, [node])

    context.sender = threading.Thread(target=send)
    context.sender.start()
    time.sleep(0.5)


@when(
    'gateway {number:d} is cut off by "{first}", then by "{second}", each for '
    "{seconds:d} seconds"
)
def cut_twice(context, number, first, second, seconds):
    links = context.gateways.runner_links[number]
    for how in (first, second):
        links.cut(how)
        time.sleep(seconds)
        links.mend()
        time.sleep(0.5)
    context.sender.join()


@then("the log of gateway {node:d} has a cut from all endpoints and its end")
def check_log(context, node):
    events = [line["event"] for line in context.gateways.nodes[node].log_lines()]
    found = [event for event in events if event.startswith("all endpoints")]
    assert found == ["all endpoints cut off", "all endpoints reached again"], found


@then(
    "from {after:g} seconds on the cut gateways served as many first attempts as the "
    "others"
)
def check_served(context, after):
    began_at = context.sent[0].sent_at
    shares = []
    for is_cut in (True, False):
        rows = [
            row
            for row in context.sent
            if row.sent_at - began_at >= after
            and (row.node in context.cut_nodes) is is_cut
        ]
        shares.append(sum(row.is_answered for row in rows) / len(rows))
    assert shares[0] >= SERVED_FACTOR * shares[1], shares
    # The rule allows ten failures; here are too few requests for that.
    assert shares[0] >= 0.9 * shares[1], shares


@then("from {after:g} seconds on all requests went to runners without a peer")
def check_direct(context, after):
    began_at = context.sent[0].sent_at
    late = [row for row in context.sent if row.sent_at - began_at >= after]
    assert all(row.is_answered for row in late)
    late_ids = {row.answer.request_id for row in late}
    forwarded = [
        line["request_id"]
        for node in context.gateways.nodes
        for line in node.log_lines()
        if line["event"] == "request forwarded" and line["request_id"] in late_ids
    ]
    assert not forwarded, len(forwarded)


@then("the streams end complete, with each event once")
def check_streams(context):
    for future in context.pending:
        answer = future.result()
        assert answer is not None and answer.is_complete, answer
        assert answer.events == list(range(1, SLOW.event_count + 1)), answer


@then("no request ran twice, and none that ran was refused")
def check_once(context):
    runs = [run.request_id for r in context.gateways.runners for run in r.runs]
    assert len(runs) == len(set(runs)), len(runs) - len(set(runs))
    refused = {
        row.request_id
        for row in context.sent
        if row.answer is not None and row.answer.status in (429, 503)
    }
    assert not refused & set(runs), refused & set(runs)
    answered = sum(row.is_answered for row in context.sent)
    assert answered >= len(context.sent) / 2, (answered, len(context.sent))
