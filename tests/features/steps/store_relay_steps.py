"""Steps for gateways of a large fleet that few of them tell of changes in the store."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from emulator import RunnerPlan
from emulator.fleet import wait_until
from gateway_calls import start
from sequoiaglade_gateway.store_cache import KindWatcher

from sequoiaglade_decisions.gateway import KindUpdate
from sequoiaglade_platform import Changes, Document, DocumentChange, Listing

FOLLOWERS = 3
SETTLE_SECONDS = 30.0
KINDS = ("config", "servers")
# Answers of suspended processes are not waited for.
LOOK_SECONDS = 0.05


@given("15 gateways and 1 runner, with an entrance of the store for each gateway")
def given_fleet(context):
    start(context, 15, [RunnerPlan()], has_entrances=True)
    context.lost = set()


def _statuses(context):
    """Return the status of each gateway that runs and reaches the store, by number."""
    fleet = context.gateways
    numbers = [n for n in range(len(fleet.nodes)) if n not in context.lost]
    with ThreadPoolExecutor(len(numbers)) as pool:
        return dict(zip(numbers, pool.map(fleet.status, numbers)))


def _followers(context):
    rows = _statuses(context).items()
    return [number for number, status in rows if not status["is_store_relayed"]]


@when("three gateways follow the store and all others rely on them")
@then("three gateways follow the store and all others rely on them")
def wait_until_relayed(context):
    wait_until(
        lambda: len(_followers(context)) == FOLLOWERS,
        SETTLE_SECONDS,
        "three gateways follow the store",
    )


@when("nothing changes for {seconds:d} seconds")
def wait(context, seconds):
    store = context.gateways.store
    before = sum(map(store.price, KINDS))
    time.sleep(seconds)
    context.paid = sum(map(store.price, KINDS)) - before


@then("the calls for configuration and endpoints cost at most {price:g} full prices")
def check_price(context, price):
    assert context.paid <= price, context.paid


@when("the configuration changes")
def change_configuration(context):
    fleet = context.gateways
    fleet.configure()
    version = fleet.configuration_version
    _expect(context, lambda status: status["configuration"]["version"] == version)


@when("the runner is removed from the store")
def remove_runner(context):
    store = context.gateways.store
    (name,) = store.names("servers")
    store.remove("servers", name)
    _expect(context, lambda status: not status["endpoints"])


def _expect(context, is_known):
    context.is_known = is_known
    context.changed_at = time.monotonic()


@then("all gateways know it within {seconds:g} seconds")
@then("all gateways that run and reach the store know it within {seconds:g} seconds")
def check_known(context, seconds):
    left = seconds - (time.monotonic() - context.changed_at)
    wait_until(
        lambda: all(map(context.is_known, _statuses(context).values())),
        left,
        "all gateways know the change",
    )


@when(
    "{count:d} of them are {change}, and the configuration changes {delay:g} seconds "
    "later"
)
def change_followers(context, count, change, delay):
    fleet = context.gateways
    numbers = _followers(context)[:count]
    context.lost.update(numbers)
    with ThreadPoolExecutor(count) as pool:
        list(pool.map(lambda number: _change(context, number, change), numbers))
    time.sleep(delay)
    change_configuration(context)
    if change == "suspended":
        for number in numbers:
            context.stack.callback(fleet.nodes[number].send, signal.SIGCONT)


def _change(context, number, change):
    fleet = context.gateways
    match change:
        case "killed":
            fleet.nodes[number].kill()
        case "suspended":
            fleet.nodes[number].send(signal.SIGSTOP)
        case "stopped regularly":
            fleet.nodes[number].terminate()
        case "cut off from the store":
            fleet.entrances[number].set_silent(True)
        case "refused by the store":
            fleet.entrances[number].set_refusal(503)


@when("the store refuses all calls")
def refuse(context):
    context.gateways.store.set_down(True)
    _expect(context, lambda status: not status["is_store_reachable"])


@then("all gateways know that the store is not reached within {seconds:g} seconds")
def check_outage(context, seconds):
    check_known(context, seconds)


@when("the outage of the store ends")
def answer_again(context):
    context.gateways.store.set_down(False)


@when("a gateway that relies on others is killed and started again")
def restart(context):
    fleet = context.gateways
    followers = _followers(context)
    number = next(n for n in range(len(fleet.nodes)) if n not in followers)
    fleet.nodes[number].kill()
    fleet.nodes[number].start()
    fleet.wait_ready(number)
    context.restarted = number


@then("it relies on others within {seconds:g} seconds of being ready")
def check_restarted(context, seconds):
    fleet = context.gateways
    wait_until(
        lambda: fleet.status(context.restarted)["is_store_relayed"],
        seconds,
        "the gateway relies on others",
    )


@when(
    "one that relies on others starts again while the store refuses it for {seconds:d} "
    "seconds"
)
def restart_refused(context, seconds):
    fleet = context.gateways
    followers = _followers(context)
    number = next(n for n in range(len(fleet.nodes)) if n not in followers)
    fleet.entrances[number].set_refusal(503)
    fleet.nodes[number].kill()
    fleet.nodes[number].start()
    fleet.wait_ready(number)
    time.sleep(seconds)
    assert not fleet.status(number)["is_store_reachable"]
    fleet.entrances[number].set_refusal(None)
    context.restarted = number


@then("it knows that it reaches the store within {seconds:g} seconds")
def check_reachable(context, seconds):
    fleet = context.gateways
    wait_until(
        lambda: fleet.status(context.restarted)["is_store_reachable"],
        seconds,
        "the gateway reaches the store",
    )


class _LateStore:
    """Answers the first watch with a change of before what a peer tells meanwhile."""

    def __init__(self):
        self.watcher = None
        self.watch_count = 0

    def list(self, kind, may_be_outdated=False):
        return Listing([Document("a", 1, {})], 1)

    def watch(self, kind, revision, seconds, may_be_outdated=False):
        self.watch_count += 1
        if self.watch_count > 1:
            time.sleep(LOOK_SECONDS)
            return Changes([], revision)
        self.watcher.apply_update(KindUpdate(9, False, [("a", None)]))
        return Changes([DocumentChange("a", Document("a", 5, {}))], 5)


@given("a watcher that a peer tells of a removal before an older answer is applied")
def given_late_answer(context):
    store = _LateStore()
    context.told = []
    store.watcher = KindWatcher(
        store, "servers", lambda rows: None, context.told.append, keeps_history=True
    )
    context.stack.enter_context(store.watcher)
    wait_until(lambda: store.watch_count > 1, SETTLE_SECONDS, "a second watch begins")


@then("the watcher has told of the removal last")
def check_removal_last(context):
    assert context.told[-1] == DocumentChange("a", None), context.told
