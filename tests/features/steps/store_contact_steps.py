"""Steps for probes and renewals of the connections to the store."""

import math
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

from sequoiaglade_decisions.gateway import ContactStep, StoreCall, StoreContact
from sequoiaglade_decisions.outcomes import Failure

TICK_SECONDS = 0.05
PROBE_TIMEOUT_SECONDS = 1.0
ANSWER_SECONDS = 0.05
READS_SECONDS = 20.0
# A guarded watch waits longer than this for changes, other calls shorter.
LONG_WATCH_SECONDS = 10.0
START = 100.0


class ContactPlay:
    """Plays the time of a `StoreContact` in small steps.

    `answers` tells whether a probe is answered, by the time at which its connection was
    opened.
    """

    def __init__(self):
        self.now = START
        self.contact = StoreContact()
        self.answers = lambda connected_at: True
        self.keeps_connection = True
        self.steps = Counter()
        self.renewed_at = None
        self._probe_opened_at = None
        self._probe = None

    def run(self, seconds, on_tick=lambda: None):
        end = self.now + seconds
        while self.now < end:
            on_tick()
            self._end_probe()
            if self._probe is None:
                self._take_step()
            self.now += TICK_SECONDS

    def call(self, connected_at, seconds, is_answered):
        """Note a call that ends now."""
        sent_at = self.now - seconds
        self.contact.note_call(StoreCall(connected_at, sent_at, self.now, is_answered))

    def forget_steps(self):
        self.steps.clear()
        self.renewed_at = None

    def _take_step(self):
        step, _ = self.contact.next_step(self.now)
        self.steps[step] += 1
        if step is ContactStep.RENEW:
            self.renewed_at = self.renewed_at or self.now
            self._probe_opened_at = None
        elif step is ContactStep.PROBE:
            if self._probe_opened_at is None or not self.keeps_connection:
                self._probe_opened_at = self.now
            is_answered = self.answers(self._probe_opened_at)
            seconds = ANSWER_SECONDS if is_answered else PROBE_TIMEOUT_SECONDS
            ended_at = self.now + seconds
            self._probe = StoreCall(
                self._probe_opened_at, self.now, ended_at, is_answered, True
            )

    def _end_probe(self):
        if self._probe is not None and self._probe.ended_at <= self.now:
            self.contact.note_call(self._probe)
            self._probe = None


@given("connections to the store that were proved sound")
def given_sound(context):
    context.play = ContactPlay()
    context.play.run(1.0)
    assert context.play.steps[ContactStep.PROBE] == 1
    context.play.forget_steps()


@when("calls on an older connection are answered every 2 seconds for 60 seconds")
def answer_calls(context):
    for _ in range(30):
        context.play.run(2.0)
        context.play.call(START, ANSWER_SECONDS, True)


@when("all connections fall silent and calls on new ones are answered")
def silence_all(context):
    play = context.play
    context.event_at = silent_at = play.now
    play.answers = lambda connected_at: connected_at > silent_at
    play.run(6.0, lambda: play.call(play.now - 0.01, 0.01, True))


@when("a call on an older connection times out after {seconds:g} seconds")
def time_out(context, seconds):
    play = context.play
    play.run(1.5)
    context.event_at = play.now
    play.call(START, seconds, False)
    play.run(1.0)


@when("calls that were sent before the renewal time out after it")
def time_out_later(context):
    play = context.play
    play.run(0.5)
    play.call(START, play.now - play.renewed_at + 0.5, False)
    play.run(0.5)


@when(
    "a call that was sent {delay:g} seconds after the renewal"
    " times out after {seconds:g} seconds"
)
def time_out_after_renewal(context, delay, seconds):
    play = context.play
    sent_at = play.renewed_at + delay
    play.forget_steps()
    play.run(sent_at + seconds - play.now)
    play.call(sent_at, play.now - sent_at, False)
    play.run(2.0)
    context.event_at = sent_at


@then(
    "the connections are renewed again within {seconds:g} seconds"
    " after the call was sent"
)
def check_second_renewal(context, seconds):
    check_renewal(context, seconds)


@when("the store answers nothing for 60 seconds, and 20 calls a second time out")
def answer_nothing(context):
    play = context.play
    play.answers = lambda connected_at: False
    play.run(60.0, lambda: play.call(play.now - 1.0, 1.0, False))


@when("each probe is answered on a new connection for 60 seconds")
def answer_on_new_connections(context):
    context.play.keeps_connection = False
    context.play.run(60.0)


@then("the connections are renewed within {seconds:g} seconds")
def check_renewal(context, seconds):
    play = context.play
    assert play.renewed_at is not None
    assert play.renewed_at - context.event_at <= seconds, play.renewed_at


@then("there were {probes:d} probes and {renewals:d} renewals")
def check_steps(context, probes, renewals):
    steps = context.play.steps
    assert steps[ContactStep.PROBE] == probes, steps
    assert steps[ContactStep.RENEW] == renewals, steps


@then("there were {least:d} to {most:d} probes and {fewest:d} to {maximum:d} renewals")
@then("there were {least:d} to {most:d} probes and {fewest:d} renewals")
def check_step_ranges(context, least, most, fewest, maximum=None):
    steps = context.play.steps
    assert least <= steps[ContactStep.PROBE] <= most, steps
    maximum = fewest if maximum is None else maximum
    assert fewest <= steps[ContactStep.RENEW] <= maximum, steps


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


@when("nothing happens for {seconds:d} seconds")
def wait_idle(context, seconds):
    store = context.gateways.store
    first = len(store.calls)
    time.sleep(seconds)
    context.calls = store.calls[first:]


@then("the store received {least:d} to {most:d} probes or calls of guards")
def check_probes(context, least, most):
    counts = Counter(call.kind for call in context.calls if call.is_outdated)
    count = sum(counts[kind] for kind in ("probes", "config", "servers"))
    assert least <= count <= most, describe_calls(context.calls)


@when("the store answers nothing for {seconds:d} seconds")
def silence_store(context, seconds):
    has_gateways = hasattr(context, "gateways")
    store = context.gateways.store if has_gateways else context.emulated
    first = len(store.calls)
    store.set_silent(True)
    time.sleep(seconds)
    context.calls = store.calls[first:]
    context.returned_index = first + len(context.calls)
    store.set_silent(False)


@then("it received at most {count:d} calls in that time")
def check_calls(context, count):
    fleet = context.gateways
    assert len(context.calls) <= count, (
        describe_calls(context.calls),
        [describe_counted_calls(fleet.metrics(n)) for n in range(len(fleet.nodes))],
    )


@then("it received at most {count:d} watches in that time")
def check_watches(context, count):
    watches = [call for call in context.calls if call.wait_seconds is not None]
    assert len(watches) <= count, describe_calls(context.calls)


def describe_calls(calls):
    """Return how many calls there were of each form."""
    return Counter(
        (
            "outdated" if call.is_outdated else "newest",
            call.method if call.wait_seconds is None else "watch",
            call.kind,
            call.wait_seconds and math.ceil(call.wait_seconds),
        )
        for call in calls
    )


def describe_counted_calls(metrics):
    """Return the lines of a gateway's metrics that count its ended calls."""
    return [
        line
        for line in metrics.splitlines()
        if line.startswith("sequoiaglade_gateway_store_calls_total{")
    ]
