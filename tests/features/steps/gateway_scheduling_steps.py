"""Steps that play the swings of a large fleet's load against its placement."""

import heapq
import itertools
import random
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from hypothesis import given as forall
from hypothesis import settings
from hypothesis import strategies as st

from sequoiaglade_decisions.gateway import (
    Endpoint,
    Full,
    GroupScheduler,
    Loads,
    Placed,
    Scheduled,
    run_order,
    schedulers,
)

ONLINE_SECONDS, BATCH_SECONDS = 0.35, 2.5
LOW_SECONDS, HIGH_SECONDS, END_SECONDS = 2.0, 2.4, 5.0
REPORT_SECONDS, GOSSIP_SECONDS = 0.05, 1.0
RESERVE = 1
# The queue allowance of the schedulers, and its slots.
SLOTS, QUEUE = 8, 2


class _Fleet:
    """Endpoints that hold requests, and the nodes that placed them."""

    def __init__(self, node_count, endpoint_count):
        self.endpoints = [
            Endpoint(f"e{n}", "s", "", f"d{n % 4}", SLOTS)
            for n in range(endpoint_count)
        ]
        self.node_ids = [f"n{number}" for number in range(node_count)]
        self.held = {node_id: {} for node_id in self.node_ids}
        self.chance = random.Random(11)
        self.numbers = itertools.count(1)
        self.events = []
        self.outcomes = []
        self.now = 0.0

    def at(self, at, action, *args):
        heapq.heappush(self.events, (at, next(self.numbers), action, args))

    def play(self, placing):
        placing.start(self)
        self.at(0.0, self._arrive, placing)
        self.at(0.0, self._offer_batch, placing)
        while self.events:
            self.now, _, action, args = heapq.heappop(self.events)
            if self.now > END_SECONDS:
                break
            action(*args)

    def rate(self):
        is_high = LOW_SECONDS <= self.now < LOW_SECONDS + HIGH_SECONDS
        return 390.0 if is_high else 80.0

    def in_flight(self, endpoint_id):
        return sum(sum(c.get(endpoint_id, (0, 0))) for c in self.held.values())

    def begin(self, node_id, endpoint_id, is_batch):
        counts = self.held[node_id].setdefault(endpoint_id, [0, 0])
        counts[is_batch] += 1
        seconds = BATCH_SECONDS if is_batch else ONLINE_SECONDS
        end_at = self.now + seconds * self.chance.uniform(0.5, 1.5)
        self.at(end_at, self._end, node_id, endpoint_id, is_batch)

    def stop_batch(self, node_id, endpoint_id):
        counts = self.held[node_id].get(endpoint_id, (0, 0))
        if counts[1]:
            counts[1] -= 1
            return True
        return False

    def _end(self, node_id, endpoint_id, is_batch):
        # A batch item that was stopped has left already.
        counts = self.held[node_id][endpoint_id]
        counts[is_batch] = max(0, counts[is_batch] - 1)

    def _arrive(self, placing):
        node_id = self.chance.choice(self.node_ids)
        spread = str(next(self.numbers))
        endpoint_id = placing.place(self, node_id, spread)
        is_free = endpoint_id is not None and self.in_flight(endpoint_id) < SLOTS
        self.outcomes.append((self.now, is_free))
        if endpoint_id is not None:
            self.begin(node_id, endpoint_id, False)
        self.at(self.now + self.chance.expovariate(self.rate()), self._arrive, placing)

    def _offer_batch(self, placing):
        for node_id in self.node_ids:
            endpoint_id = placing.place_batch(self, node_id, str(next(self.numbers)))
            if endpoint_id is not None:
                self.begin(node_id, endpoint_id, True)
        self.at(self.now + 0.1, self._offer_batch, placing)

    def share(self, after=0.0):
        found = [is_free for at, is_free in self.outcomes if at >= after]
        return sum(found) / len(found)


