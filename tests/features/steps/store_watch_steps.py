"""Steps for a watcher of the emulated store, its guards and its renewals."""

import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

from behave import given, then, when
from emulator.fleet import wait_until
from emulator.links import Link
from emulator.store import EmulatedStore
from fleet_adapter.objects import ObjectStore
from sequoiaglade_gateway.store_cache import (
    KindWatcher,
    StoreContactKeeper,
    guards_of,
)

from sequoiaglade_decisions.outcomes import Failure

READS_SECONDS = 20.0
# A guarded watch waits longer than this for changes, other calls shorter.
LONG_WATCH_SECONDS = 10.0


@given('a watcher of "{kind}" whose connections can fall silent')
def given_watcher(context, kind):
    context.kind = kind
    context.emulated = context.stack.enter_context(EmulatedStore())
    context.link = context.stack.enter_context(Link(context.emulated.address))
    context.store = context.stack.enter_context(ObjectStore(context.link.address))
    context.told, context.reachable = [], []
    context.counted = Counter()
    context.metrics = SimpleNamespace(
        count=lambda *labels: context.counted.update([labels])
    )
    context.contact = StoreContactKeeper(context.store, context.metrics)
    watcher = context.watcher = KindWatcher(
        context.store,
        kind,
        lambda documents: context.told.extend(d.name for d in documents),
        lambda change: context.told.append(change.name),
        context.reachable.append,
        is_store_silent=context.contact.is_store_silent,
    )
    context.stack.enter_context(watcher)
    wait_until(lambda: kind in context.emulated.watched_kinds(), 5.0, "a watch waits")


@given('a guarded watcher of "{kind}", and outdated reads of {seconds:g} seconds ago')
def given_guarded_watcher(context, kind, seconds):
    given_watcher(context, kind)
    context.emulated.set_outdated(seconds)
    # The keeper of the contact is not entered: the guards alone have to notice.
    enter_guards(context)


@given(
    'a guarded and probed watcher of "{kind}",'
    " and outdated reads of {seconds:g} seconds ago"
)
def given_probed_watcher(context, kind, seconds):
    given_watcher(context, kind)
    context.emulated.set_outdated(seconds)
    context.stack.enter_context(context.contact)
    enter_guards(context)


def enter_guards(context):
    for guard in guards_of(
        context.store, context.watcher, context.contact, context.metrics
    ):
        context.stack.enter_context(guard)
    # A call of the guard waits from 1.8 to 3.6 seconds on.
    time.sleep(2.2)


@when(
    "the store answers nothing from {begin:g} to {end:g} seconds after a document was"
    " written"
)
def silence_store_shortly(context, begin, end):
    write(context, 1)
    time.sleep(begin)
    context.emulated.set_silent(True)
    time.sleep(end - begin)
    context.emulated.set_silent(False)


@when(
    "the store answers nothing from {begin:g} to {end:g} seconds after a document was"
    " written, and loses a write that waits for {wait:g} seconds"
)
def silence_store_and_write(context, begin, end, wait):
    write(context, 1)
    time.sleep(begin)
    context.emulated.set_silent(True)
    lost = threading.Thread(
        target=context.store.create, args=("notes", "lost", {}, wait), daemon=True
    )
    lost.start()
    time.sleep(end - begin)
    context.emulated.set_silent(False)
    context.stack.callback(lost.join)
    context.lost_write = lost


@then("the watch was renewed {count:d} time when that write has timed out")
def check_renewals(context, count):
    context.lost_write.join()
    time.sleep(0.5)
    assert context.counted["watch missed changes", context.kind] == 1, context.counted
    assert context.counted["watch renewed", context.kind] == count, context.counted


@when("a watch that begins after that is lost")
def lose_watch(context):
    store = context.emulated

    def begins():
        calls = store.calls[context.returned_index :]
        return any((call.wait_seconds or 0.0) > LONG_WATCH_SECONDS for call in calls)

    wait_until(begins, 5.0, "the watch begins again")
    store.lose_watch_responses(context.kind)


@when("another document is written")
def write_another(context):
    write(context, 1)


@then("the watcher has told {count:d} documents within {seconds:g} seconds")
def check_told_within(context, count, seconds):
    told = lambda: len(context.told) == count  # noqa: E731
    wait_until(told, seconds, "the documents are told")


@when("its connections fall silent and {count:d} documents are written")
def silence_watch(context, count):
    assert context.link.silence()
    write(context, count)
    time.sleep(0.5)
    assert not context.told, context.told


@when("{count:d} documents are written")
def write(context, count):
    for _ in range(count):
        name = f"document-{len(context.emulated.names(context.kind))}"
        context.emulated.put(context.kind, name, {})


@when("the connections are renewed")
def renew(context):
    assert context.store.renew_connections() == [context.kind]
    wait_until(lambda: context.told, 1.0, "changes are told")
    waits = lambda: context.kind in context.emulated.watched_kinds()  # noqa: E731
    wait_until(waits, 3.0, "a watch waits again")


@then("the watcher has told each of {count:d} documents once, without an outage")
def check_told(context, count):
    wait_until(lambda: len(context.told) >= count, 3.0, "all documents are told")
    time.sleep(0.5)
    assert sorted(context.told) == context.emulated.names(context.kind), context.told
    assert len(context.told) == count
    assert not context.reachable, context.reachable


@when(
    "{threads:d} threads read {reads:d} times while the connections are renewed"
    " at least {count:d} times"
)
def renew_often(context, threads, reads, count):
    context.outcomes = []
    is_over = threading.Event()

    def read():
        while not is_over.is_set():
            context.outcomes.append(context.store.list(context.kind))

    deadline = time.monotonic() + READS_SECONDS
    with ThreadPoolExecutor(threads) as pool:
        running = [pool.submit(read) for _ in range(threads)]
        try:
            renewals = 0
            while renewals < count or len(context.outcomes) < reads:
                assert time.monotonic() < deadline, (renewals, len(context.outcomes))
                time.sleep(0.02)
                context.store.renew_connections()
                renewals += 1
        finally:
            is_over.set()
        for future in running:
            future.result()


@then("no read fails")
def check_reads(context):
    failures = [o for o in context.outcomes if isinstance(o, Failure)]
    assert not failures, failures[:3]
