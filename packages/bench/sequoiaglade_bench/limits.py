"""Refusals within the rate for each design of the limits, and their cost per node."""

import time
import tracemalloc
from random import Random

from sequoiaglade_decisions.limits import (
    MAX_HOLDERS,
    SLOT_COUNT,
    Allotment,
    GrantRequest,
    PoolGrant,
    Reserve,
    group_of,
    make_holder,
    slot_set,
)
from sequoiaglade_node.peers.limits_codec import (
    encode_cession,
    encode_grant,
    encode_poll,
    encode_request,
)

from .limits_designs import CounterNode, PooledNode, SplitNode
from .limits_fleet import FakeFleet, FakeLimit
from .limits_traffic import FAVOURED_NODE, Traffic

NODE_COUNT = 8
LIMITS = {
    "salina": FakeLimit(200.0, 200),
    "hays": FakeLimit(20.0, 10),
    "pratt": FakeLimit(5.0, 1),
    "dodge": FakeLimit(2.0, 3),
    "trial-a": FakeLimit(20.0, 10),
}
EXCESSIVE_WORKSPACE = "trial-a"
DESIGNS = {"pooled": PooledNode, "split": SplitNode, "counter": CounterNode}
INSIDE_FACTOR = 0.9
EXCESS_FACTOR = 5.0
SETTLE_SECONDS = 40.0
LARGE_FLEET_SETTLE_SECONDS = 20.0
TRAFFIC_SECONDS = 120.0
FAILURE_SECONDS = 20.0
WINDOW_SECONDS = 0.5
RECOVERED_FRACTION = 0.7
SIZES = ((8, 50), (50, 250), (370, 1000))
REPEATS = 2000
MICROS = 1_000_000


def run(options):
    """Return refusals and failure effects of each design, and costs by fleet size."""
    return {
        "steady": {n: steady(d, options.seed) for n, d in DESIGNS.items()},
        "pool_killed": {n: failure(d, options.seed) for n, d in DESIGNS.items()},
        "slopes": [slopes(nodes, names) for nodes, names in SIZES],
    }


def steady(design, seed):
    """Return requests and refusals by workspace; one sends five times its rate."""
    fleet = _settled_fleet(design, seed)
    calls, grant_requests, polls = (
        fleet.platform.calls,
        fleet.grant_requests,
        fleet.polls,
    )
    random = Random(seed)
    for workspace in LIMITS:
        is_inside = workspace != EXCESSIVE_WORKSPACE
        factor = INSIDE_FACTOR if is_inside else EXCESS_FACTOR
        Traffic(fleet, random, workspace, factor, TRAFFIC_SECONDS, is_inside)
    fleet.events.run_until(fleet.events.now + TRAFFIC_SECONDS + 1)
    counts = {name: {"requests": 0, "refused": 0} for name in LIMITS}
    for outcome in fleet.outcomes:
        counts[outcome.workspace]["requests"] += 1
        counts[outcome.workspace]["refused"] += not outcome.admitted
    node_seconds = NODE_COUNT * TRAFFIC_SECONDS
    return {
        "by_workspace": counts,
        "overrun": round(fleet.overrun(), 6),
        "asks_per_node_second": round(
            (fleet.grant_requests - grant_requests) / node_seconds, 2
        ),
        "polls_per_node_second": round((fleet.polls - polls) / node_seconds, 2),
        "platform_calls_per_second": round(
            (fleet.platform.calls - calls) / TRAFFIC_SECONDS, 2
        ),
    }


def failure(design, seed):
    """Return for how long the throughput of workspace hays drops after a node failure.

    The killed node is the pool node of hays, the counter node, or with the split design
    any node. Windows of half a second in which less than 0.7 of the rate is admitted
    count as reduced.
    """
    fleet = _settled_fleet(design, seed)
    killed_id = _node_to_kill(fleet)
    Traffic(fleet, Random(seed), "hays", EXCESS_FACTOR, FAILURE_SECONDS)
    fleet.events.run_until(fleet.events.now + 2)
    killed_at = fleet.events.now
    fleet.kill(killed_id)
    fleet.events.run_until(killed_at + FAILURE_SECONDS - 2)
    admitted = [o.at - killed_at for o in fleet.outcomes if o.admitted]
    expected = LIMITS["hays"].rate * WINDOW_SECONDS * RECOVERED_FRACTION
    windows = int((FAILURE_SECONDS - 2) / WINDOW_SECONDS)
    counts = [
        sum(number <= at / WINDOW_SECONDS < number + 1 for at in admitted)
        for number in range(windows)
    ]
    reduced = [number for number, count in enumerate(counts) if count < expected]
    return {
        "seconds_reduced": len(reduced) * WINDOW_SECONDS,
        "seconds_with_none": counts.count(0) * WINDOW_SECONDS,
        "last_reduced_at": (reduced[-1] + 1) * WINDOW_SECONDS if reduced else 0.0,
        "overrun": round(fleet.overrun(), 6),
    }


