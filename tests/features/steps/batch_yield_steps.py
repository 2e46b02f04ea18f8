"""Steps on batch items that yield to online requests."""

import time
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor

from batch_once_steps import item_runs
from batch_steps import submit
from behave import then, when
from path_steps import complete, make_client, make_items

FILL_SECONDS = 15.0


@when(
    "a job of {count:d} items of {tokens:d} tokens fills the endpoint and {online:d}"
    " online requests of {online_tokens:d} tokens arrive"
)
def fill_and_burst(context, count, tokens, online, online_tokens):
    context.items = make_items(count, tokens)
    context.client = make_client(context.fleet)
    context.jobs = [submit(context.client, context.items, "yielding")]
    deadline = time.monotonic() + FILL_SECONDS
    while len(item_runs(context)) < count:
        assert time.monotonic() < deadline, "the items did not fill the endpoint"
        time.sleep(0.02)
    client = make_client(context.fleet, "hays")
    with ThreadPoolExecutor(online) as threads:
        answers = [
            threads.submit(complete, client, max_tokens=online_tokens)
            for _ in range(online)
        ]
    context.expected_answer = "".join(f"w{number} " for number in range(online_tokens))
    context.answers = [a.result().choices[0].message.content for a in answers]
    context.runs_in_burst = item_runs(context)


@then(
    "the online requests are served while items run, and {count:d} items yield to them"
)
def check_burst(context, count):
    assert context.answers == [context.expected_answer] * count, context.answers
    states = [run["state"] for run in context.runs_in_burst]
    assert "done" not in states and "running" in states, states
    assert states.count("hung_up") + states.count("cancelled") == count, states


@then("each item that yielded is resumed from a token it had reached")
def check_resumed(context):
    context.execute_steps(
        f"Then the job ends as completed with {len(context.items)} results,"
        " each item once"
    )
    starts_by_id = defaultdict(list)
    for run in item_runs(context):
        starts_by_id[run["request_id"]].append(run["resumed_from"])
    tokens = context.items[0]["body"]["max_tokens"]
    for starts in starts_by_id.values():
        assert starts[0] == 0 and starts == sorted(starts), starts_by_id
        assert all(0 < start < tokens for start in starts[1:]), starts_by_id
    resumed = [starts for starts in starts_by_id.values() if len(starts) > 1]
    assert len(resumed) == len(context.answers), starts_by_id
