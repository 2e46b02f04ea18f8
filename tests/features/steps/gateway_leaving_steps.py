"""Steps for endpoints that announce their shutdown in their responses."""

import time
from concurrent.futures import ThreadPoolExecutor
from datetime import datetime

from behave import then, when
from emulator import EmulatedRunner, RunnerPlan
from emulator.fleet import SERVICE, wait_until
from gateway_calls import runs
from hypothesis import given as forall
from hypothesis import settings
from hypothesis import strategies as st

from sequoiaglade_decisions.gateway import (
    Endpoint,
    EndpointDirectory,
    LeavingEndpoints,
)

# The head of a response reaches the gateway within this time.
HEAD_SECONDS = 0.3
COMPLETED_SECONDS = 2.0
REJECTED_PATH = "/safe/rejected"


@when("the store goes down")
def take_store_down(context):
    context.gateways.store.set_down(True)
    time.sleep(0.7)


@when("the store returns and lists runner {number:d} as ready")
def return_store(context, number):
    context.gateways.store.set_down(False)
    context.gateways.runners[number].register("ready")
    time.sleep(1.0)


@when("runner {number:d} leaves")
def leave(context, number):
    context.gateways.runners[number].leave()


@when("runner {number:d} leaves and has answered a request")
def leave_and_answer(context, number):
    runner = context.gateways.runners[number]
    runner.leave()
    _send_until_answered(context, runner, "/safe/first")
    _note_runs(context)


@when("runner {number:d} leaves and has begun a stream")
def leave_in_stream(context, number):
    runner = context.gateways.runners[number]
    runner.leave()
    pool = context.stack.enter_context(ThreadPoolExecutor(8))
    context.pending = []
    while not runner.runs:
        context.pending.append(pool.submit(context.gateways.send, "/resume/first"))
        time.sleep(0.05)
    time.sleep(HEAD_SECONDS)
    _note_runs(context)


@when("runner {number:d} leaves and rejects each request with {status:d}")
def leave_and_reject(context, number, status):
    runner = context.gateways.runners[number]
    match status:
        case 503:
            runner.leave(has_refusals=True)
        case 421:
            runner.leave()
            runner.runner_id = "runner-elsewhere"
        case _:
            runner.plan = runner.plan._replace(status_by_word={"rejected": status})
            runner.leave()


@when("a new runner registers")
def register_new_runner(context):
    fleet = context.gateways
    runner = EmulatedRunner(fleet.store, "runner-new", SERVICE, RunnerPlan())
    context.stack.enter_context(runner)


@when("another runner starts at the address of runner {number:d}")
def reuse_address(context, number):
    context.gateways.runners[number].restart_as("runner-other")
    _note_runs(context)


@when("runner {number:d} starts again under its id")
def start_again(context, number):
    runner = context.gateways.runners[number]
    runner.restart_as(runner.runner_id)


@when("all gateways know each other")
def wait_known(context):
    fleet = context.gateways
    count = len(fleet.nodes) - 1
    all_known = lambda: len(fleet.status(0)["peers"]) == count  # noqa: E731
    wait_until(all_known, 20.0, "the gateways know each other")
    time.sleep(1.0)


@then("{count:d} requests are answered and none reaches runner {number:d}")
def check_none(context, count, number):
    assert _send_all(context, count, number) == 0, runs(context)


@then(
    "{count:d} requests during the stream are answered and none reaches runner "
    "{number:d}"
)
def check_none_in_stream(context, count, number):
    with ThreadPoolExecutor(count) as pool:
        sent = [pool.submit(_send_all, context, 1, number) for _ in range(count)]
        assert any(not pending.done() for pending in context.pending)
        assert [future.result() for future in sent] == [0] * count, runs(context)


@then(
    "after 1 second {count:d} requests are answered and none reaches runner {number:d}"
)
def check_none_later(context, count, number):
    time.sleep(1.0)
    check_none(context, count, number)


@then("after 1 second {count:d} requests are answered and some reach runner {number:d}")
def check_some_later(context, count, number):
    time.sleep(1.0)
    assert _send_all(context, count, number) > 0, runs(context)


@then(
    "{count:d} requests in {seconds:g} seconds are answered and only 1 reaches runner 0"
)
def check_one_rejected(context, count, seconds):
    for _ in range(count):
        answer = context.gateways.send(REJECTED_PATH)
        assert answer.status == 200, answer
        time.sleep(seconds / count)
    received = context.gateways.runners[0].received_at
    assert len(received) == 1, received


@then(
    "{count:d} requests are refused within {seconds:g} seconds, with a Retry-After of "
    "at most {retry_seconds:g} second"
)
def check_refused(context, count, seconds, retry_seconds):
    run_count = len(runs(context))
    for number in range(count):
        began_at = time.monotonic()
        answer = context.gateways.send(f"/safe/{number}")
        assert time.monotonic() - began_at < seconds, answer
        assert answer.status == 503, answer
        assert 0 < float(answer.headers["Retry-After"]) <= retry_seconds, answer
    assert len(runs(context)) == run_count, runs(context)
    _note_runs(context)


@when("1 second has passed")
def wait_second(context):
    time.sleep(1.0)


