"""Steps for fleet-wide rate and burst limits."""

import signal
import sys
import threading
import time
import uuid
from pathlib import Path
from random import Random

import urllib3
from behave import given, then, when

from sequoiaglade_bench.limits_fleet import FakeFleet
from sequoiaglade_bench.limits_traffic import Traffic
from sequoiaglade_decisions.limits import (
    Allotment,
    GrantRequest,
    Nonce,
    Poll,
    PoolGrant,
    Timing,
    group_of,
    make_holder,
    share_of_burst,
)
from sequoiaglade_decisions.limits.entitlement import Entitlement
from sequoiaglade_node.calls import PeerServer
from sequoiaglade_node.peers.limits import LimitsPeers, LimitsServicer
from sequoiaglade_protocol import limits_pb2_grpc
from sequoiaglade_standins.fleet import EndpointPlan, Fleet
from sequoiaglade_standins.ports import PortBlock
from sequoiaglade_standins.samples import RESTOCKERS_MODEL, restockers_document

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
from soak.limits import LIMITS, Simulation  # noqa: E402

SETTLE_SECONDS = 40.0
GRANT = PoolGrant(7, 3, 0.0)
DEADLINE_SECONDS = 10.0
REQUEST_INTERVAL_SECONDS = 0.1
OK = 200
TOLERANCE = 1e-6


@given("{nodes:d} limits machines on seed {seed:d}")
def start_faulty_run(context, nodes, seed):
    context.simulation = Simulation(seed, nodes)
    context.machines = context.simulation.fleet


@when("{minutes:d} minutes of traffic and faults are simulated")
def run_faults(context, minutes):
    context.simulation.run(minutes * 60)


@then("no time window admits more than burst and rate allow")
def check_overrun(context):
    assert context.machines.overrun() <= TOLERANCE, context.machines.overrun()


@then("requests were admitted")
def check_some_admitted(context):
    admitted = {o.workspace for o in context.machines.outcomes if o.admitted}
    assert admitted == set(LIMITS), admitted


@given("{nodes:d} limits machines in steady state")
def start_settled(context, nodes):
    context.machines = FakeFleet(7, nodes, LIMITS)
    context.machines.events.run_until(SETTLE_SECONDS)
    context.random = Random(7)
    context.settled_at = context.machines.events.now
    context.settled_polls = context.machines.polls


def start_traffic(context, seconds, workspace, factor, conforming=False):
    fleet = context.machines
    Traffic(fleet, context.random, workspace, factor, seconds, conforming)


def refusals(context):
    return [o for o in context.machines.outcomes if not o.admitted]


@when("{seconds:d} s of traffic within the rate arrive, half of it at one node")
def send_within_rate(context, seconds):
    fleet = context.machines
    context.idle_calls = count_calls(fleet, seconds)
    for workspace in LIMITS:
        start_traffic(context, seconds, workspace, 0.9, conforming=True)
    context.busy_calls = count_calls(fleet, seconds)


def count_calls(fleet, seconds):
    before = fleet.platform.calls
    fleet.events.run_until(fleet.events.now + seconds)
    return fleet.platform.calls - before


@then("none of the traffic was refused")
def check_none_refused(context):
    assert len(context.machines.outcomes) > 1000
    assert not refusals(context), refusals(context)


@then("the platform got no more calls than in {seconds:d} s without traffic")
def check_calls(context, seconds):
    slack = len(context.machines.nodes) * 3
    assert context.busy_calls <= context.idle_calls + slack, context.busy_calls


@when("the platform is down for {seconds:d} s under five times the rate")
def stop_fake_platform(context, seconds):
    context.machines.platform.down = True
    context.seconds = seconds
    start_traffic(context, seconds, "hays", 5.0)
    context.machines.events.run_until(context.machines.events.now + seconds)


@then("the fleet admitted at least {fraction:g} of the rate")
def check_admitted_fraction(context, fraction):
    admitted = sum(o.admitted for o in context.machines.outcomes)
    expected = fraction * LIMITS["hays"].rate * context.seconds
    assert admitted >= expected, (admitted, expected)


