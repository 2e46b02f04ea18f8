"""Steps with runners that fall silent."""

import socket
import time
from concurrent.futures import ThreadPoolExecutor
from unittest import mock

import urllib3
from behave import given, then, when
from emulator import RunnerPlan
from emulator.fleet import wait_until
from gateway_calls import SLOW, ask_together, runs, start
from sequoiaglade_gateway.messages import STOPPED, InFlightRequest, RequestEnded
from sequoiaglade_gateway.online.silence import ReservedPlace
from sequoiaglade_gateway.patient_socket import PatientSocket

from sequoiaglade_decisions.gateway import Endpoint, Full

# A stream has several events, and more to come, this long after its run has begun.
MID_STREAM_SECONDS = 0.35
DEADLINE_SECONDS = 5.0
# A gateway notes a silence within this time, also if it was suspended meanwhile.
NOTE_SECONDS = 3.0
# More than the buffers of a connection hold.
LARGE_BODY = bytes(range(256)) * 32_768


@given("1 gateway and 2 runners with 1 slot and long streams")
def given_one_slot_each(context):
    start(context, 1, [RunnerPlan(slots=1, event_count=50, event_seconds=0.055)] * 2)


@given("1 gateway, 1 slow runner and 1 runner that refuses all requests")
def given_refusing(context):
    start(context, 1, [SLOW, SLOW._replace(queue=0)])


@given("runner 1 registers as {state}")
@when("runner 1 registers as {state}")
def register(context, state):
    context.gateways.runners[1].register(state)
    time.sleep(0.6)


@when('a stream of "{path}" is sent to gateway 0')
def send_stream(context, path, deadline=DEADLINE_SECONDS):
    if not hasattr(context, "streams"):
        context.streams = []
        context.pool = context.stack.enter_context(ThreadPoolExecutor())
    context.sent_at = time.monotonic()
    sent = context.pool.submit(context.gateways.send, path, 0, deadline=deadline)
    context.streams.append(sent)


@when('a stream of "{path}" begins at gateway 0')
def begin_stream(context, path):
    count = len(runs(context))
    send_stream(context, path)
    wait_until(lambda: len(runs(context)) > count, 3.0, "the stream runs")


@when('a stream of "{path}" runs at gateway 0')
def run_stream(context, path, deadline=DEADLINE_SECONDS):
    count = len(runs(context))
    send_stream(context, path, deadline)
    wait_for_run(context, count)


@when('a stream of "{path}" with a deadline of {deadline:f} seconds runs at gateway 0')
def run_stream_with_deadline(context, path, deadline):
    run_stream(context, path, deadline)


@when("the stream goes on at the other runner")
def wait_for_other(context):
    wait_for_run(context, 1)


def wait_for_run(context, count):
    wait_until(lambda: len(runs(context)) > count, 3.0, "the stream runs")
    newest = runs(context)[-1]
    runners = context.gateways.runners
    context.runner = next(runner for runner in runners if newest in runner.runs)
    time.sleep(MID_STREAM_SECONDS)


@when("its runner falls silent")
def fall_silent(context):
    context.runner.fall_silent()


@when("its runner falls silent for {seconds:g} seconds")
def fall_silent_for(context, seconds):
    context.runner.fall_silent(seconds)


@when("runner 0 falls silent")
def first_falls_silent(context):
    context.gateways.runners[0].fall_silent()


@when("runner 0 falls silent for {seconds:f} seconds")
def first_falls_silent_for(context, seconds):
    context.gateways.runners[0].fall_silent(seconds)


@when("items run at all runners, which fall silent for {seconds:f} seconds")
def all_fall_silent(context, seconds):
    runners = context.gateways.runners
    wait_until(lambda: all(r.running for r in runners), 5.0, "items run")
    time.sleep(MID_STREAM_SECONDS)
    for runner in runners:
        runner.fall_silent(seconds)


@when("gateway 0 is asked to stop")
def ask_to_stop(context):
    context.stopped_at = time.monotonic()
    context.gateways.nodes[0].terminate()


@when("the stream ends")
@when("all streams end")
def wait_for_end(context):
    context.answers = [stream.result() for stream in context.streams]
    context.answered_at = time.monotonic()


@then("gateway 0 notes it after at most {seconds:g} seconds of silence")
def check_silence_noted(context, seconds):
    found = lambda: [  # noqa: E731
        line["silent_seconds"]
        for line in context.gateways.nodes[0].log_lines()
        if line["event"] == "endpoint silent"
    ]
    wait_until(found, NOTE_SECONDS, "the silence is noted")
    assert found()[0] <= seconds, found()


