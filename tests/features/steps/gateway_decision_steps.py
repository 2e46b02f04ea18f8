"""Steps that simulate loads on the gateway's decisions, without a network."""

import random
from collections import Counter

from behave import then, when
from hypothesis import given as forall
from hypothesis import seed, settings
from hypothesis import strategies as st

from sequoiaglade_decisions.gateway import (
    Endpoint,
    EndpointLoads,
    EventSplitter,
    FleetQuotas,
    NodeState,
    NodeTable,
    Quarantine,
    Result,
    ResultPages,
    batch_targets,
    json_size,
)

RATE, BURST = 18.0, 18.0
# Window, allowed overshoot and slack in requests, from the platform's documentation.
WINDOW_SECONDS, OVERSHOOT, SLACK = 5.0, 0.1, 20
GOSSIP_SECONDS = 0.2
# Two results of 150,000 Thai characters do not fit into a page.
PAGE_BYTES = 600_000


class _Node:
    def __init__(self, name):
        self.name = name
        self.quotas = FleetQuotas(is_first_start=True)
        self.quotas.configure({"w": (RATE, BURST)}, 0.0)
        self.table = NodeTable(name)
        self.sequence = 0

    def gossip(self, others, now):
        self.sequence += 1
        admitted = self.quotas.admitted()
        state = NodeState(self.name, 1, self.sequence, admitted_by_workspace=admitted)
        for other in others:
            if other is not self and other.table.observe_state(state, now):
                share = other.table.quota_share(now, 1)
                other.quotas.update_peer(self.name, 1, admitted, now, share)


def _simulate_admission(context, groups_at):
    rng = random.Random(7)
    nodes = [_Node(f"n{number}") for number in range(9)]
    context.admitted_at = []
    now, next_gossip_at, step = 0.0, 0.0, 1 / (8 * RATE)
    for node in nodes:
        node.gossip(nodes, now)
    while now < 30.0:
        now += step
        if now >= next_gossip_at:
            next_gossip_at = now + GOSSIP_SECONDS
            for group in groups_at(now, nodes):
                for node in group:
                    node.gossip(group, now)
        node = rng.choice(nodes)
        if node.quotas.take("w", now, node.table.quota_share(now, 1)) is None:
            context.admitted_at.append(now)


@when("9 nodes that gossip every 0.2 s receive 8 times a rate of 18")
def exceed_rate(context):
    _simulate_admission(context, lambda now, nodes: [nodes])


@when("9 nodes are partitioned 3 from 6 and receive 8 times a rate of 18")
def exceed_rate_in_partition(context):
    groups = lambda now, nodes: [nodes[:3], nodes[3:]] if 8 < now < 20 else [nodes]  # noqa: E731
    _simulate_admission(context, groups)


@when(
    "a workspace is left out by every other version, {count:d} a second, with a burst "
    "of {burst:d}"
)
def leave_out(context, count, burst):
    context.burst = burst
    context.admitted_at = []
    quotas = FleetQuotas(is_first_start=True)
    step = 1 / (8 * RATE)
    for number in range(round(10.0 / step)):
        now = number * step
        is_named = int(now * count) % 2 == 0
        quotas.configure({"w": (RATE, burst)} if is_named else {}, now)
        if is_named and quotas.take("w", now, 1.0) is None:
            context.admitted_at.append(now)


@when("a workspace sends 8 times its rate, and at 3.4 seconds {change} and back")
def change_and_back(context, change):
    changed = {"its rate is a tenth": {"w": (RATE / 10, BURST / 10)}}.get(change, {})
    context.admitted_at = []
    quotas = FleetQuotas(is_first_start=True, window_seconds=WINDOW_SECONDS)
    quotas.configure({"w": (RATE, BURST)}, 0.0)
    step = 1 / (8 * RATE)
    for number in range(round(10.0 / step)):
        now = number * step
        if now - step < 3.4 <= now:
            quotas.configure(changed, now)
            quotas.configure({"w": (RATE, BURST)}, now)
        # It has had time to fill its bucket.
        if now > 2.0 and quotas.take("w", now, 1.0) is None:
            context.admitted_at.append(now)


@then("no window of 5 seconds admits more than the bound with this burst")
def check_bound_with_burst(context):
    _check_bound(context, context.burst)


@then("no window of 5 seconds admits more than the bound")
def check_bound(context):
    _check_bound(context, BURST)


def _check_bound(context, burst):
    bound = (RATE * WINDOW_SECONDS + burst) * (1 + OVERSHOOT) + SLACK
    times = context.admitted_at
    highest = max(sum(t <= u < t + WINDOW_SECONDS for u in times) for t in times)
    assert highest <= bound, (highest, bound)


@then("at least nine tenths of the rate is admitted")
def check_not_starved(context):
    assert len(context.admitted_at) >= 0.9 * RATE * 30.0, len(context.admitted_at)


@then("for any backlogs the shares sum to the smaller of allowance and backlog")
def check_shares(context):
    @seed(1)
    @settings(max_examples=300, deadline=None, database=None)
    @forall(
        st.integers(0, 200),
        st.dictionaries(st.sampled_from("abcdefghi"), st.integers(0, 60), min_size=1),
    )
    def check(allowance, backlog_by_node):
        targets = batch_targets(allowance, backlog_by_node)
        assert sum(targets.values()) == min(allowance, sum(backlog_by_node.values()))
        assert all(targets[n] <= b for n, b in backlog_by_node.items())

    check()