@when("the pool node of hays is frozen for {seconds:d} s under five times the rate")
def freeze_pool(context, seconds):
    fleet = context.machines
    pool = pool_of_hays(context)
    start_traffic(context, 30 + seconds, "hays", 5.0)
    fleet.events.run_until(fleet.events.now + 5)
    fleet.set_frozen(pool, True)
    fleet.events.run_until(fleet.events.now + seconds)
    fleet.set_frozen(pool, False)
    fleet.events.run_until(fleet.events.now + 25)
    recent = [o for o in fleet.outcomes if o.at > fleet.events.now - 10 and o.admitted]
    assert recent, "no request was admitted after the node resumed"


@given("a holder whose renewal was written but its answer was lost")
def lose_renewal_answer(context):
    timing = Timing(entitlement_seconds=40.0, renewal_seconds=8.0)
    context.holder, context.other = (
        Entitlement(make_holder(name, None, name, name, 1), timing)
        for name in ("node-a", "node-b")
    )
    entered = context.holder.plan(Allotment({}), 0, None, 0.0)
    context.holder.note_written(entered, 1, 0.0, 0.0)
    renewed = context.holder.plan(entered, 1, None, 9.0)
    context.other.plan(renewed, 2, None, 9.5)


@when("its entry is removed after a long outage and it re-enters")
def re_enter(context):
    context.entered = context.holder.plan(Allotment({}), 3, None, 70.0)
    context.holder.note_written(context.entered, 4, 70.0, 70.0)
    assert context.holder.slots(70.5)


@then("a node that saw the renewal keeps the new entry")
def check_entry_kept(context):
    planned = context.other.plan(context.entered, 4, None, 70.5)
    own = context.entered.holder_by_id["node-a"]
    assert planned.holder_by_id.get("node-a") == own, planned


@then("at most {count:d} nodes own a share")
def check_holders(context, count):
    nodes = context.machines.nodes
    holders = [n.node_id for n in nodes if n.machine.entitlement.slots(n.now)]
    assert 0 < len(holders) <= count, holders


@then("all nodes together sent at most {count:d} polls per second")
def check_polls(context, count):
    seconds = context.machines.events.now - context.settled_at
    polls = context.machines.polls - context.settled_polls
    assert 0 < polls <= count * seconds, polls / seconds


def pool_of_hays(context):
    """Return the id of the pool node of hays, as the first node knows it."""
    node = context.machines.nodes[0]
    return node.machine.pool_by_group(node.now)[group_of("hays")]


def stop_pool_under_load(context, stop):
    """Call `stop` with the id of the pool node of hays under load; return when."""
    fleet = context.machines
    pool = pool_of_hays(context)
    start_traffic(context, 30, "hays", 5.0)
    fleet.events.run_until(fleet.events.now + 5)
    stopped_at = fleet.events.now
    stop(pool)
    fleet.events.run_until(fleet.events.now + 20)
    return stopped_at


@when("the pool node of hays is killed under five times the rate")
def kill_pool(context):
    context.killed_at = stop_pool_under_load(context, context.machines.kill)


@when("the pool node of hays stops as planned under five times the rate")
def stop_pool(context):
    node_by_id = context.machines.network.node_by_id
    context.stopped_at = stop_pool_under_load(
        context, lambda pool: node_by_id[pool].leave()
    )


@when("the pool node of hays leaves but still answers polls")
def leave_and_answer(context):
    nodes = {node.node_id: node for node in context.machines.nodes}
    context.left_id = pool_of_hays(context)
    left = nodes.pop(context.left_id)
    context.others = list(nodes.values())
    left.machine.leave(left.now)
    for node_id, poll in left.machine.tick(left.now):
        nodes[node_id].answer(poll)
    for node in context.others:
        name = node.node_id
        poll = Poll(name, name, name, Nonce(node.start, node.now), ())
        node.machine.take_cession(left.answer(poll), node.now)


@then("one other node claims the group of hays in its next polls")
def check_claimed(context):
    group = group_of("hays")
    claims = {
        node.node_id
        for node in context.others
        for _, poll in node.machine.tick(node.now + Timing().poll_seconds)
        if group in poll.groups
    }
    assert len(claims) == 1, claims


@then("hays gets {fraction:g} of its rate from {start:d} s to {end:d} s after the stop")
def check_rate_after_stop(context, fraction, start, end):
    """The holders' leases to the stopped node block their slots a little over 3 s."""
    since = [o.at - context.stopped_at for o in context.machines.outcomes if o.admitted]
    admitted = sum(start <= at < end for at in since)
    assert admitted >= fraction * LIMITS["hays"].rate * (end - start), admitted


