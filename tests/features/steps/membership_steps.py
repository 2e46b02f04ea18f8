"""Steps on nodes that start, stop, freeze and restart under load."""

import itertools
import json
import random
import signal
import threading
import time
import uuid
from collections import Counter

import urllib3
from behave import given, then, when
from online_calls import wait_until

from sequoiaglade_decisions.membership import (
    MARKS_PER_MESSAGE,
    Entry,
    Mark,
    MarkKind,
    PeerState,
    choose_entries,
)
from sequoiaglade_node.actors.timers import Timer
from sequoiaglade_node.peers.codec import encode_digest
from sequoiaglade_standins.samples import RESTOCKERS_MODEL

STREAM_TOKENS = 400
STOP_SECONDS = 15.0
MIXED_STREAM_TOKENS = 60
CALL_KINDS = ("whole", "streamed", "unrepeatable")
PAUSE_SECONDS = 0.02
CALL_PAUSE_SECONDS = 0.1
STREAM_COUNT = 4
MIN_RESULTS = 50
# Bounds the waits for the calls that a scenario needs.
CALLS_SECONDS = 30.0


class Callers:
    """Threads that send requests as callers do; a context manager.

    Each requests the entries, keeps them for as long as the answer allows, and sends
    to one of them. With `only`, a caller uses that address while it is an entry, and
    the others after that. With `mixed`, it alternates between whole calls, streams and
    calls that may not be repeated.
    """

    def __init__(self, fleet, count, only=None, mixed=False):
        self._fleet = fleet
        self._only = only
        self._kinds = itertools.cycle(CALL_KINDS if mixed else CALL_KINDS[:1])
        self._stopped = threading.Event()
        self._threads = [threading.Thread(target=self._run) for _ in range(count)]
        self.results = {}

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    @property
    def are_calling(self):
        """Whether the threads still send requests."""
        return not self._stopped.is_set()

    def send(self, http, url, tokens=3, stream=False, kind="whole"):
        """Send one request and record its outcome under its id."""
        request_id = f"{kind}-{uuid.uuid4().hex}"
        path = "/orders/1" if kind == "unrepeatable" else "/v1/chat/completions"
        body = {"model": RESTOCKERS_MODEL, "max_tokens": tokens, "stream": stream}
        body["messages"] = [{"role": "user", "content": "Which kiosks run short?"}]
        key = self._fleet.key_by_workspace["salina"]
        headers = {"Authorization": f"Bearer {key}", "X-Request-Id": request_id}
        headers["Content-Type"] = "application/json"
        try:
            answer = http.request(
                "POST",
                url + path,
                body=json.dumps(body),
                headers=headers,
            )
            whole = not stream or answer.data.rstrip().endswith(b"data: [DONE]")
            outcome = answer.status if whole else "cut"
            self.results[request_id] = (outcome, answer.data[:200] * (outcome != 200))
        except urllib3.exceptions.HTTPError as error:
            self.results[request_id] = ("lost", f"{url}: {error!r}")

    def _run(self):
        http = urllib3.PoolManager(retries=False, timeout=20.0)
        urls, keep_until = [], 0.0
        while not self._stopped.is_set():
            if time.monotonic() > keep_until:
                urls, keep_until = self._entries(http, urls)
            url = self._only if self._only in urls else random.choice(urls)
            kind = next(self._kinds)
            tokens = MIXED_STREAM_TOKENS if kind == "streamed" else 3
            self.send(http, url, tokens, kind == "streamed", kind)
            time.sleep(CALL_PAUSE_SECONDS)

    def _entries(self, http, urls):
        asked_at = time.monotonic()
        for url in [*urls, *(node.url for node in self._fleet.nodes)]:
            try:
                answer = json.loads(http.request("GET", f"{url}/v1/entries").data)
            except urllib3.exceptions.HTTPError:
                continue
            found = [entry["url"] for entry in answer["entries"]]
            if found:
                return found, asked_at + answer["keep_seconds"]
        raise AssertionError("no node gave entries")


@when("callers send requests and 4 s streams, some to node 1 alone")
def start_callers(context):
    fleet = context.fleet
    context.callers = [Callers(fleet, 3), Callers(fleet, 3, only=fleet.nodes[1].url)]
    for callers in context.callers:
        context.stack.enter_context(callers)
    time.sleep(1.0)
    http = urllib3.PoolManager(retries=False, timeout=20.0, maxsize=8)
    stream = (http, fleet.nodes[1].url, STREAM_TOKENS, True, "long")
    context.streams = [
        threading.Thread(target=context.callers[0].send, args=stream)
        for _ in range(STREAM_COUNT)
    ]
    for thread in context.streams:
        thread.start()
    run_count = lambda: sum(  # noqa: E731
        run["request_id"].startswith("long") for run in fleet.runs()
    )
    wait_until(lambda: run_count() == STREAM_COUNT, CALLS_SECONDS, "streams run")


@when("node 1 gets SIGTERM meanwhile")
def send_sigterm(context):
    process = context.fleet.nodes[1].process
    process.send(signal.SIGTERM)
    deadline = time.monotonic() + STOP_SECONDS
    while process.is_running and time.monotonic() < deadline:
        time.sleep(PAUSE_SECONDS)
    context.stopped_at = time.monotonic()


@then("node 1 exits with code 0 after its streams have ended")
def check_exit(context):
    assert context.fleet.nodes[1].process.exit_code == 0
    for thread in context.streams:
        thread.join(1.0)
        assert not thread.is_alive(), "a stream was still open after its node exited"


