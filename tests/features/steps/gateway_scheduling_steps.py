"""Steps on placement and order of work in a large fleet."""

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


@given("{nodes:d} nodes before {endpoints:d} endpoints of 8 slots, which batch fills")
def given_large_fleet(context, nodes, endpoints):
    context.make_fleet = lambda: PeakLoadFleet(nodes, endpoints)


@when("online requests swing from 80 to 390 a second")
def swing(context):
    context.scheduled, context.by_news = context.make_fleet(), context.make_fleet()
    context.scheduled.play(PlacementByScheduler())
    context.by_news.play(PlacementByGossip())


@then(
    "a scheduler places {percent:d} in 100 of them where a slot is free or is made free"
)
def check_scheduled(context, percent):
    assert context.scheduled.share() >= percent / 100, context.scheduled.share()


@then("nodes that place by news of each other a second old don't")
def check_by_news(context):
    assert context.by_news.share() < 0.99, context.by_news.share()


@when("the scheduler is lost at the height of a peak")
def lose_scheduler(context):
    context.lost_at = LOW_SECONDS + HIGH_SECONDS / 2
    context.scheduled = context.make_fleet()
    context.scheduled.play(PlacementByScheduler(context.lost_at))


@then(
    "a second later {percent:d} in 100 find a slot that is free or is made free again"
)
def check_successor(context, percent):
    share = context.scheduled.share(after=context.lost_at + 1.0)
    assert share >= percent / 100, share


@then("for any order of reports and grants no endpoint is over its slots and queue")
def check_any_order(context):
    @settings(derandomize=True, deadline=None, max_examples=150)
    @forall(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 4)), max_size=80))
    def example(steps):
        _play_steps(steps)

    example()


def _play_steps(steps):
    endpoints = [Endpoint(f"e{n}", "s", "", "d", 2) for n in range(3)]
    scheduler = GroupScheduler()
    told = {f"n{n}": {} for n in range(4)}
    for number, (node, kind) in enumerate(steps, start=1):
        node_id = f"n{node}"
        scheduler.report(node_id, (1, number), told[node_id], 0.0)
        if kind == 0:
            told[node_id] = {}
            # A report that was overtaken changes nothing.
            scheduler.report(node_id, (1, number - 1), {"e0": (9, 9)}, 0.0)
        elif kind == 1:
            found = scheduler.choose_for_batch(endpoints, node_id, 0.0, 1, str(number))
            if found is not None:
                _add(told[node_id], found, True)
        else:
            placed = scheduler.choose(endpoints, node_id, 0.0, str(number))
            if isinstance(placed, Scheduled):
                held = told.get(placed.preempted_node, {}).get(placed.endpoint_id)
                if held is not None:
                    held[1] -= 1
                _add(told[node_id], placed.endpoint_id, False)
        for endpoint in endpoints:
            online, batch = scheduler.counts(endpoint.endpoint_id)
            assert online >= 0 and batch >= 0
            assert online + batch <= 2 + QUEUE_ALLOWANCE, (online, batch)
    scheduler.drop_stale_reports(100.0)
    assert all(scheduler.counts(e.endpoint_id) == (0, 0) for e in endpoints)


def _add(counts, endpoint_id, is_batch):
    counts.setdefault(endpoint_id, [0, 0])[is_batch] += 1


@when("a scheduler has turned an item away, and a slot comes free")
def turn_away(context):
    context.endpoints = [Endpoint("e0", "s", "", "d", 2)]
    context.scheduler = GroupScheduler()
    for number, node_id in enumerate(("n0", "n1", "n2"), start=1):
        context.scheduler.report(node_id, (1, number), {}, 0.0)
    assert _offer(context, "n0", 0.0) == "e0"
    assert _offer(context, "n1", 0.1) is None
    context.scheduler.report("n0", (1, 9), {}, 0.2)


def _offer(context, node_id, now, is_late=False):
    return context.scheduler.choose_for_batch(
        context.endpoints, node_id, now, RESERVED_SLOTS, node_id, is_late=is_late
    )


@then("a late item does not get it, and one that can be in time does")
def check_late_waits(context):
    assert _offer(context, "n2", 0.3, is_late=True) is None
    assert _offer(context, "n1", 0.4) == "e0"
    context.scheduler.report("n1", (1, 10), {}, 2.0)
    assert _offer(context, "n2", 2.0, is_late=True) == "e0"