class _Store:
    """Pages with conditional writes by revision, as in the platform's store."""

    def __init__(self):
        self.pages = {}

    def write(self, write):
        stored = self.pages.get(write.number)
        if (stored and stored[0]) != write.revision:
            return
        revision = (write.revision or 0) + 1
        self.pages[write.number] = (revision, write.results, write.is_closed)

    def read(self, pages):
        while pages.next_unread in self.pages:
            number = pages.next_unread
            revision, content, is_closed = self.pages[number]
            pages.put(number, content, revision, is_closed)
            if pages.next_unread == number:
                return

    def results(self):
        return [r for n in sorted(self.pages) for r in self.pages[n][1]]


@then("for any interleaving of two writers every reader sees an append-only list")
def check_pages(context):
    step = st.tuples(st.integers(0, 1), st.sampled_from(("plan", "write", "read")))

    @seed(1)
    @settings(max_examples=300, deadline=None, database=None)
    @forall(st.lists(step, max_size=60), st.randoms(use_true_random=False))
    def check(steps, rng):
        store = _Store()
        writers = [ResultPages(), ResultPages()]
        planned = [None, None]
        seen = []
        for number, action in steps:
            if action == "read":
                store.read(writers[number])
            elif action == "plan":
                item = f"i-{rng.randrange(8)}"
                text = rng.choice(("x", "\u0e01")) * rng.choice((10, 150_000))
                plan = writers[number].plan([Result(item, True, text)], PAGE_BYTES)
                planned[number] = plan
            elif planned[number] and planned[number].results:
                store.write(planned[number])
            sizes = [json_size(content) for _, content, _ in store.pages.values()]
            assert max(sizes, default=0) <= PAGE_BYTES, sizes
            now = store.results()
            assert now[: len(seen)] == seen
            ids = [result.item_id for result in now]
            assert len(ids) == len(set(ids))
            seen = now

    check()


@then("any split of a stream into chunks yields the same events")
def check_chunks(context):
    text = b"".join(b"id: %d\ndata: p%d\ndata: q\n\n" % (n, n) for n in range(1, 8))

    @seed(1)
    @settings(max_examples=200, deadline=None, database=None)
    @forall(st.lists(st.integers(1, len(text) - 1)))
    def check(splits):
        offsets = [0, *sorted(set(splits)), len(text)]
        splitter = EventSplitter()
        events = []
        for start, end in zip(offsets, offsets[1:]):
            events += splitter.feed(text[start:end])
        assert [event.event_id for event in events] == list(range(1, 8))
        assert b"".join(event.raw for event in events) == text
        assert not splitter.has_partial_event

    check()


@when("7 nodes place 60 requests at 9 endpoints without any gossip")
def place_without_gossip(context):
    endpoints = [Endpoint(f"e-{n}", "s", "", f"d-{n % 4}", 8) for n in range(9)]
    nodes = [EndpointLoads(f"d-{n % 4}") for n in range(7)]
    context.placed = Counter()
    for number in range(60):
        loads = nodes[number % 7]
        placed = loads.choose(endpoints, 0.0, f"request-{number}")
        loads.begin(placed.endpoint_id, False)
        context.placed[placed.endpoint_id] += 1


@then("no endpoint has more than 12 of them")
def check_spread(context):
    assert max(context.placed.values()) <= 12, context.placed


@when("{nodes:d} nodes each observe {count:d} crashed requests and gossip them")
def gossip_crashes(context, nodes, count):
    context.count = count
    context.quarantines = [Quarantine() for _ in range(nodes)]
    for node, quarantine in enumerate(context.quarantines):
        for number in range(count):
            own_fingerprint = f"{node}/{number}"
            quarantine.note_crash(own_fingerprint, f"e-{number}", 0.0, is_local=True)
    for _ in range(2):
        gossiped = [quarantine.crashes(1.0) for quarantine in context.quarantines]
        for quarantine in context.quarantines:
            for fingerprint, key, age, has_begun in (r for rs in gossiped for r in rs):
                quarantine.note_crash(fingerprint, key, 1.0 - age, has_begun)


@then("each node gossips its own {count:d} for 10 seconds, and none later")
def check_crash_gossip(context, count):
    for quarantine in context.quarantines:
        assert len(quarantine.crashes(9.0)) == count
        assert quarantine.crashes(11.0) == []


@then("a request that crashed two endpoints is gossiped for 2 minutes")
def check_quarantine_gossip(context):
    first, second = context.quarantines[:2]
    second.note_crash("0/0", "e-99", 2.0, is_local=True)
    assert second.is_quarantined("0/0", 3.0)
    assert [row[:2] for row in second.crashes(60.0)] == [("0/0", "e-99")]
    for fingerprint, key, age, has_begun in second.crashes(60.0):
        first.note_crash(fingerprint, key, 60.0 - age, has_begun)
    assert first.is_quarantined("0/0", 61.0)
    assert second.crashes(123.0) == []