class _Scheduled:
    """All nodes ask one scheduler, which another replaces when it is lost."""

    def __init__(self, lost_at=None):
        self._lost_at = lost_at
        self._scheduler = GroupScheduler()

    def start(self, fleet):
        if self._lost_at is not None:
            fleet.at(self._lost_at, self._lose)
        fleet.at(0.0, self._report, fleet)

    def _lose(self):
        self._scheduler = GroupScheduler()

    def _report(self, fleet):
        for node_id in fleet.node_ids:
            self._tell(fleet, node_id)
        fleet.at(fleet.now + REPORT_SECONDS, self._report, fleet)

    def _tell(self, fleet, node_id):
        number = (1, next(fleet.numbers))
        self._scheduler.report(node_id, number, fleet.held[node_id], fleet.now)

    def place(self, fleet, node_id, spread):
        self._tell(fleet, node_id)
        placed = self._scheduler.choose(fleet.endpoints, node_id, fleet.now, spread)
        if isinstance(placed, Full):
            return None
        if placed.yielding_node is not None:
            fleet.stop_batch(placed.yielding_node, placed.endpoint_id)
        return placed.endpoint_id

    def place_batch(self, fleet, node_id, spread):
        self._tell(fleet, node_id)
        return self._scheduler.choose_for_batch(
            fleet.endpoints, node_id, fleet.now, RESERVE, spread
        )


class _ByNews:
    """Each node places by its own loads and by those of others, told each second."""

    def __init__(self):
        self._loads_by_node = {}

    def start(self, fleet):
        for node_id in fleet.node_ids:
            loads = self._loads_by_node[node_id] = Loads()
            loads.is_fleet_large = True
        fleet.at(0.0, self._tell, fleet)

    def _tell(self, fleet):
        for node_id, counts in fleet.held.items():
            told = {i: tuple(pair) for i, pair in counts.items()}
            for other, loads in self._loads_by_node.items():
                if other != node_id:
                    loads.hear(node_id, told, fleet.now)
        fleet.at(fleet.now + GOSSIP_SECONDS, self._tell, fleet)

    def _know_own(self, fleet, node_id):
        loads = self._loads_by_node[node_id]
        for endpoint_id, (online, batch) in loads.own().items():
            for is_batch, count in ((False, online), (True, batch)):
                for _ in range(count):
                    loads.end(endpoint_id, is_batch)
        for endpoint_id, (online, batch) in fleet.held[node_id].items():
            for is_batch, count in ((False, online), (True, batch)):
                for _ in range(count):
                    loads.begin(endpoint_id, is_batch)
        return loads

    def place(self, fleet, node_id, spread):
        loads = self._know_own(fleet, node_id)
        placed = loads.choose(fleet.endpoints, fleet.now, spread)
        if not isinstance(placed, Placed):
            return None
        if placed.preempts:
            fleet.stop_batch(node_id, placed.endpoint_id)
        return placed.endpoint_id

    def place_batch(self, fleet, node_id, spread):
        loads = self._know_own(fleet, node_id)
        return loads.choose_for_batch(fleet.endpoints, fleet.now, RESERVE, spread)


@given("{nodes:d} nodes before {endpoints:d} endpoints of 8 slots, which batch fills")
def given_large_fleet(context, nodes, endpoints):
    context.make_fleet = lambda: _Fleet(nodes, endpoints)


@when("online requests swing from 80 to 390 a second")
def swing(context):
    context.scheduled, context.by_news = context.make_fleet(), context.make_fleet()
    context.scheduled.play(_Scheduled())
    context.by_news.play(_ByNews())


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
    context.scheduled.play(_Scheduled(context.lost_at))


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
                held = told.get(placed.yielding_node, {}).get(placed.endpoint_id)
                if held is not None:
                    held[1] -= 1
                _add(told[node_id], placed.endpoint_id, False)
        for endpoint in endpoints:
            online, batch = scheduler.counts(endpoint.endpoint_id)
            assert online >= 0 and batch >= 0
            assert online + batch <= 2 + QUEUE, (online, batch)
    scheduler.drop_silent(100.0)
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
        context.endpoints, node_id, now, RESERVE, node_id, is_late=is_late
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
