"""Steps on the recall of copies of a request that has crashed another endpoint."""

import json
import threading

import urllib3
from behave import given, then, when
from online_calls import MESSAGES, in_background, text_of, wait_until

from sequoiaglade_standins.fleet import EndpointPlan, Fleet
from sequoiaglade_standins.samples import RESTOCKERS_MODEL, restockers_document

TOKENS = 75
TOKEN_SECONDS = 0.04


class RequestCopy:
    """A copy of the one request; `box` gets its answer's status and data."""

    def __init__(self, context, name):
        self._context = context
        self.name = name
        self.has_begun = threading.Event()
        self.box = in_background(self._run)

    def _run(self):
        fleet = self._context.fleet
        response = fleet.http.request(
            "POST",
            f"{fleet.nodes[0].url}/v1/chat/completions",
            json=self._context.body,
            headers={
                "Authorization": f"Bearer {fleet.key_by_workspace['salina']}",
                "X-Request-Id": self.name,
            },
            preload_content=False,
        )
        parts = []
        for part in response.stream(1024):
            parts.append(part)
            self.has_begun.set()
        return response.status, b"".join(parts)

    def wait(self):
        wait_until(lambda: self.box, 30, f"an answer to {self.name}")
        return self.box[0]


@given("2 copies of {call} run, each alone on a runner that {resume} streams")
def start_copies(context, call, resume):
    document = restockers_document() | {"rates": {}}
    document["routes"]["writer"]["repeatable"] = "not be repeated" not in call
    plans = [
        EndpointPlan(
            f"runner-{number}",
            model=RESTOCKERS_MODEL,
            slots=1,
            token_seconds=TOKEN_SECONDS,
            resumes=resume == "can resume",
        )
        for number in range(2)
    ]
    context.fleet = context.stack.enter_context(Fleet(1, plans, document))
    context.body = {"model": RESTOCKERS_MODEL, "messages": MESSAGES}
    context.body |= {"max_tokens": TOKENS, "stream": call == "a stream"}
    # Copies of a request that has never succeeded are kept on one endpoint.
    assert complete_text(RequestCopy(context, "earlier").wait()) == text_of(TOKENS)
    context.copies = [start_copy(context, name) for name in ("first", "second")]


def start_copy(context, name):
    copy = RequestCopy(context, name)
    wait_until(lambda: runs_by_endpoint(context, name), 10, f"{name} runs")
    if context.body["stream"]:
        assert copy.has_begun.wait(10.0), f"{name} has not begun"
    return copy


def runs_by_endpoint(context, name):
    """Return the states of a copy's runs by the index of each live endpoint."""
    found = {}
    for number, endpoint in enumerate(context.fleet.endpoints):
        if endpoint.process.is_running:
            url = f"{endpoint.control_url}/runs"
            runs = context.fleet.http.request("GET", url).json()["runs"]
            states = [run["state"] for run in runs if run["request_id"] == name]
            found |= {number: states} if states else {}
    return found


def complete_text(outcome):
    """Return the text of a complete answer, or None if it is incomplete."""
    if isinstance(outcome, Exception):
        assert isinstance(outcome, urllib3.exceptions.HTTPError), outcome
        return None
    status, data = outcome
    if status != 200:
        return None
    if not data.startswith(b"data:"):
        return json.loads(data)["choices"][0]["message"]["content"]
    lines = [line[6:] for line in data.split(b"\n") if line.startswith(b"data: ")]
    if lines[-1] != b"[DONE]":
        return None
    choices = [json.loads(line)["choices"][0] for line in lines[:-1]]
    return "".join(choice["delta"].get("content", "") for choice in choices)


@when("the runner of the first copy is killed")
def kill_first_runner(context):
    (first,) = runs_by_endpoint(context, "first")
    (second,) = runs_by_endpoint(context, "second")
    assert first != second, "both copies run on one runner"
    context.fleet.endpoints[first].process.kill()


@then("the second copy is {fate} and its caller gets the complete answer")
def check_second(context, fate):
    second = context.copies[1]
    assert complete_text(second.wait()) == text_of(TOKENS), second.box
    (states,) = runs_by_endpoint(context, "second").values()
    is_recalled = len(states) == 2 and states[0] != "done" and states[1] == "done"
    assert is_recalled == (fate == "recalled"), states
    assert is_recalled or states == ["done"], states


@then("the caller of the first copy gets {answer}")
def check_first(context, answer):
    first = context.copies[0]
    expected = text_of(TOKENS) if answer == "the whole answer" else None
    assert complete_text(first.wait()) == expected, first.box
