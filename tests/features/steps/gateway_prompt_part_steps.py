"""Steps of requests whose prompts have a part under which emulated runners crash."""

import contextlib
import itertools
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException

from behave import given, then, when
from emulator import PartCrashes
from emulator.fleet import HOST, wait_until
from gateway_calls import SLOW, start

BAD = "bad"
FIRST = "f1f1"
SHARED = ("a1", "a2", "a3")
NODES = 3
REFUSED_AFTER_CRASHES = 5
SETTLED_SECONDS = 6.0
COUNTED_MIN = 20
STREAM_ID = "stream"
RUN_RATE = 10
# Time in which a stream has its first events.
EVENTS_SECONDS = 0.25
SHARE_MIN = 0.5


def _prompt(*parts):
    return ",".join(f"{part}:200" for part in parts)


@given("{nodes:d} gateways and {count:d} runners that crash under parts and {returns}")
@given("{nodes:d} gateway and {count:d} runners that crash under parts and {returns}")
def given_fleet(context, nodes, count, returns):
    keeps_id = {"return with a new id": False, "return with the same id": True}
    context.parts = PartCrashes([BAD], keeps_id=keeps_id[returns])
    start(context, nodes, [SLOW._replace(part_crashes=context.parts)] * count)


@given(
    "{nodes:d} gateways and {count:d} runners that crash after {events:d} events "
    "under parts"
)
def given_late_crashes(context, nodes, count, events):
    context.parts = PartCrashes([BAD], event_count=events)
    start(context, nodes, [SLOW._replace(part_crashes=context.parts)] * count)


@when('both runners stream, and a request with the part "bad" reaches runner 0')
def crash_one(context):
    fleet = context.gateways
    context.old_id = fleet.runners[0].runner_id
    context.reads = {}

    def read(name, runner, prompt):
        headers = {"Host": HOST, "Prompt-Prefix": prompt}
        with runner.open_request("/once/x", name, headers) as response:
            head_status, chunks, is_complete = response.status, [], True
            began_at = time.monotonic()
            try:
                while data := response.read1(65_536):
                    chunks.append(data)
            except (OSError, HTTPException):
                is_complete = False
            is_complete &= b"id: 12" in b"".join(chunks)
            row = (head_status, chunks, is_complete, began_at, time.monotonic())
            context.reads[name] = row

    calls = [
        ("other", fleet.runners[0], _prompt(FIRST, "x1")),
        ("sound", fleet.runners[1], _prompt(FIRST, "x2")),
        ("culprit", fleet.runners[0], _prompt(FIRST, BAD, "x3")),
    ]
    threads = [threading.Thread(target=read, args=call) for call in calls]
    for thread in threads[:2]:
        thread.start()
    time.sleep(0.35)
    threads[2].start()
    threads[2].join()
    context.crashed_at = context.parts.crashes[0].crashed_at
    for thread in threads:
        thread.join()


@then(
    "its response is 200 and its connection ends within {seconds:f} seconds without "
    "an event"
)
def check_culprit(context, seconds):
    status, chunks, is_complete, began_at, ended_at = context.reads["culprit"]
    assert status == 200 and not chunks and not is_complete, context.reads
    assert ended_at - began_at < seconds, ended_at - began_at


@then(
    "the stream of runner 0 broke at that moment, and the one of runner 1 is complete"
)
def check_streams(context):
    _, chunks, is_complete, _, ended_at = context.reads["other"]
    assert chunks and not is_complete, context.reads
    assert abs(ended_at - context.crashed_at) < 0.1, ended_at - context.crashed_at
    assert context.reads["sound"][2], context.reads


@then("runner 0 refuses connections for 2 to 4 seconds, and returns with a new id")
def check_return(context):
    runner = context.gateways.runners[0]
    wait_until(lambda: not _accepts(runner), 1.0, "connections are refused")
    wait_until(lambda: _accepts(runner), 5.0, "the runner is back")
    seconds = time.monotonic() - context.crashed_at
    assert 2.0 <= seconds <= 4.5, seconds
    wait_until(lambda: runner.runner_id != context.old_id, 1.0, "it has a new id")


def _accepts(runner):
    host, _, port = runner.address.partition(":")
    try:
        socket.create_connection((host, int(port)), 1.0).close()
    except ConnectionRefusedError:
        return False
    return True


