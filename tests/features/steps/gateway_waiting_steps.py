"""Steps for requests that wait before a gateway handles them."""

import re
import signal
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from datetime import datetime

from behave import given, then, when
from emulator import RunnerPlan
from emulator.fleet import wait_until
from gateway_calls import runs, start

EVENT_COUNT = 10
STREAM_DEADLINE_SECONDS = 5.0
# The request of a suspended gateway is in its kernel's buffer after this time.
SENT_SECONDS = 0.3
# Differences of the callers' clock from the gateway's.
SLACK_SECONDS = 0.05
LOG_SECONDS = 5.0
WAIT_METRIC = re.compile(r"^sequoiaglade_gateway_arrival_wait\w*_sum\S* (\S+)$", re.M)


class Sent:
    """A request that a thread sends: its time and, once it has ended, its response."""

    def __init__(self, context, path, deadline):
        self.request_id = uuid.uuid4().hex[:16]
        self.deadline = deadline
        self.sent_at = time.monotonic()
        self._future = context.callers.submit(self._send, context.gateways, path)

    def _send(self, fleet, path):
        answer = fleet.send(path, deadline=self.deadline, request_id=self.request_id)
        return answer, time.monotonic() - self.sent_at

    @property
    def answer(self):
        """The response, None if the gateway sent none."""
        return self._future.result()[0]

    @property
    def seconds(self):
        """The time until its end."""
        return self._future.result()[1]


@given("a gateway with {count:d} threads and runners with streams of {seconds:d} s")
def given_few_threads(context, count, seconds):
    plan = RunnerPlan(event_count=EVENT_COUNT, event_seconds=seconds / EVENT_COUNT)
    start(context, 1, [plan] * 2, limits={"data_threads": count})


@when(
    "{streams:d} streams run and {count:d} requests with a deadline of {s:d} s arrive"
)
@when(
    "{streams:d} streams run and {count:d} request with a deadline of {s:d} s arrives"
)
def occupy_threads(context, streams, count, s):
    context.callers = context.stack.enter_context(ThreadPoolExecutor(streams + count))
    context.streams = [
        Sent(context, f"/once/stream-{n}", STREAM_DEADLINE_SECONDS)
        for n in range(streams)
    ]
    wait_until(lambda: len(runs(context)) == streams, 5.0, "the streams run")
    context.sent = [Sent(context, f"/once/{n}", float(s)) for n in range(count)]


@given("the runner is silent for {seconds:d} s")
def fall_silent(context, seconds):
    context.gateways.runners[0].fall_silent(seconds)


@when(
    "a request with a deadline of {s:d} s arrives while gateway 0 is suspended "
    "for {seconds:d} s"
)
def suspend_gateway(context, s, seconds):
    context.callers = context.stack.enter_context(ThreadPoolExecutor(1))
    gateway = context.gateways.nodes[0]
    gateway.send(signal.SIGSTOP)
    try:
        context.sent = [Sent(context, "/once/1", float(s))]
        time.sleep(SENT_SECONDS + seconds)
    finally:
        gateway.send(signal.SIGCONT)


@then("the requests are refused as not run within {seconds:d} s")
def check_refused_in_time(context, seconds):
    seen = [(r.answer and r.answer.status, round(r.seconds, 2)) for r in context.sent]
    assert all(status == 503 and s < seconds for status, s in seen), seen
    assert all("Retry-After" in r.answer.headers for r in context.sent), seen


@then("the gateway has logged within {seconds:d} s that no thread took them")
def check_refusals_logged(context, seconds):
    expected = len(context.sent)
    # A thread writes the log, so that a line may follow the response to its request.
    wait_until(
        lambda: len(thread_refusals(context)) >= expected,
        seconds,
        "the refusals are logged",
        lambda: str(thread_refusals(context)),
    )
    lines = thread_refusals(context)
    assert len(lines) == expected, lines
    assert all(line["waited_ms"] > 0 for line in lines), lines


def thread_refusals(context):
    """Return the log lines of gateway 0 on requests that no thread took."""
    return [
        line
        for line in context.gateways.nodes[0].log_lines()
        if line["event"] == "request refused" and "threads" in line["reason"]
    ]


@then("the streams are complete, and no other request ran")
def check_streams(context):
    for stream in context.streams:
        assert stream.answer.is_complete, stream.answer
        assert len(stream.answer.events) == EVENT_COUNT, stream.answer
    ran = {run.request_id for run in runs(context)}
    assert ran == {stream.request_id for stream in context.streams}, ran


@then("the request is complete, and was given no more than the rest of its time")
def check_time_given(context):
    (request,) = context.sent
    assert request.answer.status == 200 and request.answer.is_complete, request.answer
    (run,) = [run for run in runs(context) if run.request_id == request.request_id]
    # The time left is that at the placement, not at the begin of the run.
    placed_at = datetime.fromisoformat(placement(context)["timestamp"]).timestamp()
    placed_at -= time.time() - time.monotonic()
    context.waited_seconds = placed_at - request.sent_at
    most = request.deadline - context.waited_seconds + SLACK_SECONDS
    assert run.seconds_left <= most, (run.seconds_left, most)


@then("the gateway's metrics and log tell that it waited")
def check_wait_told(context):
    text = context.gateways.metrics()
    sums = [float(number) for number in WAIT_METRIC.findall(text)]
    assert sum(sums) > 0.5 * context.waited_seconds, (sums, context.waited_seconds)
    line = placement(context)
    assert line["arrival_wait_ms"] > 500 * context.waited_seconds, line


def placement(context):
    """Return the log line on the placement of the only request, once it is written."""
    (request,) = context.sent
    found = lambda: [  # noqa: E731
        line
        for line in context.gateways.nodes[0].log_lines()
        if line["event"] == "request placed"
        and line["request_id"] == request.request_id
    ]
    wait_until(found, LOG_SECONDS, "the placement is logged")
    (line,) = found()
    return line


@then("it is answered at most {seconds:g} s after its deadline")
def check_answered_in_time(context, seconds):
    (request,) = context.sent
    assert request.answer is not None
    assert request.seconds <= request.deadline + seconds, request.seconds


@then("it is refused as not run when the gateway goes on")
def check_refused_late(context):
    (request,) = context.sent
    assert request.answer is not None and request.answer.status == 503, request.answer


@then("no request ran")
def check_none_ran(context):
    assert not runs(context), runs(context)
