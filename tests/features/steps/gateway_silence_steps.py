"""Steps for connections that fall silent without a reset."""

import contextlib
import socket
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from emulator import RunnerPlan
from emulator.fleet import wait_until
from emulator.links import Link
from gateway_calls import SLOW, runs, start

# A read may cross the listing of a result at another gateway.
READ_AGE_SECONDS = 1.0
PASS_SECONDS = 5.0
SILENT_SECONDS = 0.5


@given(
    "{nodes:d} gateways and {count:d} slow runners whose connections can fall silent"
)
@given("{nodes:d} gateway and {count:d} slow runners whose connections can fall silent")
def given_slow_links(context, nodes, count):
    start(context, nodes, [SLOW] * count, has_links=True)


@given("2 gateways and 1 runner whose connections can fall silent")
def given_links(context):
    start(context, 2, [RunnerPlan()], has_links=True)


@given(
    "3 gateways and 2 runners of {slots:d} slots and {seconds:d} seconds an item,"
    " with links"
)
def given_long_items(context, slots, seconds):
    plan = RunnerPlan(slots=slots, event_count=6, event_seconds=seconds / 6)
    start(context, 3, [plan] * 2, has_links=True)


@when("a connection through a link falls silent")
def silence_link(context):
    listener = context.stack.enter_context(socket.create_server(("127.0.0.1", 0)))
    host, port = listener.getsockname()
    context.link = context.stack.enter_context(Link(f"{host}:{port}"))
    context.listener = listener
    context.ends = open_through_link(context)
    assert context.link.silence() == 1


def open_through_link(context):
    """Return both ends of a new connection that has passed data in both directions."""
    host, port = context.link.address.split(":")
    client = socket.create_connection((host, int(port)))
    server, _ = context.listener.accept()
    for sock in (client, server):
        context.stack.enter_context(contextlib.closing(sock))
    assert is_passing(client, server) and is_passing(server, client)
    return client, server


def is_passing(sender, receiver, seconds=PASS_SECONDS):
    receiver.settimeout(seconds)
    sender.sendall(b"x")
    try:
        return receiver.recv(1) == b"x"
    except TimeoutError:
        return False


@then("it passes nothing in either direction and is not closed")
def check_silent(context):
    client, server = context.ends
    assert not is_passing(client, server, SILENT_SECONDS)
    assert not is_passing(server, client, SILENT_SECONDS)


@then("a connection that is opened later passes data")
def check_new_connection(context):
    open_through_link(context)


@when('all connections among "{kind}" fall silent')
def silence(context, kind):
    assert context.gateways.links.silence(kind), f"no connection to {kind} was open"


@when("a result is listed")
def wait_for_result(context):
    wait_until(lambda: results(context, 0), 10.0, "a result is listed")


@when("an item runs")
def wait_for_run(context):
    wait_until(lambda: runs(context), 5.0, "an item runs")


def results(context, node):
    """Return a job's results, or None if the gateway refused to tell them."""
    status, body = context.gateways.results(context.job_id, node)
    assert status in (200, 503), (status, body)
    return body["Results"] if status == 200 else None


@then("{seconds:d} seconds later every gateway lists the addresses of all gateways")
def check_directories(context, seconds):
    time.sleep(seconds)
    fleet = context.gateways
    expected = sorted(node.data for node in fleet.nodes)
    listed = [fleet.addresses(number) for number in range(len(fleet.nodes))]
    assert listed == [expected] * len(fleet.nodes), listed


@then("within {seconds:d} seconds exactly one gateway holds the job")
def check_one_holder(context, seconds):
    wait_until(lambda: len(holders(context)) == 1, seconds, "one gateway holds the job")


def holders(context):
    fleet = context.gateways
    return [
        number
        for number in range(len(fleet.nodes))
        for job in fleet.status(number)["jobs"]
        if job["job_key"].endswith(context.job_id)
    ]