@when(
    "{slots:d} slots that do {rate:d} items a second get as many,"
    " and stand still for {still:d} seconds"
)
def stand_still(context, slots, rate, still):
    context.still_until = 10.0 + still
    seconds = slots / rate
    orders = {
        "ours": lambda due, now: run_order(due, now, seconds),
        "by due time": lambda due, now: due,
    }
    context.done = {
        name: _run_backlog(order, slots, rate, context.still_until)
        for name, order in orders.items()
    }


def _run_backlog(order, slots, rate, still_until):
    """Return pairs of submission and end of all items, each of which runs 5 s."""
    waiting, ends, done, number = [], [], [], 0
    for step in range(1200):
        now = step / 10
        while number <= now * rate:
            waiting.append(number / rate)
            number += 1
        ends = [at for at in ends if at > now]
        if 10.0 <= now < still_until:
            continue
        waiting.sort(key=lambda at: order(at + 18.0, now))
        while waiting and len(ends) < slots:
            ends.append(now + slots / rate)
            done.append((waiting.pop(0), ends[-1]))
    return done


def _in_time(context, name, after):
    since = context.still_until + after
    rows = [(at, end) for at, end in context.done[name] if since <= at < 90.0]
    count = sum(end - at <= 18.0 for at, end in rows)
    return count / ((90.0 - since) * 4)


@then(
    "{tenths:d} in 10 items submitted {after:d} seconds later"
    " are done within 18 seconds"
)
def check_in_time(context, tenths, after):
    share = _in_time(context, "ours", after)
    assert share >= tenths / 10, share


@then("by due time alone less than half of them are")
def check_by_due_time(context):
    assert _in_time(context, "by due time", 20.0) < 0.5


@when("{count:d} nodes are replaced one by one, {pause:d} seconds apart")
def replace_nodes(context, count, pause):
    context.nodes_heard = NodeTable("self")
    names = [f"old-{number}" for number in range(count)]
    for number in range(count + 1):
        for sequence, name in enumerate(names):
            now = number * pause + sequence / 10
            context.nodes_heard.observe_state(NodeState(name, number, sequence), now)
        names = [f"new-{number}", *names[1:]] if number < count else names
        names = [*names[1:], names[0]]


@then("the fleet counts as small, and {count:d} nodes as a large one")
def check_size(context, count):
    assert not context.nodes_heard.is_large
    for number in range(count):
        context.nodes_heard.observe_state(NodeState(f"more-{number}", 1, 1), 300.0)
    assert context.nodes_heard.is_large


@then("each of {count:d} nodes may be lost and the groups of the others stay")
def check_groups(context, count):
    nodes = [f"n{number}" for number in range(count)]
    before = {g: schedulers("s", g, nodes)[0] for g in range(64)}
    for lost in set(before.values()):
        left = [node_id for node_id in nodes if node_id != lost]
        for group, node_id in before.items():
            if node_id != lost:
                assert schedulers("s", group, left)[0] == node_id
    assert len(set(before.values())) > 32


@when("all gateways know each other and the one that schedules is killed")
def kill_scheduler(context):
    fleet = context.gateways
    wait_for_peers(fleet)
    names = [node.name for node in fleet.nodes]
    first = schedulers("writer", 0, names)[0]
    context.killed = names.index(first)
    fleet.nodes[context.killed].kill()


def wait_for_peers(fleet):
    wanted = len(fleet.nodes) - 1
    deadline = time.monotonic() + 30.0
    while time.monotonic() < deadline:
        if all(_met(node) >= wanted for node in fleet.nodes):
            return
        time.sleep(0.5)
    raise AssertionError([_met(node) for node in fleet.nodes])


def _met(node):
    changes = [r for r in node.log_lines() if r.get("event") == "peers changed"]
    return sum(len(r["met"]) - len(r["lost"]) for r in changes)


@then('each other gateway answers "{path}" whole at once')
def check_others(context, path):
    others = [n for n in range(len(context.gateways.nodes)) if n != context.killed]
    with ThreadPoolExecutor(len(others)) as pool:
        answers = list(pool.map(lambda n: context.gateways.ask(path, n), others))
    for answer in answers:
        assert answer is not None and answer.status == 200, answer
        assert answer.is_whole and answer.seconds < 1.0, answer
