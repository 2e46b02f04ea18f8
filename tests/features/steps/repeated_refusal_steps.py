"""Steps for runners that write the refusal of an earlier request once more."""

from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from emulator import RepeatedRefusals, RunnerPlan
from emulator.fleet import wait_until
from gateway_calls import runs, start
from paced_calls import wait_until_met

FAULTY = RunnerPlan(slots=64, raw=RepeatedRefusals())


@given("1 gateway and 2 runners that write an earlier refusal before each response")
def given_faulty(context):
    start(context, 1, [FAULTY] * 2)


@given(
    "1 gateway and 2 runners of which 1 writes an earlier refusal before each response"
)
def given_one_faulty(context):
    start(context, 1, [FAULTY, RunnerPlan()])


@given(
    "2 gateways, of which 0 is cut off from the 2 runners, which write an earlier "
    "refusal before each response"
)
def given_cut_off(context):
    start(context, 2, [FAULTY] * 2, has_runner_links=True)
    wait_until_met(context)
    fleet = context.gateways
    fleet.runner_links[0].cut("refuse")

    def is_cut_off():
        fleet.send("/safe/probe", 0)
        return fleet.status(0)["is_cut_off"]

    wait_until(is_cut_off, 10, "gateway 0 is cut off")


@when("{count:d} callers send requests that may not be repeated")
def send_once(context, count):
    paths = [f"/once/{number}" for number in range(count)]
    with ThreadPoolExecutor(count) as pool:
        answers = list(pool.map(context.gateways.send, paths))
    context.answer_by_path = dict(zip(paths, answers))


@then("those that ran did so once, and were not refused")
def check_ran(context):
    counts = Counter(run.path for run in runs(context))
    ran = {p: a for p, a in context.answer_by_path.items() if counts[p]}
    assert ran and all(counts[path] == 1 for path in ran), counts
    statuses = {path: answer.status for path, answer in ran.items()}
    assert not set(statuses.values()) & {408, 421, 429, 503}, statuses
