"""Steps for batch jobs with real gateways on the emulated platform."""

import signal
import time
from collections import Counter

from behave import given, then, when
from emulator import RunnerPlan
from emulator.fleet import wait_until
from gateway_calls import ask_together, runs, start

EVENTS = 6
UNREACHABLE_ADDRESS = "127.0.0.1:1"
# No item ends before its scenario is over.
LONG_ITEMS = RunnerPlan(event_count=30, event_seconds=1.0)


@given("2 gateways, one more that cannot reach the store, and 1 runner")
def given_node_without_store(context):
    start(context, 2, [RunnerPlan()])
    node = context.gateways.add_node(store_address=UNREACHABLE_ADDRESS)
    context.gateways.wait_ready(node)


@given("2 gateways and 1 runner with long items")
def given_long_items(context):
    start(context, 2, [LONG_ITEMS])


@given('1 gateway and 2 runners that answer 422 on "never" and 500 on "fails"')
def given_failing(context):
    start(context, 1, [RunnerPlan(status_by_word={"never": 422, "fails": 500})] * 2)


@given("the gateways have run for {seconds:d} seconds")
def given_running(context, seconds):
    time.sleep(seconds)


def submit(context, names, node, **options):
    context.items = [(name, f"/batch/x/{name}") for name in names]
    context.submitted_at = time.monotonic()
    context.job_id, context.answer = context.gateways.submit(
        context.items, node, **options
    )


@when("a job of {count:d} items is submitted at gateway {node:d}")
def submit_job(context, count, node):
    submit(context, [f"item-{n:02d}" for n in range(count)], node)


@when("the same job is submitted again at gateway {node:d}")
def submit_again(context, node):
    _, context.answer = context.gateways.submit(
        context.items, node, job_id=context.job_id
    )


@when('a job with an item "never", an item "fails" and 2 others is submitted')
def submit_failing(context):
    submit(context, ["never", "fails", "item-0", "item-1"], 0)


@then("it is accepted")
def check_accepted(context):
    assert context.answer.status == 202, context.answer


@then("it is refused with 429 or 503 within 1 second")
def check_refused_job(context):
    assert context.answer.status in (429, 503), context.answer
    assert time.monotonic() - context.submitted_at < 1.0


@then("no item of it runs within 2 seconds")
def check_not_run(context):
    time.sleep(2.0)
    assert not runs(context), runs(context)


def results(context, node):
    status, body = context.gateways.results(context.job_id, node)
    return body["Results"] if status == 200 else []


@then("within {seconds:d} seconds all items are completed at gateway {node:d}")
def check_completed(context, seconds, node):
    count = len(context.items)
    done = lambda: len(results(context, node)) == count  # noqa: E731
    wait_until(done, seconds, f"{count} results at gateway {node}")
    found = results(context, node)
    assert all(row["State"] == "completed" for row in found), found
    assert sorted(row["Id"] for row in found) == sorted(n for n, _ in context.items)
    return found


@then("within {seconds:d} seconds all items are completed at every gateway")
def check_completed_everywhere(context, seconds):
    first = check_completed(context, seconds, 0)
    for node in range(1, len(context.gateways.nodes)):
        assert results(context, node) == first, node


@then("every result has the data of events 1 to 6")
def check_output(context):
    expected = "\n".join(f"piece-{n}" for n in range(1, EVENTS + 1))
    assert {row["Output"] for row in results(context, 0)} == {expected}


@then("a read from position 5 begins with the sixth result")
def check_position(context):
    _, body = context.gateways.results(context.job_id, 1, after=5)
    assert body["Results"] == results(context, 0)[5:], body
    assert body["Next"] == body["Total"] == len(context.items), body


@then("no item ran twice")
def check_ran_once(context):
    counts = Counter(run.request_id for run in runs(context))
    assert set(counts.values()) == {1}, counts


@then("no item is listed twice")
def check_listed_once(context):
    ids = [row["Id"] for row in results(context, 0)]
    assert len(ids) == len(set(ids)), ids


@when("gateway {number:d} is killed")
def kill(context, number):
    context.gateways.nodes[number].kill()


@when("gateway 0 is suspended until gateway 1 has listed {count:d} more results")
def suspend_until_listed(context, count):
    process = context.gateways.nodes[0].process
    wait_until(lambda: results(context, 0), 10.0, "a result is listed")
    before = len(results(context, 0))
    process.send_signal(signal.SIGSTOP)
    try:
        listed = lambda: len(results(context, 1)) >= before + count  # noqa: E731
        wait_until(listed, 15.0, "gateway 1 has listed more results")
        context.listed_results = results(context, 1)
    finally:
        process.send_signal(signal.SIGCONT)


@when("gateway 0 is suspended for {seconds:d} seconds")
def suspend(context, seconds):
    process = context.gateways.nodes[0].process
    process.send_signal(signal.SIGSTOP)
    time.sleep(seconds)
    process.send_signal(signal.SIGCONT)