@then(
    "for {seconds:d} seconds no gateway returns fewer results than any did"
    " a second before"
)
def check_never_taken_back(context, seconds):
    nodes = range(len(context.gateways.nodes))
    reads, refused = [], 0
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        for node in nodes:
            began_at = time.monotonic()
            found = results(context, node)
            if found is None:
                refused += 1
                continue
            earlier = [r for at, r in reads if at < began_at - READ_AGE_SECONDS]
            longest = max(earlier, key=len, default=[])
            assert found[: len(longest)] == longest, (
                f"gateway {node} returned {len(found)} results,"
                f" {len(longest)} were read more than a second before"
            )
            reads.append((time.monotonic(), found))
        time.sleep(0.1)
    assert len(reads) > refused, (len(reads), refused)


@when('connections to runners fall silent while a caller streams "{path}"')
def silence_stream(context, path):
    fleet = context.gateways
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(fleet.send, path, 0)
        wait_until(lambda: runs(context), 3.0, "the request runs")
        # Some of its events have passed by then.
        time.sleep(0.4)
        silenced_at = time.monotonic()
        silence(context, "runners")
        context.answers = [answer.result()]
    context.silent_seconds = time.monotonic() - silenced_at


@then("the response has the events 1 to {count:d} within {seconds:d} seconds")
def check_resumed_stream(context, count, seconds):
    (answer,) = context.answers
    assert answer.is_complete, answer
    assert answer.events == list(range(1, count + 1)), answer
    assert any(run.after_event for run in runs(context)), runs(context)
    assert context.silent_seconds < seconds, context.silent_seconds


@then(
    "it ended within {seconds:d} seconds, and the runners received one request in total"
)
def check_ended_stream(context, seconds):
    assert context.silent_seconds < seconds, context.silent_seconds
    assert len(runs(context)) == 1, runs(context)


@when('an entry "{name}" that can\'t be read is written and known to all gateways')
def write_other_entry(context, name):
    context.gateways.store.put("servers", name, {})
    known = lambda: all_know(context, name, "gone")  # noqa: E731
    wait_until(known, 2.0, "the entry is known")


@then("within {seconds:d} seconds all gateways know that runner 0 is draining")
def check_known_draining(context, seconds):
    runner_id = context.gateways.runners[0].runner_id
    known = lambda: all_know(context, runner_id, "draining")  # noqa: E731
    wait_until(known, float(seconds), "all gateways know")


def all_know(context, name, state):
    """Return whether each gateway has logged a state of an endpoint."""
    return all(
        any(
            line["event"] == "endpoint changed"
            and (line["endpoint_id"], line["state"]) == (name, state)
            for line in node.log_lines()
        )
        for node in context.gateways.nodes
    )


@when("the entry of runner 0 is removed")
def remove_entry(context):
    fleet = context.gateways
    fleet.store.remove("servers", fleet.runners[0].runner_id)


@then('within {seconds:d} seconds all gateways refuse "{path}" with {status:d}')
def check_all_refuse(context, seconds, path, status):
    fleet = context.gateways
    nodes = range(len(fleet.nodes))
    refused = lambda: all(fleet.send(path, n).status == status for n in nodes)  # noqa: E731
    wait_until(refused, float(seconds), "all gateways refuse the path")


@then("each gateway has renewed {count:d} watches")
def check_renewed(context, count):
    fleet = context.gateways
    for number in range(len(fleet.nodes)):
        lines = fleet.metrics(number).splitlines()
        renewed = [line for line in lines if '"watch renewed"' in line]
        assert sum(float(line.split()[-1]) for line in renewed) == count, renewed


@then("the metrics of each gateway tell the newest version of the configuration")
def check_version_metric(context):
    fleet = context.gateways
    for number in range(len(fleet.nodes)):
        lines = fleet.metrics(number).splitlines()
        values = [
            float(line.split()[-1])
            for line in lines
            if line.startswith("sequoiaglade_gateway_configuration_version")
        ]
        assert values == [fleet.configuration_version], values