@then("nodes without a share admit requests again within {seconds:d} s")
def check_non_holders_served(context, seconds):
    fleet = context.machines
    non_holders = {n.node_id for n in fleet.nodes if n.machine.is_non_holder}
    end = context.killed_at + seconds
    served = [
        o.at
        for o in fleet.outcomes
        if o.admitted and o.node_id in non_holders and o.at > end
    ]
    expected = 0.5 * LIMITS["hays"].rate * (fleet.events.now - end)
    assert len(served) >= expected, (len(served), expected)


@when("a node without a share of pratt's burst is partitioned")
def partition_node(context):
    fleet = context.machines
    holders = [n for n in fleet.nodes if burst_of(n, "pratt")]
    assert len(holders) == 1, holders
    context.holder_id = holders[0].node_id
    context.isolated = next(n for n in fleet.nodes if n is not holders[0])
    others = [n.node_id for n in fleet.nodes if n is not context.isolated]
    fleet.cut(context.isolated.node_id, others)
    fleet.platform.cut_ids.add(context.isolated.node_id)
    fleet.events.run_until(fleet.events.now + 20)
    fleet.request(context.isolated.node_id, "pratt")


def burst_of(node, workspace):
    slots = node.machine.entitlement.slots(node.now)
    return share_of_burst(workspace, LIMITS[workspace].burst, slots)


@then("it refuses pratt and names the entry of the node with the share")
def check_entry(context):
    assert not context.machines.outcomes[-1].admitted
    node = context.isolated
    assert node.machine.better_entry("pratt", node.now) == context.holder_id


@when("each node in turn is killed and restarted under five times the rate")
def restart_each(context):
    fleet = context.machines
    for node in fleet.nodes:
        start_traffic(context, 4, "hays", 5.0)
        fleet.events.run_until(fleet.events.now + 2)
        fleet.kill(node.node_id)
        fleet.events.run_until(fleet.events.now + 0.2)
        fleet.start_node(node.node_id)
        fleet.events.run_until(fleet.events.now + 2)


class Sender:
    """Sends one workspace's requests to a fleet's nodes in turn, from threads."""

    def __init__(self, fleet, workspace, per_second):
        self._fleet = fleet
        self._key = fleet.key_by_workspace[workspace]
        self._pause = 1.0 / per_second
        self._stopped = threading.Event()
        self._pool = urllib3.PoolManager(maxsize=512, retries=False, timeout=20.0)
        self._threads = []
        self.sent = []
        self.answers = []

    def __enter__(self):
        self._main = threading.Thread(target=self._run)
        self._main.start()
        return self

    def __exit__(self, *exc_info):
        self._stopped.set()
        self._main.join()
        for thread in self._threads:
            thread.join()

    def _run(self):
        number = 0
        while not self._stopped.wait(self._pause):
            node = self._fleet.nodes[number % len(self._fleet.nodes)]
            number += 1
            thread = threading.Thread(target=self._send, args=(node,))
            thread.start()
            self._threads.append(thread)

    def _send(self, node):
        request_id = uuid.uuid4().hex
        sent_at = time.monotonic()
        self.sent.append((request_id, sent_at))
        headers = {"Authorization": f"Bearer {self._key}", "X-Request-Id": request_id}
        body = {"model": RESTOCKERS_MODEL, "prompt": "stock?", "max_tokens": 1}
        try:
            answer = self._pool.request(
                "POST", f"{node.url}/v1/completions", json=body, headers=headers
            )
        except urllib3.exceptions.HTTPError:
            return
        done_at = time.monotonic()
        self.answers.append((request_id, sent_at, done_at, answer.status))


@given(
    "a limited fleet of {count:d} nodes, hays at 20 requests per second and burst 10"
)
def start_limited_fleet(context, count):
    document = restockers_document()
    document["rates"] = {"hays": {"rate": 20, "burst": 10}}
    plans = [EndpointPlan("runner-0", RESTOCKERS_MODEL, slots=64, token_seconds=0.001)]
    context.fleet = context.stack.enter_context(Fleet(count, plans, document))


