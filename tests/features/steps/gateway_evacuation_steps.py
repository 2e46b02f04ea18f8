"""Steps for gateways on an emulated platform whose operator evacuates domains."""

import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from emulator import RunnerPlan
from emulator.fleet import wait_until
from gateway_calls import SLOW, start
from gateway_evacuation_decision_steps import names_in

SETTINGS = {
    "evacuations": True,
    "region_by_failure_domain": {"zone-a": "west", "zone-b": "west"},
}
KIND = "evacuations"
CALLERS = 12
# Callers begin one after the other, so that some requests have just begun at any time.
CALLER_SECONDS = 0.1
PATHS = ("/safe/{}", "/once/{}", "/resume/{}")
# Load before and after a change, so that requests run everywhere.
LOAD_SECONDS = 2.0
APPLY_SECONDS = 1.0
START_SECONDS = 20.0


def _start(context, gateways, plans, **options):
    start(context, gateways, plans, settings=SETTINGS, **options)
    context.lost = set()
    context.answers = []


@given(
    '{gateways:d} gateways, and {count:d} slow runners in each of the domains "{one}" '
    'and "{other}"'
)
def given_slow(context, gateways, count, one, other):
    plans = [SLOW._replace(failure_domain=domain) for domain in (one, other)]
    _start(context, gateways, [plan for plan in plans for _ in range(count)])


@given(
    '{gateways:d} gateways, and 1 runner in each of the domains "{one}" and "{other}"'
)
def given_runners(context, gateways, one, other):
    plans = [RunnerPlan(failure_domain=domain) for domain in (one, other)]
    _start(context, gateways, plans, has_entrances=gateways > 2)


@given('{gateways:d} gateways, and runners in "{domains}", the second of which breaks')
def given_breaking(context, gateways, domains):
    plans = [RunnerPlan(failure_domain=domain) for domain in names_in(domains)]
    plans[1] = plans[1]._replace(breaks_after=2)
    _start(context, gateways, plans)


def _runners_in(context, domain):
    return [r for r in context.gateways.runners if r.plan.failure_domain == domain]


def _arrivals(context, domain):
    runners = _runners_in(context, domain)
    return sorted(at for runner in runners for at in runner.received_at)


def _runs(context, domain):
    return [run for runner in _runners_in(context, domain) for run in runner.runs]


@when("requests of all kinds and a job of {count:d} items arrive at all gateways")
def begin_load(context, count):
    fleet = context.gateways
    items = [(f"item-{number}", "/batch/x") for number in range(count)]
    _, response = fleet.submit(items)
    assert response.status == 202, response
    context.is_over = threading.Event()
    pool = context.stack.enter_context(ThreadPoolExecutor(CALLERS))
    context.stack.callback(context.is_over.set)
    context.callers = [pool.submit(_call, context, seed) for seed in range(CALLERS)]
    time.sleep(LOAD_SECONDS)
    assert all(_runs(context, domain) for domain in ("zone-a", "zone-b"))


def _call(context, seed):
    """Send requests one after the other until the load is over."""
    generator = random.Random(seed)
    time.sleep(CALLER_SECONDS * seed)
    while not context.is_over.is_set():
        path = generator.choice(PATHS).format(seed)
        node = generator.randrange(len(context.gateways.nodes))
        context.answers.append(context.gateways.send(path, node))


@when('the domain "{domain}" is evacuated')
@when('the domains "{domain}" are evacuated')
def evacuate(context, domain):
    for name in names_in(domain):
        context.gateways.store.put(KIND, name, {})
    context.changed_at = time.monotonic()
    if not hasattr(context, "callers"):
        time.sleep(APPLY_SECONDS)
    context.check_from = time.monotonic()


@when('the evacuation of "{domain}" ends')
def end_evacuation(context, domain):
    context.gateways.store.remove(KIND, domain)
    context.changed_at = time.monotonic()


@then(
    'from {later:d} second later on nothing arrives in "{domain}" for {seconds:d} '
    "seconds"
)
@then(
    'from {later:d} seconds later on nothing arrives in "{domain}" for {seconds:d} '
    "seconds"
)
def check_nothing(context, later, domain, seconds):
    checked_from = context.changed_at + later
    time.sleep(max(0.0, checked_from - time.monotonic()))
    until = checked_from + seconds
    while time.monotonic() < until:
        _send_some(context)
        time.sleep(0.02)
    late = [at - context.changed_at for at in _arrivals(context, domain)]
    late = [at for at in late if at > later]
    assert not late, late
    context.check_from = checked_from


def _send_some(context):
    """Send a request to each gateway, unless callers do."""
    if hasattr(context, "callers"):
        return
    for node in range(len(context.gateways.nodes)):
        context.answers.append(context.gateways.send("/safe/more", node))


@then('requests and items arrive in "{domain}" meanwhile')
def check_others(context, domain):
    runs = [r for r in _runs(context, domain) if r.began_at > context.check_from]
    assert {run.batch for run in runs} == {False, True}, runs


@then('the requests that ran in "{domain}" are complete')
def check_complete(context, domain):
    runs = [
        run
        for run in _runs(context, domain)
        if not run.batch and run.began_at < context.check_from
    ]
    # Some were running when the domain was evacuated.
    stream_seconds = SLOW.event_count * SLOW.event_seconds
    last_end = max(run.began_at for run in runs) + stream_seconds
    assert last_end > context.changed_at, last_end - context.changed_at
    completed = {i for r in _runners_in(context, domain) for i in r.completed}
    assert {run.request_id for run in runs} <= completed


