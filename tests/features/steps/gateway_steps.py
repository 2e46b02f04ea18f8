"""Steps of online requests through real gateways on the emulated platform."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from emulator import RunnerPlan
from emulator.fleet import wait_until
from gateway_calls import SLOW, ask_together, runs, start


@given("{nodes:d} gateways and {count:d} runners")
@given("{nodes:d} gateway and {count:d} runners")
@given("{nodes:d} gateway and {count:d} runner")
@given("{nodes:d} gateways and {count:d} runner")
def given_fleet(context, nodes, count):
    start(context, nodes, [RunnerPlan()] * count)


@given("{nodes:d} gateways and {count:d} slow runners")
@given("{nodes:d} gateway and {count:d} slow runners")
@given("{nodes:d} gateway and {count:d} slow runner")
@given("{nodes:d} gateways and {count:d} slow runner")
def given_slow_fleet(context, nodes, count):
    start(context, nodes, [SLOW] * count)


@given("1 gateway and 1 slow runner with 1 slot")
def given_one_slot(context):
    start(context, 1, [SLOW._replace(slots=1)])


@given("1 gateway and 2 runners of which {count:d} breaks after 2 events")
@given("1 gateway and 2 runners of which {count:d} break after 2 events")
def given_breaking(context, count):
    plans = [RunnerPlan(breaks_after=2 if n < count else 0) for n in range(2)]
    start(context, 1, plans)


@given('{nodes:d} gateways and {count:d} runners that crash on "{word}"')
@given('{nodes:d} gateway and {count:d} runners that crash on "{word}"')
def given_crashing(context, nodes, count, word):
    start(context, nodes, [RunnerPlan(crashes_on=word)] * count)


@given("3 gateways and 2 runners and a rate of {rate:d} and a burst of {burst:d}")
def given_rate(context, rate, burst):
    workspaces = {"yard": {"keys": ["key-yard"], "rate": rate, "burst": burst}}
    plans = [RunnerPlan(slots=64)] * 2
    start(context, 3, plans, workspaces=workspaces)


@when('a caller requests "{path}" from gateway {node:d}')
def request_once(context, path, node):
    context.answers = [context.gateways.send(path, node)]


@when('a caller requests "{path}" from gateway 0 until each runner has run one')
def request_until_both_ran(context, path):
    context.answers = []
    for _ in range(40):
        context.answers.append(context.gateways.send(path, 0))
        if all(runner.runs for runner in context.gateways.runners):
            return
    raise AssertionError("one runner got no request")


@when('a caller requests "{path}" {count:d} times from each gateway')
def request_repeatedly(context, path, count):
    context.answers = []
    for number in range(count):
        for node in (0, 1):
            context.answers.append(context.gateways.send(path, node))
            time.sleep(0.5)


@then("the response is 200, signed and complete with {count:d} events")
def check_complete(context, count):
    (answer,) = context.answers
    assert answer.status == 200, answer
    assert answer.is_complete and answer.is_signed, answer
    assert answer.events == list(range(1, count + 1)), answer


@then(
    'the runners received one request, for workspace "{workspace}" and without the key'
)
def check_run(context, workspace):
    (run,) = runs(context)
    assert run.workspace == workspace and not run.has_key, run


@then("the runners received one request in total")
def check_once(context):
    assert len(runs(context)) == 1, runs(context)


@then("the response status is {status:d}")
def check_status(context, status):
    assert context.answers[0].status == status, context.answers


@then("the response is incomplete")
def check_incomplete(context):
    assert not context.answers[0].is_complete, context.answers


@then("each response has the events 1 to 6 in order")
def check_events(context):
    for answer in context.answers:
        assert answer.is_complete and answer.events == [1, 2, 3, 4, 5, 6], answer


@then("a run resumed after event {number:d}")
def check_resumed(context, number):
    assert any(run.after_event == number for run in runs(context)), runs(context)


@then("at most {count:d} runners have crashed")
def check_crashes(context, count):
    crashed = [r for r in context.gateways.runners if r.is_down]
    assert 1 <= len(crashed) <= count, len(crashed)


@then('a request for "{path}" with key "{key}" returns {status:d}')
def check_answer(context, path, key, status):
    answer = context.gateways.send(path, 0, key=key)
    assert answer.status == status, answer


@then('a request for "{path}" without a key returns {status:d}')
def check_public(context, path, status):
    answer = context.gateways.send(path, 0, key=None)
    assert answer.status == status, answer


@when('the key "{old}" is replaced by "{new}"')
def replace_key(context, old, new):
    context.gateways.workspaces = {"yard": {"keys": [new]}}
    context.gateways.configure()


@when('the store drops its history and the key "{old}" is replaced by "{new}"')
def forget_history(context, old, new):
    replace_key(context, old, new)
    context.gateways.store.compact()


@then(
    'within {seconds:d} seconds all gateways return 401 for "{path}" with key "{key}"'
)
def check_key_rejected(context, seconds, path, key):
    fleet = context.gateways
    nodes = range(len(fleet.nodes))
    refused = lambda: all(fleet.send(path, n, key=key).status == 401 for n in nodes)  # noqa: E731
    wait_until(refused, float(seconds), f"{key} is refused everywhere")


@when("runner 0 registers as draining")
def register_draining(context):
    context.gateways.runners[0].register("draining")


@then("after 1 second {count:d} requests reach only runner 1")
def check_only_other_runner(context, count):
    time.sleep(1.0)
    for number in range(count):
        assert context.gateways.send(f"/once/{number}").status == 200
    first, second = context.gateways.runners
    assert not first.runs and len(second.runs) == count, (first.runs, second.runs)


@when("the store is down while all runners' entries expire")
def expire_entries(context):
    context.gateways.store.set_down(True)
    time.sleep(0.7)
    for runner in context.gateways.runners:
        runner.deregister()


@when("the store recovers and runner 0 registers again within a second")
def recover_store(context):
    context.gateways.store.set_down(False)
    time.sleep(0.8)
    context.gateways.runners[0].register("ready")


@then("after 3 seconds runner 1, which has not registered again, gets no requests")
def check_entry_removed(context):
    time.sleep(3.0)
    before = len(context.gateways.runners[1].runs)
    for number in range(8):
        assert context.gateways.send(f"/once/{number}").status == 200
    assert len(context.gateways.runners[1].runs) == before


@when("callers send {count:d} requests in {seconds:d} seconds to all gateways in turn")
def request_at_rate(context, count, seconds):
    fleet = context.gateways
    with ThreadPoolExecutor(16) as pool:
        futures = []
        for number in range(count):
            node = number % len(fleet.nodes)
            futures.append(pool.submit(fleet.send, f"/once/{number}", node))
            time.sleep(seconds / count)
        context.answers = [future.result() for future in futures]


@then("the runners ran between {least:d} and {most:d} requests")
def check_ran(context, least, most):
    count = len(runs(context))
    assert least <= count <= most, count


@then("the others got 429 with a Retry-After header")
def check_limited(context):
    refused = [answer for answer in context.answers if answer.status != 200]
    assert refused and all(answer.status == 429 for answer in refused), refused
    assert all(float(answer.headers["Retry-After"]) > 0 for answer in refused)


@when("a caller disconnects after the first event")
def disconnect(context):
    context.gateways.disconnect_after_first_event("/once/1")


@then("within {seconds:f} seconds no run is in progress")
def check_stopped(context, seconds):
    runner = context.gateways.runners[0]
    assert runner.runs
    wait_until(lambda: runner.running == 0, seconds, "the run has stopped")


@when("{count:d} callers send requests at once")
def request_at_once(context, count):
    ask_together(context, count, 0)


@then("some get 503 within {seconds:f} seconds")
def check_refused(context, seconds):
    refused = [a for a in context.answers if a.status == 503]
    assert refused and all(a.first_byte_seconds < seconds for a in refused), (
        context.answers
    )
    assert all(float(a.headers["Retry-After"]) > 0 for a in refused), refused


@then("refused requests never run")
def check_never_ran(context):
    time.sleep(0.5)
    served = sum(answer.status == 200 for answer in context.answers)
    assert len(runs(context)) == served, (len(runs(context)), served)


@when("gateway 0 is asked to stop while {count:d} requests run there")
def stop_under_load(context, count):
    thread = threading.Thread(target=ask_together, args=(context, count, 0))
    thread.start()
    wait_until(lambda: len(runs(context)) == count, 3.0, "all requests run")
    context.stopped_at = time.monotonic()
    context.gateways.nodes[0].terminate()
    time.sleep(0.5)
    context.listed_addresses = context.gateways.addresses(1)
    thread.join()


@then("all {count:d} responses are complete")
def check_all_complete(context, count):
    assert len(context.answers) == count
    assert all(a.status == 200 and a.is_complete for a in context.answers)


@then("the directory of gateway 1 lists only gateway 1")
def check_directory(context):
    assert context.listed_addresses == [context.gateways.nodes[1].data], (
        context.listed_addresses
    )


@then("gateway 0 exits within 8 seconds")
def check_exited(context):
    code = context.gateways.nodes[0].process.wait(8.0)
    assert code == 0, code
    assert time.monotonic() - context.stopped_at < 8.0


@when("the store is down and gateway 0 is killed and restarted")
def restart_in_outage(context):
    fleet = context.gateways
    fleet.store.set_down(True)
    fleet.nodes[0].kill()
    fleet.nodes[0].start()


@then("gateway 0 serves callers within 6 seconds")
def check_serves_callers(context):
    fleet = context.gateways
    serves = lambda: (a := fleet.send("/once/1", 0)) is not None and a.status == 200  # noqa: E731
    wait_until(serves, 6.0, "gateway 0 serves")