@when("hays sends five times its rate while nodes are frozen, killed and resumed")
def send_through_faults(context):
    fleet = context.fleet
    with Sender(fleet, "hays", 100) as sender:
        context.started_at = time.monotonic()
        time.sleep(3.0)
        fleet.nodes[1].process.send(signal.SIGSTOP)
        time.sleep(1.0)
        fleet.nodes[2].process.kill()
        fleet.set_platform_faults(down=True)
        time.sleep(6.0)
        fleet.nodes[1].process.send(signal.SIGCONT)
        time.sleep(3.0)
        fleet.set_platform_faults()
        time.sleep(2.0)
    context.sender = sender


@then("the responses show no time window above burst and rate")
def check_windows(context):
    """Check each time window from the sending of a request to a later response.

    A request that was sent and answered within a window was admitted within it. A
    request that an endpoint ran, but that got no response, counts as answered now.
    """
    end = time.monotonic()
    intervals = [(s, d) for _, s, d, status in context.sender.answers if status == 200]
    answered = {request_id for request_id, *_ in context.sender.answers}
    run = {record["request_id"] for record in context.fleet.runs()}
    intervals += [
        (sent_at, end)
        for request_id, sent_at in context.sender.sent
        if request_id in run - answered
    ]
    for start, _ in intervals:
        ends = sorted(done for sent, done in intervals if sent >= start)
        for count, stop in enumerate(ends, 1):
            most = 10 + 20 * (stop - start)
            assert count <= most, f"{count} in {stop - start:.3f} s"


@then("hays was served before, during and after the faults")
def check_served(context):
    seconds = [
        done - context.started_at
        for _, _, done, status in context.sender.answers
        if status == 200
    ]
    for start, stop in ((0, 3), (4, 10), (10.5, 15)):
        served = sum(start <= second < stop for second in seconds)
        assert served > 5, f"{served} served from {start} s to {stop} s"


@when("each node has served a request of hays within {seconds:d} s")
def wait_until_served(context, seconds):
    deadline = time.monotonic() + seconds
    for node in context.fleet.nodes:
        while (answer := send_hays_request(context, node)).status != OK:
            assert time.monotonic() < deadline, (node.url, answer.data)
            time.sleep(REQUEST_INTERVAL_SECONDS)


@then("each node serves {count:d} requests of hays within its rate")
def check_each_serves(context, count):
    started_at = time.monotonic()
    refusals = []
    for _ in range(count):
        for node in context.fleet.nodes:
            time.sleep(REQUEST_INTERVAL_SECONDS)
            sent_at = time.monotonic()
            answer = send_hays_request(context, node)
            if answer.status != OK:
                took = time.monotonic() - sent_at
                at = sent_at - started_at
                refusals.append((node.node_id, at, took, answer.status, answer.data))
    assert not refusals, refusals


def send_hays_request(context, node):
    return urllib3.request(
        "POST",
        f"{node.url}/v1/completions",
        json={"model": RESTOCKERS_MODEL, "prompt": "stock?", "max_tokens": 1},
        headers={"Authorization": f"Bearer {context.fleet.key_by_workspace['hays']}"},
        retries=False,
        timeout=20.0,
    )


@given("a node that issues grants over its peer server")
def start_grant_server(context):
    servicer = LimitsServicer(None, lambda request: GRANT)
    service = (limits_pb2_grpc.add_LimitsServicer_to_server, servicer)
    (port,) = context.stack.enter_context(PortBlock()).take(1)
    context.address = f"127.0.0.1:{port}"
    context.stack.enter_context(PeerServer(context.address, [service]))


@when("another node connects to it and requests a grant")
def connect_and_ask(context):
    context.threads_before = set(threading.enumerate())
    peers = context.stack.enter_context(LimitsPeers())
    peers.connect([context.address])
    deadline = time.monotonic() + DEADLINE_SECONDS
    context.grant = None
    while context.grant is None and time.monotonic() < deadline:
        context.grant = peers.ask(context.address, GrantRequest("node-b", "hays", 3))


@then("it gets the grant and no thread of the connection remains")
def check_no_threads(context):
    assert context.grant == GRANT, context.grant
    deadline = time.monotonic() + DEADLINE_SECONDS
    while left := remaining_threads(context):
        assert time.monotonic() < deadline, left
        time.sleep(0.05)


def remaining_threads(context):
    found = set(threading.enumerate()) - context.threads_before
    return [thread for thread in found if not thread.name.startswith("peer")]
