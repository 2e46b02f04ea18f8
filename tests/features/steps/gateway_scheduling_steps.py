"""Steps for placement and the order of batch items in a large fleet."""

import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from hypothesis import given as forall
from hypothesis import settings
from hypothesis import strategies as st
from peak_load import (
    HIGH_SECONDS,
    LOW_SECONDS,
    QUEUE_ALLOWANCE,
    RESERVED_SLOTS,
    PeakLoadFleet,
    PlacementByGossip,
    PlacementByScheduler,
)

from sequoiaglade_decisions.gateway import (
    Endpoint,
    GroupScheduler,
    NodeState,
    NodeTable,
    Scheduled,
    run_order,
    schedulers,
)


@given(
    "{nodes:d} nodes and {endpoints:d} endpoints of 8 slots that are filled by batch"
)
def given_large_fleet(context, nodes, endpoints):
    context.make_fleet = lambda: PeakLoadFleet(nodes, endpoints)


@when("the online load jumps from 80 to 390 requests per second and falls back")
def play_peak(context):
    context.scheduled, context.by_gossip = context.make_fleet(), context.make_fleet()
    context.scheduled.play(PlacementByScheduler())
    context.by_gossip.play(PlacementByGossip())


@then("a scheduler places {percent:d} in 100 of them at a free or preempted slot")
def check_scheduled(context, percent):
    assert context.scheduled.share() >= percent / 100, context.scheduled.share()


@then("nodes that place by gossip one second old do not")
def check_by_gossip(context):
    assert context.by_gossip.share() < 0.99, context.by_gossip.share()


@when("the scheduler is lost at the height of a peak")
def lose_scheduler(context):
    context.lost_at = LOW_SECONDS + HIGH_SECONDS / 2
    context.scheduled = context.make_fleet()
    context.scheduled.play(PlacementByScheduler(context.lost_at))


@then("one second later {percent:d} in 100 requests get a free or preempted slot again")
def check_successor(context, percent):
    share = context.scheduled.share(after=context.lost_at + 1.0)
    assert share >= percent / 100, share


@then("for any order of reports and placements no endpoint exceeds slots and queue")
def check_any_order(context):
    @settings(derandomize=True, deadline=None, max_examples=150)
    @forall(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 4)), max_size=80))
    def example(steps):
        _play_steps(steps)

    example()


def _play_steps(steps):
    endpoints = [Endpoint(f"e{n}", "s", "", "d", 2) for n in range(3)]
    scheduler = GroupScheduler()
    loads_by_node = {f"n{n}": {} for n in range(4)}
    for number, (node, kind) in enumerate(steps, start=1):
        node_id = f"n{node}"
        scheduler.report(node_id, (1, number), loads_by_node[node_id], 0.0)
        if kind == 0:
            loads_by_node[node_id] = {}
            # A report with an older number is ignored.
            scheduler.report(node_id, (1, number - 1), {"e0": (9, 9)}, 0.0)
        elif kind == 1:
            found = scheduler.choose_for_batch(endpoints, node_id, 0.0, 1, str(number))
            if found is not None:
                _add(loads_by_node[node_id], found, True)
        else:
            placed = scheduler.choose(endpoints, node_id, 0.0, str(number))
            if isinstance(placed, Scheduled):
                preempted = loads_by_node.get(placed.preempted_node, {}).get(
                    placed.endpoint_id
                )
                if preempted is not None:
                    preempted[1] -= 1
                _add(loads_by_node[node_id], placed.endpoint_id, False)
        for endpoint in endpoints:
            online, batch = scheduler.counts(endpoint.endpoint_id)
            assert online >= 0 and batch >= 0
            assert online + batch <= 2 + QUEUE_ALLOWANCE, (online, batch)
    scheduler.drop_stale_reports(100.0)
    assert all(scheduler.counts(e.endpoint_id) == (0, 0) for e in endpoints)


def _add(counts, endpoint_id, is_batch):
    counts.setdefault(endpoint_id, [0, 0])[is_batch] += 1


@when("a scheduler has refused an item and a slot becomes free")
def refuse_item(context):
    context.endpoints = [Endpoint("e0", "s", "", "d", 2)]
    context.scheduler = GroupScheduler()
    for number, node_id in enumerate(("n0", "n1", "n2"), start=1):
        context.scheduler.report(node_id, (1, number), {}, 0.0)
    assert _offer(context, "n0", 0.0) == "e0"
    assert _offer(context, "n1", 0.1) is None
    context.scheduler.report("n0", (1, 9), {}, 0.2)


@when("a scheduler with a full and a free endpoint refuses items of the full one")
def refuse_elsewhere(context):
    scheduler = GroupScheduler()
    full = [Endpoint("full", "busy", "", "d", 2)]
    free = [Endpoint("free", "idle", "", "d", 2)]
    scheduler.report("n0", (1, 1), {"full": (2, 0)}, 0.0)
    context.choices = []
    for number in range(20):
        now = 0.1 * number
        scheduler.report("n1", (1, number), {}, now)
        refused = scheduler.choose_for_batch(full, "n0", now, RESERVED_SLOTS, "in time")
        assert refused is None, refused
        context.choices.append(
            scheduler.choose_for_batch(
                free, "n1", now, RESERVED_SLOTS, "late", is_late=True
            )
        )