@then("no request was lost, truncated or run twice")
def check_results(context):
    result_count = lambda: sum(len(c.results) for c in context.callers)  # noqa: E731
    if any(callers.are_calling for callers in context.callers):
        wait_until(lambda: result_count() > MIN_RESULTS, CALLS_SECONDS, "more results")
    for callers in context.callers:
        callers.__exit__()
    results = {i: r for callers in context.callers for i, r in callers.results.items()}
    wrong = [result for result in results.values() if result[0] != 200]
    assert len(results) > MIN_RESULTS and not wrong, (
        len(results),
        len(wrong),
        wrong[:3],
    )
    counts = Counter(run["request_id"] for run in context.fleet.runs())
    doubled = [i for i in results if counts[i] != 1]
    assert not doubled, doubled[:3]


@when("member {node:d} is killed")
def kill_node(context, node):
    context.fleet.nodes[node].process.kill()


@when("member {node:d} is frozen")
def freeze_node(context, node):
    process = context.fleet.nodes[node].process
    process.send(signal.SIGSTOP)
    context.stack.callback(process.send, signal.SIGCONT)


@when("member {node:d} is resumed")
def resume_node(context, node):
    context.fleet.nodes[node].process.send(signal.SIGCONT)


@then("the entries of node {asked:d} lack node {node:d} within {seconds:d} s")
def check_not_listed(context, asked, node, seconds):
    await_entries(context.fleet, asked, node, seconds, False)


@then("the entries of node {asked:d} have node {node:d} within {seconds:d} s")
def check_listed(context, asked, node, seconds):
    await_entries(context.fleet, asked, node, seconds, True)


def await_entries(fleet, asked, node, seconds, is_listed):
    deadline = time.monotonic() + seconds
    url = f"{fleet.nodes[asked].url}/v1/entries"
    while time.monotonic() < deadline:
        entries = json.loads(fleet.http.request("GET", url).data)["entries"]
        if (fleet.nodes[node].url in [entry["url"] for entry in entries]) == is_listed:
            return
        time.sleep(PAUSE_SECONDS)
    raise AssertionError(entries)


@when(
    "the nodes are restarted one by one under non-streamed, streamed and"
    " unrepeatable calls"
)
def restart_all(context):
    fleet = context.fleet
    context.callers = [Callers(fleet, 9, mixed=True)]
    context.exit_codes = []
    with context.callers[0]:
        for node in fleet.nodes:
            node.process.stop()
            context.exit_codes.append(node.process.exit_code)
            node.process.start()
            fleet.await_url(f"{node.control_url}/readyz", node.process)
        time.sleep(1.0)


@then("every node stopped with code 0")
def check_exit_codes(context):
    assert set(context.exit_codes) == {0}, context.exit_codes


@then(
    "the entries of each node are the {count:d} advertised ones, for callers and "
    "operators"
)
def check_advertised(context, count):
    fleet = context.fleet
    wanted = sorted((node.url, node.control_url) for node in fleet.nodes)
    assert len(wanted) == count
    for node in fleet.nodes:
        for url in (node.url, node.control_url):
            await_urls(fleet, f"{url}/v1/entries", wanted)


def await_urls(fleet, url, wanted):
    deadline = time.monotonic() + STOP_SECONDS
    found = None
    while found != wanted:
        assert time.monotonic() < deadline, found
        entries = json.loads(fleet.http.request("GET", url).data)["entries"]
        found = sorted((entry["url"], entry["control_url"]) for entry in entries)
        time.sleep(PAUSE_SECONDS)


@then("at least {count:d} calls of each kind were made")
def check_kinds(context, count):
    counts = Counter(i.split("-")[0] for c in context.callers for i in c.results)
    assert all(counts[kind] >= count for kind in CALL_KINDS), counts


@then("a caller gets at most 8 of 370 nodes and callers are spread over them")
def check_choice(context):
    domains = [f"domain-{number}" for number in range(7)]
    nodes = [Entry(f"n-{i}", domains[i % 7], "", "") for i in range(370)]
    rng = random.Random(1)
    firsts = set()
    for _ in range(400):
        chosen = choose_entries(nodes, "domain-0", rng)
        assert len(chosen) == 8 and chosen[0].failure_domain == "domain-0", chosen
        assert len({entry.failure_domain for entry in chosen}) > 1, chosen
        firsts.add(chosen[0].node_id)
    assert len(firsts) > 40, len(firsts)


@then("a digest of the largest content has at most 1024 bytes")
def check_digest(context):
    in_flight = {f"runner-{number:04d}": (500, 500) for number in range(1900)}
    now = time.time_ns()
    state = PeerState("node-000", now, 2**31, True, 2**20, 1e4, in_flight, 1e4)
    marks = [
        Mark(f"node-{number:03d}", now, MarkKind.FAILED, 1e4)
        for number in range(MARKS_PER_MESSAGE)
    ]
    size = encode_digest(state, marks).ByteSize()
    assert size <= 1024, size


@then("{count:d} simulated fleets converge on the usable nodes")
def run_simulated_fleets(context, count):
    from membership import run_fleet

    for seed in range(count):
        assert run_fleet(seed).message_count


@given("a timer whose function raises at its first call")
def start_raising_timer(context):
    context.calls = 0
    context.called_again = threading.Event()

    def call():
        context.calls += 1
        if context.calls == 1:
            raise ValueError("unexpected")
        context.called_again.set()

    context.timer = context.stack.enter_context(Timer(0.01, call, "raising"))


@then("the function is called again within {seconds:d} s")
def check_called_again(context, seconds):
    assert context.called_again.wait(seconds), context.calls


@then("the timer's thread ends with its owner")
def check_thread_ends(context):
    context.stack.close()
    assert not any(thread.name == "raising" for thread in threading.enumerate())