@then("then {count:d} requests run at the other runner")
def check_avoided(context, count):
    ask_together(context, count, 0)
    assert len(context.runner.runs) == 1, context.runner.runs
    assert len(runs(context)) == 1 + count, runs(context)


@when('a caller of "{path}" disconnects after {seconds:f} seconds')
def disconnect_while_waiting(context, path, seconds):
    assert context.gateways.disconnect_while_waiting(path, seconds)


@then("gateway 0 has no request in flight")
def check_none_in_flight(context):
    in_flight = lambda: context.gateways.status()["in_flight_by_endpoint"]  # noqa: E731
    wait_until(lambda: in_flight() == {}, 0.5, "no request is in flight")


@then("the runners received {count:d} requests in total")
def check_run_count(context, count):
    assert len(runs(context)) == count, runs(context)


@then("each response is complete with {count:d} events")
def check_each_complete(context, count):
    for answer in context.answers:
        assert answer.is_complete, answer
        assert answer.events == list(range(1, count + 1)), answer


@then("the longest gap of the response is under {seconds:d} seconds")
def check_gap(context, seconds):
    gap = context.answers[0].longest_gap_seconds
    assert gap < seconds, gap


@then("the silent runner stops the run when it goes on")
def check_left_run_stops(context):
    context.runner.end_silence()
    wait_until(lambda: context.runner.running == 0, 0.4, "the run left behind stops")
    assert not context.runner.completed, context.runner.completed


@then("the response ended within {seconds:f} seconds")
def check_ended_in_time(context, seconds):
    assert context.answered_at - context.sent_at < seconds, (
        context.answered_at - context.sent_at
    )


class _CountingPatience:
    first_seconds = 0.05

    def __init__(self):
        self.silences = []

    def next_seconds(self, silent_seconds):
        self.silences.append(silent_seconds)
        return 1.0


@given("a connection whose reads and writes are patient")
def given_patient_connection(context):
    own, context.peer = map(context.stack.enter_context, socket.socketpair())
    context.patience = _CountingPatience()
    context.connection = urllib3.connection.HTTPConnection("127.0.0.1")
    context.connection.sock = PatientSocket(own, context.patience)
    context.pool = context.stack.enter_context(ThreadPoolExecutor())


def send_with_silences(peer, parts):
    for part in parts:
        peer.sendall(part)
        time.sleep(0.1)


@when("the peer sends a response with silences within its head and its chunks")
def respond_with_silences(context):
    context.connection.request("GET", "/", preload_content=False)
    parts = (
        b"HTTP/1.1 200 OK\r\nTransfer-",
        b"Encoding: chunked\r\n\r\n6",
        b"\r\nabc",
        b"def\r\n3\r\nghi\r\n0\r\n\r\n",
    )
    sent = context.pool.submit(send_with_silences, context.peer, parts)
    response = context.connection.getresponse()
    context.body = b"".join(response.read_chunked())
    sent.result()


@then("the body is complete")
def check_body(context):
    assert context.body == b"abcdefghi", context.body


@then("each silence was reported")
def check_silences(context):
    assert context.patience.silences == [_CountingPatience.first_seconds] * 3


@when("a large request is sent while the peer reads nothing for a while")
def send_large_request(context):
    context.peer.recv(65_536)
    sent = context.pool.submit(context.connection.request, "POST", "/", LARGE_BODY)
    time.sleep(0.2)
    with context.peer.makefile("rb") as file:
        while file.readline() != b"\r\n":
            pass
        context.received = file.read(len(LARGE_BODY))
    sent.result()


@then("the peer receives it unchanged")
def check_received(context):
    assert context.received == LARGE_BODY, len(context.received)
    assert len(context.patience.silences) > 3, context.patience.silences


@then("a reserved place is released once, unless an attempt has taken it")
def check_reserved_place(context):
    endpoint = Endpoint("e-1", "s", "", "d", 8)
    place = InFlightRequest(endpoint, False, 1)
    for placed, is_taken, released in (
        (place, False, [mock.call(RequestEnded("e-1", False, STOPPED))]),
        (place, True, []),
        (Full(0.3, True), False, []),
    ):
        parts = mock.Mock()
        parts.placer.place.return_value = placed
        parts.placer.renew_permit.side_effect = lambda placed, request: placed
        with ReservedPlace(parts) as reserved:
            assert reserved.reserve(None) is (placed is place)
            if is_taken:
                assert reserved.take() is place
        assert parts.coordinator.tell.call_args_list == released, placed