@then("for {seconds:d} seconds gateway 0 never returns fewer results than gateway 1")
def check_never_outdated(context, seconds):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        returned = results(context, 1)
        status, body = context.gateways.results(context.job_id, 0)
        assert status == 503 or body["Results"][: len(returned)] == returned, (
            body,
            returned,
        )
        time.sleep(0.02)
    entries = context.gateways.nodes[0].log_lines()
    assert not any(entry["event"] == "job adopted" for entry in entries), entries


@then("gateway 0 returns at least the results that gateway 1 returned")
def check_not_outdated(context):
    found = results(context, 0)
    assert found[: len(context.listed_results)] == context.listed_results, (
        len(found),
        len(context.listed_results),
    )


@when("all gateways are killed and restarted")
def restart_all(context):
    for node in context.gateways.nodes:
        node.kill()
    for node in context.gateways.nodes:
        node.start()
    for number in range(len(context.gateways.nodes)):
        context.gateways.wait_ready(number)


@when('the store loses the responses to the next {count:d} writes of "{kind}"')
def lose_answers(context, count, kind):
    context.gateways.store.drop_responses(kind, count)


@when("the store is down")
def store_down(context):
    context.gateways.store.set_down(True)
    time.sleep(1.0)


@when("the store is up again")
def store_back(context):
    context.gateways.store.set_down(False)


@then("within {seconds:d} seconds a job is accepted at every gateway")
def check_accepts_jobs(context, seconds):
    fleet = context.gateways
    items = [("item-0", "/batch/x/0")]
    deadline = time.monotonic() + seconds
    for node in range(len(fleet.nodes)):
        accepted = lambda: fleet.submit(items, node)[1].status == 202  # noqa: B023, E731
        wait_until(accepted, deadline - time.monotonic(), f"gateway {node} accepts")


@then('within {seconds:d} seconds "never" and "fails" are given up, others done')
def check_given_up(context, seconds):
    count = len(context.items)
    wait_until(
        lambda: len(results(context, 0)) == count, seconds, "all results are listed"
    )
    state_by_id = {row["Id"]: row["State"] for row in results(context, 0)}
    assert state_by_id == {
        "never": "dead_letter",
        "fails": "dead_letter",
        "item-0": "completed",
        "item-1": "completed",
    }, state_by_id


@then('"never" ran once and "fails" 3 times')
def check_attempts(context):
    counts = Counter(run.request_id for run in runs(context))
    assert counts["never"] == 1 and counts["fails"] == 3, counts


@when("the job is ended at gateway 1")
def end_job(context):
    wait_until(lambda: runs(context), 3.0, "an item runs")
    answer = context.gateways.end(context.job_id, 1)
    assert answer.status == 200, answer


@then("after 1 second no item of it starts")
def check_ended_job(context):
    time.sleep(1.0)
    before = len(runs(context))
    time.sleep(1.5)
    assert len(runs(context)) == before < len(context.items)
    assert all(runner.running == 0 for runner in context.gateways.runners)


@then('the job "{job_id}" is not found at gateway 0')
def check_not_found(context, job_id):
    status, _ = context.gateways.results(job_id, 0)
    assert status == 404, status


@then('the workspace "other" cannot find it')
def check_other_workspace(context):
    fleet = context.gateways
    fleet.workspaces["other"] = {"keys": ["key-other"]}
    fleet.configure()
    ask = lambda: fleet.results(context.job_id, 1, key="key-other")[0]  # noqa: E731
    wait_until(lambda: ask() != 401, 2.0, "the key is known")
    assert ask() == 404


@when("jobs of 40,000 tokens are submitted alternately at both gateways")
def submit_large(context):
    context.statuses = []
    for number in range(3):
        items = [(f"item-{number}-{n}", f"/batch/x/{n}") for n in range(20)]
        _, answer = context.gateways.submit(items, number % 2, tokens=2000)
        context.statuses.append(answer.status)
        time.sleep(0.4)


@then("2 are accepted and the third is refused with 429")
def check_limited(context):
    assert context.statuses == [202, 202, 429], context.statuses


@then("the body of its last item is the same at every gateway")
def check_body(context):
    name, _ = context.items[-1]
    for node in range(len(context.gateways.nodes)):
        answer = context.gateways.item_body(context.job_id, name, node)
        assert (answer.status, answer.body) == (200, name.encode()), answer


@when("batch items occupy the runners")
def wait_until_occupied(context):
    fleet = context.gateways
    wait_until(
        lambda: sum(r.running for r in fleet.runners) >= 13, 5.0, "runners are full"
    )


@when("{count:d} callers send requests to gateway 1 at the same time")
def send_at_peak(context, count):
    ask_together(context, count, 1)


@then("all {count:d} get their first event within {seconds:f} seconds")
def check_first_events(context, count, seconds):
    assert all(a.status == 200 for a in context.answers), context.answers
    slowest = max(answer.first_byte_seconds for answer in context.answers)
    assert slowest < seconds, [answer.first_byte_seconds for answer in context.answers]


@then("a preempted item is resumed after its last event")
def check_resumed(context):
    has_resumed = lambda: any(run.batch and run.after_event for run in runs(context))  # noqa: E731
    wait_until(has_resumed, 5.0, "an item is resumed")
