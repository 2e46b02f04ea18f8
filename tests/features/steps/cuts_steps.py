"""Steps on network faults between nodes, regions and the platform."""

import threading
import time

from behave import given, then, when
from configuration_steps import (
    BOUND_SECONDS,
    ask_stock,
    key_works_everywhere,
    make_test_key,
)
from limits_steps import Sender

from sequoiaglade_standins.fleet import EndpointPlan, Fleet
from sequoiaglade_standins.relay import Refuse, Stall
from sequoiaglade_standins.samples import (
    RESTOCKERS_MODEL,
    restockers_document,
    restockers_endpoints,
)

FAULT_BY_NAME = {"refuse": Refuse(), "stall": Stall()}
DOMAINS = ("yard-a", "yard-b")
PAUSE_SECONDS = 0.1
BEFORE_SECONDS = 3.0
AFTER_SECONDS = 4.0


@given("an unlimited fleet of {nodes:d} nodes connected by links")
def start_linked_fleet(context, nodes):
    document = restockers_document() | {"rates": {}}
    fleet = Fleet(nodes, restockers_endpoints(1), document, has_links=True)
    context.fleet = context.stack.enter_context(fleet)


@given(
    "4 nodes in two regions connected by links,"
    " hays at 20 requests per second and burst 10"
)
def start_regions(context):
    document = restockers_document() | {"rates": {"hays": {"rate": 20, "burst": 10}}}
    plans = [
        EndpointPlan("runner-0", RESTOCKERS_MODEL, slots=64, token_seconds=0.001),
        EndpointPlan("stock-0", service="stock", slots=64),
    ]
    fleet = Fleet(4, plans, document, domains=DOMAINS, has_links=True)
    context.fleet = context.stack.enter_context(fleet)


@when("the links of node {node:d} to {part} {fault:w}")
def cut_node(context, node, part, fault):
    fleet = context.fleet
    links = []
    if "platform" in part:
        links.append(fleet.links.to_platform(fleet.nodes[node]))
    if "its peers" in part:
        links += fleet.links.between([fleet.nodes[node]], fleet.nodes)
    break_links(context, links, fault)


def break_links(context, links, fault):
    context.cut_links = links
    for link in links:
        link.inject_fault(FAULT_BY_NAME[fault])
    context.cut_at = time.monotonic()


@when("the links are restored")
def restore_links(context):
    for link in context.cut_links:
        link.heal()
    context.accepted_at = time.monotonic()


@then("nodes 0 to 2 serve that key")
def check_others_serve(context):
    for node in range(3):
        status, error = ask_stock(context.fleet, node, context.key)
        assert status == 200, (node, status, error)


@then("each node serves that key for {seconds:d} s")
def check_all_serve(context, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for node in range(len(context.fleet.nodes)):
            status, error = ask_stock(context.fleet, node, context.key)
            assert status == 200, (node, status, error)
        time.sleep(PAUSE_SECONDS)


@when("the platform becomes unavailable")
def stop_platform(context):
    context.fleet.set_platform_faults(down=True)


@when("node {node:d} starts with only the addresses of its peers")
def start_late_node(context, node):
    fleet = context.fleet
    peers = [each.peer for each in fleet.nodes]
    added = fleet.add_node(context.stack, node, peers=peers)
    fleet.await_url(f"{added.control_url}/healthz", added.process)


def ask_hays(context, node):
    return ask_stock(context.fleet, node, context.fleet.key_by_workspace["hays"])


@then("the key of hays works on node {node:d} within {seconds:d} s")
def check_hays(context, node, seconds):
    deadline = time.monotonic() + seconds
    while (answer := ask_hays(context, node))[0] != 200:
        assert time.monotonic() < deadline, answer
        time.sleep(PAUSE_SECONDS)


@then("the key of hays works on node {node:d} for {seconds:d} s")
def check_hays_lasts(context, node, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        status, error = ask_hays(context, node)
        assert status == 200, error
        time.sleep(PAUSE_SECONDS)


@then("after 3 s node {node:d} refuses the key of hays as not run for {seconds:d} s")
def check_hays_refused(context, node, seconds):
    time.sleep(max(0.0, context.cut_at + BOUND_SECONDS - time.monotonic()))
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        status, error = ask_hays(context, node)
        assert status == 503 and error["code"] == "configuration_not_confirmed", error
        assert error["execution"] == "not_run" and error["retry_after"], error
        time.sleep(PAUSE_SECONDS)


class KeyPoller:
    """Threads that poll each node with a key and record the answers.

    A context manager.
    """

    def __init__(self, fleet, workspace):
        self._fleet = fleet
        self._key = fleet.key_by_workspace[workspace]
        self._stopped = threading.Event()
        nodes = range(len(fleet.nodes))
        self._threads = [threading.Thread(target=self._run, args=(n,)) for n in nodes]
        self.answers = []

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, node):
        while not self._stopped.wait(PAUSE_SECONDS):
            asked_at = time.monotonic()
            status, error = ask_stock(self._fleet, node, self._key)
            self.answers.append((node, asked_at, status, error))


@when(
    "hays sends five times its rate while the regions {fault:w} each other for "
    "{seconds:d} s, with {platform}"
)
def cut_regions(context, fault, seconds, platform):
    fleet = context.fleet
    near, far = fleet.nodes[::2], fleet.nodes[1::2]
    links = fleet.links.between(near, far)
    if platform == "a platform in the first":
        links += [fleet.links.to_platform(node) for node in far]
    with Sender(fleet, "hays", 100) as sender, KeyPoller(fleet, "salina") as poller:
        context.started_at = time.monotonic()
        time.sleep(BEFORE_SECONDS)
        break_links(context, links, fault)
        time.sleep(seconds / 2)
        make_test_key(context, "dodge", 0)
        time.sleep(max(0.0, context.cut_at + seconds - time.monotonic()))
        restore_links(context)
        try:
            key_works_everywhere(context)
            context.disagreement = None
        except AssertionError as error:
            context.disagreement = error
        time.sleep(AFTER_SECONDS)
    context.sender, context.poller = sender, poller


@then("the key made meanwhile works on each node within 3 s of the restoration")
def check_agreement(context):
    assert context.disagreement is None, context.disagreement


@then("hays was served before, during and after the partition")
def check_served(context):
    healed_at = context.accepted_at
    for start, stop in (
        (context.started_at, context.cut_at),
        (context.cut_at, healed_at),
        (healed_at, healed_at + AFTER_SECONDS),
    ):
        times = [done for _, _, done, status in context.sender.answers if status == 200]
        served = sum(start <= done < stop for done in times)
        assert served > 5, (served, start - context.started_at)


@then("keys were served in {place} and elsewhere refused as not run")
def check_places(context, place):
    serving = range(4) if place == "both regions" else range(0, 4, 2)
    settled_at = context.cut_at + BOUND_SECONDS
    counts = dict.fromkeys(range(4), 0)
    for node, asked_at, status, error in context.poller.answers:
        if node in serving:
            assert status == 200, (node, asked_at - context.cut_at, error)
        elif settled_at <= asked_at < context.accepted_at:
            assert status == 503 and error["execution"] == "not_run", (node, error)
        counts[node] += settled_at <= asked_at < context.accepted_at
    assert min(counts.values()) > 5, counts