def slopes(node_count, workspace_count):
    """Return CPU time, message sizes and memory at one fleet size."""
    limits = {f"w{n}": FakeLimit(50.0, 50) for n in range(workspace_count)}
    fleet = FakeFleet(1, node_count, limits)
    _assign_evenly(fleet)
    fleet.platform.down = True
    started_at = time.process_time()
    fleet.events.run_until(LARGE_FLEET_SETTLE_SECONDS)
    cpu_seconds = time.process_time() - started_at
    polls = [
        (node, peer, poll)
        for node in fleet.nodes
        for peer, poll in node.machine.tick(node.now + 2.0)
    ]
    node, peer, poll = max(polls, key=lambda entry: len(entry[2].groups))
    lender = fleet.network.node_by_id[peer]
    cession = lender.answer(poll)
    request = GrantRequest("node-1", "w0", 3, ((1, 0),))
    pool = fleet.network.node_by_id[
        node.machine.pool_by_group(node.now)[group_of("w0")]
    ]
    grant = pool.machine.grant(request, pool.now)
    return {
        "nodes": node_count,
        "workspaces": workspace_count,
        "all_cpu_percent_of_core_per_node": round(
            100 * cpu_seconds / LARGE_FLEET_SETTLE_SECONDS / node_count, 3
        ),
        "polls_per_node_second": round(
            fleet.polls / LARGE_FLEET_SETTLE_SECONDS / node_count, 2
        ),
        "polls_per_second_of_the_busiest": round(
            max(n.polls_sent + n.polls_answered for n in fleet.nodes)
            / LARGE_FLEET_SETTLE_SECONDS,
            2,
        ),
        "cpu_us": {
            "admit_from_reserve": _reserve_admit_cost(),
            "grant_at_pool": _cpu_micros(lambda: pool.machine.grant(request, pool.now)),
            "answer_poll": _cpu_micros(lambda: lender.answer(poll)),
            "take_cession": _cpu_micros(
                lambda: node.machine.take_cession(cession, 0.0)
            ),
            "tick": _cpu_micros(lambda: node.machine.tick(node.now)),
        },
        "bytes": {
            "poll": encode_poll(poll).ByteSize(),
            "cession": encode_cession(cession).ByteSize(),
            "grant_request": encode_request(request).ByteSize(),
            "grant": encode_grant(grant).ByteSize(),
            "allotment": fleet.platform.size(),
        },
        "reserve_bytes_per_workspace": _reserve_bytes(workspace_count),
    }


def _settled_fleet(design, seed):
    fleet = FakeFleet(seed, NODE_COUNT, LIMITS, design)
    fleet.events.run_until(SETTLE_SECONDS)
    return fleet


def _assign_evenly(fleet):
    """Assign each holder its fair share in one write instead of many small ones."""
    holders = {}
    nodes = fleet.nodes[:MAX_HOLDERS]
    for number, node in enumerate(nodes):
        start = number * SLOT_COUNT // len(nodes)
        stop = (number + 1) * SLOT_COUNT // len(nodes)
        name = node.node_id
        holder = make_holder(name, name, name, name, node.start)
        slots = slot_set([(start, stop)])
        holders[name] = holder._replace(slots=slots, renewal=1)
    allotment = Allotment(holders)
    fleet.platform.replace(allotment)
    for node in fleet.nodes:
        node.machine.allotment_written(allotment, 1, node.now, node.now)


def _node_to_kill(fleet):
    node = fleet.nodes[-1]
    if isinstance(node, PooledNode):
        pool = node.machine.pool_by_group(node.now)[group_of("hays")]
        return pool if pool != FAVOURED_NODE else "node-1"
    return fleet.first_node_id if isinstance(node, CounterNode) else "node-1"


def _reserve_admit_cost():
    reserve = Reserve("node-0", 3600.0)
    reserve.add("w0", "node-1", PoolGrant(1, 10 * REPEATS, 0.0), 0.0, 0.0)
    return _cpu_micros(lambda: reserve.consume("w0", 1.0))


def _reserve_bytes(workspace_count):
    tracemalloc.start()
    reserve = Reserve("node-0", 1.0)
    for number in range(workspace_count):
        reserve.consume(f"w{number}", 0.0)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return round(size / workspace_count)


def _cpu_micros(function):
    started_at = time.process_time()
    for _ in range(REPEATS):
        function()
    return round(MICROS * (time.process_time() - started_at) / REPEATS, 2)