@then("a request is answered, but no item runs")
def check_only_online(context):
    fleet = context.gateways
    _, response = fleet.submit([("item-0", "/batch/x")])
    assert response.status == 202, response
    answer = fleet.send("/safe/last")
    assert answer.status == 200 and answer.is_complete, answer
    assert not any(run.batch for run in runs(context)), runs(context)


@then("the stream is complete")
def check_stream(context):
    for pending in context.pending:
        answer = pending.result()
        assert answer.is_complete and answer.events == list(range(1, 13)), answer


@then("no item reached runner 0 after its first response")
def check_items(context):
    first, second = context.gateways.runners
    assert first.runs and second.runs, (first.runs, second.runs)
    (line,) = _log_lines(context, "endpoint leaving")
    seen_at = datetime.fromisoformat(line["timestamp"]).timestamp()
    seen_at -= time.time() - time.monotonic()
    # The announcement is in the head, so it is seen before the stream ends.
    stream_seconds = first.plan.event_count * first.plan.event_seconds
    assert seen_at < first.runs[0].began_at + stream_seconds, (seen_at, first.runs)
    late = [run.began_at - seen_at for run in first.runs]
    assert max(late) < HEAD_SECONDS, late
    _note_runs(context)


@then('the leave of "{endpoint_id}" was logged once, with the request that saw it')
def check_log(context, endpoint_id):
    (line,) = _log_lines(context, "endpoint leaving")
    assert line["endpoint_id"] == endpoint_id, line
    request_ids = {run.request_id for run in context.gateways.runners[0].runs}
    assert line["request_id"] in request_ids, line


@then("the metrics count {count:d} leave")
def check_metrics(context, count):
    lines = context.gateways.metrics().splitlines()
    (line,) = [line for line in lines if 'event="endpoint leaving"' in line]
    assert float(line.split()[-1]) == count, line


@then(
    "for any changes of the list an endpoint that announced its shutdown is not usable"
)
def check_any_changes(context):
    changes = st.sampled_from(("ready", "draining", "remove", "down", "up", "none"))

    @settings(max_examples=300, deadline=None)
    @forall(st.lists(changes), st.integers(0, 2))
    def holds(steps, noted_at):
        directory = EndpointDirectory()
        other = Endpoint("e-2", "s", "10.0.0.1:80", "d", 8, born=7)
        endpoint = Endpoint("e-1", "s", "10.0.0.1:80", "d", 8, born=7)
        directory.replace([endpoint, other], 0.0)
        for number, step in enumerate([*steps, "ready"]):
            now = float(number)
            if number == noted_at:
                assert directory.note_leaving("e-1", 7, now)
            match step:
                case "ready" | "draining":
                    is_draining = step == "draining"
                    directory.put(endpoint._replace(is_draining=is_draining), now)
                case "remove":
                    directory.remove("e-1", now)
                case "none":
                    directory.replace([other], now)
                case "down":
                    directory.note_outage()
                case "up":
                    directory.note_recovery(now)
            if number >= noted_at:
                assert directory.usable("s", now) == [other], step
                assert not directory.note_leaving("e-1", 7, now)
        restarted = endpoint._replace(born=8)
        directory.put(restarted, now)
        assert noted_at > len(steps) or restarted in directory.usable("s", now)

    holds()


@when("{count:d} endpoints announce their shutdown and are removed, 0.1 seconds apart")
def announce_many(context, count):
    context.leaving = LeavingEndpoints()
    context.leaving.note("listed", 7, True, 0.0)
    context.most = 0
    for number in range(count):
        now = number / 10
        context.leaving.note(f"e-{number}", 7, True, now)
        context.leaving.note_unlisted(f"e-{number}", now)
        context.leaving.drop_expired(now)
        context.most = max(context.most, len(context.leaving))
    context.last_at = now


@then("at most {kept:d} of them are kept, and those removed last for 600 seconds")
def check_bounded(context, kept):
    leaving = context.leaving
    assert context.most == kept + 1, context.most
    leaving.drop_expired(context.last_at + 599.9)
    assert leaving.is_leaving("e-4999", 7)
    leaving.drop_expired(context.last_at + 600.1)
    assert len(leaving) == 1


@then("an endpoint that stays listed is kept longer")
def check_listed(context):
    context.leaving.drop_expired(1e6)
    assert context.leaving.is_leaving("listed", 7)


def _note_runs(context):
    runners = context.gateways.runners
    context.run_count_by_id = {r.runner_id: len(r.runs) for r in runners}


def _send_until_answered(context, runner, path):
    for _ in range(40):
        answer = context.gateways.send(path)
        assert answer.status == 200, answer
        if not answer.announces_shutdown:
            continue
        # The runner notes the end after the caller has got it.
        wait_until(
            lambda: answer.request_id in runner.completed,
            COMPLETED_SECONDS,
            "the runner has completed the request",
        )
        return
    raise AssertionError("no response of the runner reached a caller")


def _send_all(context, count, number):
    """Send requests; return how many of all since the leave reached a runner."""
    for _ in range(count):
        answer = context.gateways.send("/safe/later")
        assert answer.status == 200 and answer.is_complete, answer
    runner = context.gateways.runners[number]
    return len(runner.runs) - context.run_count_by_id[runner.runner_id]


def _log_lines(context, event):
    lines = context.gateways.nodes[0].log_lines()
    return [line for line in lines if line.get("event") == event]
