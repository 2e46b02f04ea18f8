"""Steps for endpoints that limit the requests a second that they take."""

import time

from behave import given, then, when
from emulator import RunnerPlan
from gateway_calls import start
from paced_calls import send_evenly, wait_until_met

# Times over which the rule counts, and from when on after a limit is first named.
WINDOW_SECONDS = 4.0
LEARNING_SECONDS = 3.0
# The rule allows one and a half times the limit, and this many requests more.
ALLOWED_FACTOR = 1.5
ALLOWED_REQUESTS = 5


@given("3 gateways and 3 runners of which the last breaks each stream")
def given_last_breaks(context):
    start(context, 3, [RunnerPlan(), RunnerPlan(), RunnerPlan(breaks_after=3)])


@when("runners {first:d} and {second:d} name a limit of {limit:g} requests a second")
def name_limits(context, first, second, limit):
    wait_until_met(context)
    for number in (first, second):
        name_limit(context, number, limit)


@when("runners {first:d} and {second:d} name no limit any more")
def end_limits(context, first, second):
    for number in (first, second):
        end_limit(context, number)


@when("callers send {rate:d} requests a second for {seconds:d} seconds at all gateways")
def send_requests(context, rate, seconds):
    send_evenly(context, "safe", rate, seconds)


@when("callers send {rate:d} streams a second for {seconds:d} seconds at all gateways")
def send_streams(context, rate, seconds):
    send_evenly(context, "resume", rate, seconds)


@then("{count:d} of {total:d} streams are complete")
def check_most_answered(context, count, total):
    answered = sum(row.is_answered for row in context.sent)
    assert answered * total >= count * len(context.sent), answered


@then("all requests are answered")
def check_answered(context):
    failed = [row for row in context.sent if not row.is_answered]
    assert not failed, (len(failed), len(context.sent), failed[:3])


@then("the last {count:d} requests are answered")
def check_last_answered(context, count):
    context.sent = context.sent[-count:]
    check_answered(context)


@then(
    "from {after:g} seconds on all other requests are refused within {seconds:g} "
    "seconds"
)
def check_refused(context, after, seconds):
    began_at = context.sent[0].sent_at
    late = [row for row in context.sent if row.sent_at - began_at >= after]
    refused = [row for row in late if not row.is_answered]
    assert refused, "no request was refused"
    for row in refused:
        assert row.answer is not None and row.answer.status == 503, row
        assert row.ended_at - row.sent_at <= seconds, row
        assert 0.0 < float(row.answer.headers["Retry-After"]) <= 2.0, row


@then(
    "runners {first:d} and {second:d} get at least {least:g} and at most {limit:g} "
    "requests a second"
)
def check_rates(context, first, second, least, limit):
    allowed = ALLOWED_FACTOR * limit * WINDOW_SECONDS + ALLOWED_REQUESTS
    until = context.sent[-1].sent_at
    for number in (first, second):
        runner = context.gateways.runners[number]
        began_at = runner.limited_at + LEARNING_SECONDS
        arrived = [at for at in runner.received_at if began_at <= at <= until]
        most = max(_count_from(arrived, at) for at in arrived)
        assert most <= allowed, f"runner {number} got {most}, {allowed:g} allowed"
        mean = len(arrived) / (until - began_at)
        assert mean >= least, f"runner {number} got {mean:.2f} a second"


def _count_from(arrived, began_at):
    return sum(began_at <= at < began_at + WINDOW_SECONDS for at in arrived)


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