@then("a late item of the free endpoint gets a slot each time")
def check_late_elsewhere(context):
    assert set(context.choices) == {"free"}, context.choices


def _offer(context, node_id, now, is_late=False):
    return context.scheduler.choose_for_batch(
        context.endpoints, node_id, now, RESERVED_SLOTS, node_id, is_late=is_late
    )


@then("a late item does not get it, and an item that can finish on time does")
def check_late_item_waits(context):
    assert _offer(context, "n2", 0.3, is_late=True) is None
    assert _offer(context, "n1", 0.4) == "e0"
    context.scheduler.report("n1", (1, 10), {}, 2.0)
    assert _offer(context, "n2", 2.0, is_late=True) == "e0"


@when(
    "{slots:d} slots that run {rate:d} items per second get as many"
    " and stop for {stopped:d} seconds"
)
def stop_slots(context, slots, rate, stopped):
    context.stopped_until = 10.0 + stopped
    seconds = slots / rate
    orders = {
        "run_order": lambda due, now: run_order(due, now, seconds),
        "by due time": lambda due, now: due,
    }
    context.done = {
        name: _run_backlog(order, slots, rate, context.stopped_until)
        for name, order in orders.items()
    }


def _run_backlog(order, slots, rate, stopped_until):
    """Return pairs of submission and end times of items that run for 5 s each."""
    waiting, ends, done, number = [], [], [], 0
    for step in range(1200):
        now = step / 10
        while number <= now * rate:
            waiting.append(number / rate)
            number += 1
        ends = [at for at in ends if at > now]
        if 10.0 <= now < stopped_until:
            continue
        waiting.sort(key=lambda at: order(at + 18.0, now))
        while waiting and len(ends) < slots:
            ends.append(now + slots / rate)
            done.append((waiting.pop(0), ends[-1]))
    return done


def _fraction_on_time(context, name, after):
    since = context.stopped_until + after
    rows = [(at, end) for at, end in context.done[name] if since <= at < 90.0]
    count = sum(end - at <= 18.0 for at, end in rows)
    return count / ((90.0 - since) * 4)


@then(
    "{tenths:d} in 10 items submitted {after:d} seconds later finish within 18 seconds"
)
def check_on_time(context, tenths, after):
    share = _fraction_on_time(context, "run_order", after)
    assert share >= tenths / 10, share


@then("in order of due time alone less than half of them do")
def check_by_due_time(context):
    assert _fraction_on_time(context, "by due time", 20.0) < 0.5


@when("{count:d} nodes are replaced one by one, {pause:d} seconds apart")
def replace_nodes(context, count, pause):
    context.node_table = NodeTable("self")
    names = [f"old-{number}" for number in range(count)]
    for number in range(count + 1):
        for sequence, name in enumerate(names):
            now = number * pause + sequence / 10
            context.node_table.observe_state(NodeState(name, number, sequence), now)
        names = [f"new-{number}", *names[1:]] if number < count else names
        names = [*names[1:], names[0]]


@then("the fleet counts as small, and one of {count:d} nodes as large")
def check_size(context, count):
    assert not context.node_table.is_large
    for number in range(count):
        context.node_table.observe_state(NodeState(f"more-{number}", 1, 1), 300.0)
    assert context.node_table.is_large


@then("if any of {count:d} nodes is lost, the groups of the others do not move")
def check_groups(context, count):
    nodes = [f"n{number}" for number in range(count)]
    before = {g: schedulers("s", g, nodes)[0] for g in range(64)}
    for lost in set(before.values()):
        left = [node_id for node_id in nodes if node_id != lost]
        for group, node_id in before.items():
            if node_id != lost:
                assert schedulers("s", group, left)[0] == node_id
    assert len(set(before.values())) > 32


@when("all gateways know each other and the scheduler is killed")
def kill_scheduler(context):
    fleet = context.gateways
    wait_for_peers(fleet)
    names = [node.name for node in fleet.nodes]
    first = schedulers("writer", 0, names)[0]
    context.killed = names.index(first)
    fleet.nodes[context.killed].kill()


def wait_for_peers(fleet):
    expected = len(fleet.nodes) - 1
    deadline = time.monotonic() + 30.0
    while time.monotonic() < deadline:
        if all(_peer_count(node) >= expected for node in fleet.nodes):
            return
        time.sleep(0.5)
    raise AssertionError([_peer_count(node) for node in fleet.nodes])


def _peer_count(node):
    changes = [r for r in node.log_lines() if r.get("event") == "peers changed"]
    return sum(len(r["met"]) - len(r["lost"]) for r in changes)


@then('each other gateway answers "{path}" completely within a second')
def check_others(context, path):
    others = [n for n in range(len(context.gateways.nodes)) if n != context.killed]
    with ThreadPoolExecutor(len(others)) as pool:
        answers = list(pool.map(lambda n: context.gateways.send(path, n), others))
    for answer in answers:
        assert answer is not None and answer.status == 200, answer
        assert answer.is_complete and answer.first_byte_seconds < 1.0, answer
