"""Steps for endpoints that limit the requests a second that they take."""

import time

from behave import then, when

# Times over which the rule counts, and from when on after a limit is first named.
WINDOW_SECONDS = 4.0
LEARNING_SECONDS = 3.0


@when("runner {number:d} names a limit of {limit:g} requests a second")
def name_limit(context, number, limit):
    context.gateways.runners[number].limit_requests(limit)


@when("runner {number:d} names no limit any more")
def end_limit(context, number):
    context.gateways.runners[number].limit_requests(None)


@when("{count:d} requests are sent one after the other at gateway {node:d}")
def send_in_turn(context, count, node):
    for number in range(count):
        answer = context.gateways.send(f"/safe/{number}", node)
        assert answer.status == 200, answer
        # Each is sent after the head of the one before has been noted.
        time.sleep(0.05)


@then(
    "the log of gateway {node:d} has the request limits {limit:g} and none of runner "
    "{number:d}"
)
def check_log(context, node, limit, number):
    lines = [
        line
        for line in context.gateways.nodes[node].log_lines()
        if line["event"] == "request limit changed"
    ]
    assert [line["limit"] for line in lines] == [limit, None], lines
    assert {line["endpoint_id"] for line in lines} == {f"runner-{number}"}, lines
    assert all(line["request_id"] for line in lines), lines


@then(
    "the metrics of gateway {node:d} count {named:d} named limit and {ended:d} ended "
    "limit"
)
def check_metrics(context, node, named, ended):
    text = context.gateways.metrics(node)
    counts = {outcome: _count(text, outcome) for outcome in ("named", "ended")}
    assert counts == {"named": named, "ended": ended}, counts


def _count(text, outcome):
    rows = [
        line
        for line in text.splitlines()
        if 'event="request limit"' in line and f'outcome="{outcome}"' in line
    ]
    return sum(float(line.rsplit(" ", 1)[1]) for line in rows)