class _Traffic:
    """Sends sound requests and culprits at rates, and keeps the responses' outcomes."""

    def __init__(self, fleet, node_count=NODES):
        self._fleet = fleet
        self._node_count = node_count
        self._pool = ThreadPoolExecutor(120)
        self._numbers = itertools.count()
        self.sound = []
        self.culprits = []

    def send(self, seconds, sound_rate, culprit_rate=0):
        """Send for a while, then wait for the responses; return when it began."""
        began_at = time.monotonic()
        threads = [
            threading.Thread(target=self._repeat, args=(began_at, seconds, *row))
            for row in (
                (sound_rate, self._send_sound),
                (culprit_rate, self._send_culprit),
            )
            if row[0]
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return began_at

    def close(self):
        self._pool.shutdown()

    def _repeat(self, began_at, seconds, rate, send):
        for number in range(int(seconds * rate)):
            time.sleep(max(0.0, began_at + number / rate - time.monotonic()))
            self._pool.submit(send, next(self._numbers))

    def _send_sound(self, number):
        prompt = _prompt(FIRST, SHARED[number % len(SHARED)], f"5{number:05x}")
        self._send(self.sound, f"/resume/sound-{number}", number, prompt)

    def _send_culprit(self, number):
        shared = SHARED[: number % 2]
        prompt = _prompt(FIRST, *shared, BAD, f"c{number:05x}")
        self._send(self.culprits, f"/resume/culprit-{number}", number, prompt)

    def _send(self, rows, path, number, prompt):
        sent_at = time.monotonic()
        headers = [("Model", "m"), ("Token-Count", "600,40"), ("Prompt-Prefix", prompt)]
        response = self._fleet.send(path, number % self._node_count, headers=headers)
        begins = bool(response and response.status == 200 and response.events)
        rows.append((sent_at, begins))


@when("sound requests come {rate:d} times a second for {seconds:d} seconds")
def send_sound(context, rate, seconds):
    context.rate = rate
    context.traffic = _Traffic(context.gateways)
    context.stack.callback(context.traffic.close)
    context.traffic.send(seconds, rate)


@when(
    'they go on beside requests with the part "bad", {rate:d} a second for '
    "{seconds:d} seconds"
)
def send_both(context, rate, seconds):
    traffic = context.traffic
    context.crashing_at = traffic.send(seconds, context.rate, rate)
    traffic.close()


@then(
    "at most {count:d} requests with it reach runners later than {seconds:d} s after "
    "the fifth crash"
)
def check_budget(context, count, seconds):
    crashes, arrivals = context.parts.crashes, context.parts.arrivals
    assert crashes, "no runner crashed"
    since = float("inf")
    if len(crashes) >= REFUSED_AFTER_CRASHES:
        since = crashes[REFUSED_AFTER_CRASHES - 1].crashed_at + seconds
    late = [row for row in arrivals if row.arrived_at > since]
    times = [round(c.crashed_at - context.crashing_at, 1) for c in crashes]
    text = f"{len(late)} of {len(arrivals)} reached runners late; crashes at {times} s"
    print(text)
    assert len(late) <= count, f"{text}; {_compare_sound(context)[1]}"


@then("from 6 s after it sound requests begin at least half as often as before")
def check_sound(context):
    ratio, text = _compare_sound(context)
    print(text)
    assert ratio >= SHARE_MIN, text


def _compare_sound(context):
    """Return the later share of sound requests over the earlier one, and a text."""
    crashes = context.parts.crashes[:REFUSED_AFTER_CRASHES]
    settled_at = crashes[-1].crashed_at + SETTLED_SECONDS
    rows = context.traffic.sound
    before = [begins for sent_at, begins in rows if sent_at < context.crashing_at]
    later = [begins for sent_at, begins in rows if sent_at >= settled_at]
    assert min(len(before), len(later)) >= COUNTED_MIN, (len(before), len(later))
    share, share_before = sum(later) / len(later), sum(before) / len(before)
    text = f"{sum(later)} of {len(later)} began, {sum(before)} of {len(before)} before"
    return share / share_before, text


@when("{count:d} sound requests have run")
def run_sound(context, count):
    traffic = _Traffic(context.gateways, 1)
    traffic.send(count / RUN_RATE, RUN_RATE)
    traffic.close()
    assert all(begins for _, begins in traffic.sound), traffic.sound


@when(
    'a caller streams, and its runner crashes twice under requests with the part "bad"'
)
def break_twice(context):
    fleet = context.gateways
    context.headers = [("Prompt-Prefix", _prompt(FIRST, "e001"))]
    with ThreadPoolExecutor(1) as pool:
        options = {"headers": context.headers, "request_id": STREAM_ID}
        sent = pool.submit(fleet.send, "/resume/stream", 0, **options)
        for number in range(2):
            wait_until(lambda n=number: len(_stream_runs(fleet)) > n, 3.0, "it runs")
            time.sleep(EVENTS_SECONDS)
            _, runner = _stream_runs(fleet)[number]
            _crash(runner, f"culprit-{number}")
        context.broken = sent.result()
    assert not context.broken.is_complete and context.broken.events, context.broken


@when("the caller takes the stream up where it broke")
def take_up(context):
    last = context.broken.events[-1]
    headers = [*context.headers, ("Resumes", STREAM_ID), ("Last-Event-Id", str(last))]
    context.taken_up = context.gateways.send("/resume/stream", 0, headers=headers)


@then("the stream goes on to its end")
def check_taken_up(context):
    response = context.taken_up
    events = [*context.broken.events, *response.events]
    found = (response.status, events)
    assert found == (200, list(range(1, SLOW.event_count + 1))), (*found, response.body)


def _stream_runs(fleet):
    """Return the runs of the stream with their runners, in their order."""
    rows = [
        (run.began_at, runner)
        for runner in fleet.runners
        for run in runner.runs
        if run.request_id == STREAM_ID
    ]
    return sorted(rows, key=lambda row: row[0])


def _crash(runner, name):
    headers = {"Host": HOST, "Prompt-Prefix": _prompt(FIRST, BAD, name)}
    with contextlib.suppress(OSError, HTTPException):
        with runner.open_request("/resume/culprit", name, headers) as response:
            response.read()