@then('within {seconds:d} seconds requests arrive in "{domain}"')
def check_arrivals(context, seconds, domain):
    since = context.changed_at
    until = since + seconds
    while time.monotonic() < until:
        _send_some(context)
        if any(at > since for at in _arrivals(context, domain)):
            return
        time.sleep(0.02)
    raise AssertionError(_arrivals(context, domain))


@then("all requests were answered")
def check_answers(context):
    context.is_over.set()
    for caller in context.callers:
        caller.result()
    wrong = [a for a in context.answers if a is None or a.status != 200]
    assert not wrong and all(a.is_complete for a in context.answers), wrong


@then("the evacuation was logged and counted")
def check_logged(context):
    for number, node in enumerate(context.gateways.nodes):
        lines = [
            (line["event"], line["failure_domain"], line["endpoints"])
            for line in node.log_lines()
            if str(line.get("event")).startswith("evacuation")
        ]
        assert lines == [
            ("evacuation began", "zone-a", 2),
            ("evacuation ended", "zone-a", 2),
        ], lines
        metrics = context.gateways.metrics(number)
        assert _counted(metrics, "begun") == _counted(metrics, "ended") == 1.0


def _counted(metrics, outcome):
    labels = ('event="evacuation"', f'outcome="{outcome}"')
    lines = metrics.splitlines()
    lines = [line for line in lines if all(label in line for label in labels)]
    return sum(float(line.split()[-1]) for line in lines)


@then('{count:d} streams are complete, and some were resumed, but not in "{domain}"')
def check_resumed(context, count, domain):
    for number in range(count):
        answer = context.gateways.send(f"/resume/{number}", number % 2)
        assert answer.status == 200 and answer.is_complete, answer
        assert answer.events == list(range(1, 7)), answer
    assert not any(at > context.check_from for at in _arrivals(context, domain))
    assert any(run.after_event for run in _runs(context, "zone-b"))


@when(
    "the store is away for {seconds:d} seconds, in which the entry of "
    '"{domain}" is removed'
)
def remove_while_away(context, seconds, domain):
    store = context.gateways.store
    store.set_down(True)
    began_at = time.monotonic()
    while time.monotonic() < began_at + seconds:
        _send_some(context)
        time.sleep(0.02)
    store.remove(KIND, domain)
    store.compact()
    _send_some(context)
    context.answered_by = len(context.answers)
    context.late = [at for at in _arrivals(context, domain) if at > context.check_from]
    context.changed_at = time.monotonic()
    store.set_down(False)


@then('nothing arrived in "{domain}" meanwhile though requests were answered')
def check_none_while_away(context, domain):
    assert not context.late, context.late
    answers = context.answers[: context.answered_by]
    assert len(answers) > 20 and all(a.status == 200 for a in answers), answers


@when("a gateway starts while the store is there")
def start_gateway(context):
    context.new = context.gateways.add_node()
    context.gateways.wait_ready(context.new)


@when("a gateway starts while the store is away")
def start_gateway_away(context):
    context.gateways.store.set_down(True)
    start_gateway(context)


@then(
    '{count:d} requests at the new gateway are answered and none arrives in "{domain}"'
)
def check_new(context, count, domain):
    for number in range(count):
        answer = context.gateways.send(f"/safe/{number}", context.new)
        assert answer.status == 200, answer
    assert not any(at > context.check_from for at in _arrivals(context, domain))


@then(
    "{count:d} requests are refused within {seconds:g} seconds, with 503 and a "
    "Retry-After"
)
def check_refused(context, count, seconds):
    context.refused_count = count
    for number in range(count):
        began_at = time.monotonic()
        answer = context.gateways.send(f"/safe/{number}")
        assert time.monotonic() - began_at < seconds, answer
        assert answer.status == 503, answer
        assert float(answer.headers["Retry-After"]) > 0, answer


@then('their log lines name the domains "{domains}"')
def check_refusal_lines(context, domains):
    lines = context.gateways.nodes[0].log_lines()
    lines = [line for line in lines if line.get("event") == "request given up"]
    assert len(lines) == context.refused_count, lines
    for line in lines:
        assert line["evacuated_domains"] == names_in(domains), line
        assert line["evacuated_endpoints"] == len(names_in(domains)), line


@then("the refusals are counted")
def check_refusals_counted(context):
    counted = _counted(context.gateways.metrics(), "request refused")
    assert counted == context.refused_count, counted


@then('nothing arrived in "{domain}" meanwhile')
def check_none(context, domain):
    assert not any(at > context.check_from for at in _arrivals(context, domain))


@then('all gateways know within {seconds:d} second that "{domains}" is evacuated')
def check_known(context, seconds, domains, numbers=None):
    fleet = context.gateways

    def knows(number):
        rows = fleet.status(number)["evacuations"]
        return [row["failure_domain"] for row in rows] == names_in(domains)

    numbers = numbers or range(len(fleet.nodes))
    time.sleep(max(0.0, context.changed_at + seconds - time.monotonic()))
    with ThreadPoolExecutor(len(numbers)) as pool:
        assert all(pool.map(knows, numbers)), domains


@then("at most {count:d} gateways watch the evacuations")
def check_watched(context, count):
    store = context.gateways.store
    # A follower has its watch and a standby of it.
    wait_until(
        lambda: 0 < store.waiting_count(KIND) <= 2 * count,
        START_SECONDS,
        "few gateways watch the evacuations",
    )


@when("the watches of evacuations that wait get no answer any more")
def lose_watches(context):
    context.gateways.store.lose_watch_responses(KIND)
