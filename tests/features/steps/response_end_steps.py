"""Steps for the soak of the ends of responses, its caller and its checks."""

import re
import sys
from pathlib import Path

from behave import given, then, when
from cut_calls import serve
from emulator.ending_judge import classify, judge
from emulator.ending_plan import FLAW_HEADER, ResponsePlan
from emulator.strict_caller import StrictAnswer, StrictCaller

sys.path.insert(0, str(Path(__file__).parents[2] / "soak"))
import response_ends  # noqa: E402

FRAMING_BY_NAME = {
    "plain sizes": "plain",
    "upper-case sizes": "upper-case",
    "padded sizes": "padded",
    "extended sizes": "extended",
    "a length": "length",
}
PLAN = ResponsePlan(event_count=3)
UNFRAMED = PLAN._replace(framing="until-close", place="between")
FIRST = PLAN.events(0, "7-1")
SECOND = PLAN.events(0, "8-1")
# Plans, the events or the body that are received, and whether they end as complete.
CASES = {
    "all events of one run": (PLAN, FIRST, True),
    "a run that went on": (PLAN, FIRST[:1] + PLAN.events(1, "8-2"), True),
    "a stream that breaks off": (PLAN, FIRST[:2], False),
    "a stream that ends early": (PLAN, FIRST[:2], True),
    "an event twice": (PLAN, FIRST[:1] + FIRST, True),
    "an event missing": (PLAN, FIRST[:1] + FIRST[2:], True),
    "joined pieces of two runs": (PLAN, FIRST[:1] + SECOND[1:], True),
    "a part of an event": (PLAN, [*FIRST[:2], FIRST[2][:5]], True),
    "a whole body that is shortened": (
        PLAN._replace(content="body"),
        [PLAN.body()[:9]],
        True,
    ),
    "an early end of a killed process": (
        UNFRAMED._replace(ending="killed"),
        FIRST[:2],
        True,
    ),
    "a run that ended at once": (PLAN._replace(rerun="empty"), FIRST[:2], True),
    "an early end by its own word": (UNFRAMED, FIRST[:2], True),
}


@when("the soak of the ends of responses runs {minutes:g} minutes from seed {seed:d}")
def run_soak(context, minutes, seed):
    context.outcome = response_ends.run(seed, minutes)


@when(
    "the soak of heads that the grammar forbids runs {minutes:g} minutes from seed "
    "{seed:d}"
)
def run_head_soak(context, minutes, seed):
    setups = response_ends.HEAD_FLAW_SETUPS
    context.outcome = response_ends.run(seed, minutes, setups)


@then("it has played endpoints that end and gateways that end under peers' responses")
def check_played(context):
    print(context.outcome)
    for what in ("gateways", "endpoints sent", "resume 200 complete", "once 200"):
        assert re.search(f"[1-9][0-9]* {what}", context.outcome), context.outcome


@given("a server that sends a stream with {framing}")
def given_server(context, framing):
    plan = PLAN._replace(framing=FRAMING_BY_NAME[framing])
    pieces = plan.pieces(plan.events(0, "7-1"))
    body = b"".join(data for _, data in pieces)
    field = "Transfer-Encoding: chunked"
    if plan.framing == "length":
        field = f"Content-Length: {len(body)}"
    head = f"HTTP/1.1 200 OK\r\nServer-Stamp: emulated.7\r\n{field}\r\n\r\n".encode()
    context.head = head
    serve(context, head + body)


@when("the strict caller asks for each number of bytes that the body can be cut to")
def call_cut(context):
    context.is_complete_by_kept = {}
    for kept in range(len(context.head), len(context.cutter.response) + 1):
        context.cutter.kept = kept
        with StrictCaller(context.address) as caller:
            answer = caller.send("/resume/1", {"Host": "kiosk.example"}, b"")
        context.is_complete_by_kept[kept] = not answer.flaw


@then("only the whole response is complete")
def check_complete(context):
    whole = len(context.cutter.response)
    found = [
        kept for kept, is_complete in context.is_complete_by_kept.items() if is_complete
    ]
    assert found == [whole], (found, whole)


@given("an answer that has the flawed head of an endpoint")
def given_flawed_head(context):
    context.plan, context.route = PLAN._replace(head_flaw=1, cutters=7), "once"
    headers = {"server-stamp": "emulated.7", FLAW_HEADER.lower(): "1"}
    context.answer = StrictAnswer(200, headers, b"".join(FIRST), "", 0.0, 1.0)


@given("an answer that has a head with an invalid line")
def given_invalid_head(context):
    context.plan, context.route = PLAN, "once"
    flaw = "InvalidHeadError: the line"
    context.answer = StrictAnswer(0, {}, b"", flaw, 0.0, 1.0)


@given("an answer that has {flaw}")
def given_answer(context, flaw):
    is_item = flaw == "an item that is shortened"
    key = "a stream that ends early" if is_item else flaw.removesuffix(", not resumed")
    context.plan, contents, is_complete = CASES[key]
    body = b"".join(contents)
    end = "" if is_complete else "the connection ended"
    headers = {"server-stamp": "emulated.7"}
    context.route = "once" if flaw.endswith(", not resumed") else "resume"
    context.answer = StrictAnswer(200, headers, body, end, 0.0, 1.0)
    if is_item:
        context.route = "batch"
        output = "\n".join(re.findall("data: (.*)", body.decode()))
        context.answer = {"Id": "i", "State": "completed", "Output": output}


@then('the checks find "{found}", of the kind "{kind}"')
def check_found(context, found, kind):
    flaw, is_early, process = judge(context.route, context.plan, "r-1", context.answer)
    kind_found = None
    if flaw:
        kind_found = "broken"
        if is_early:
            kind_found = classify(context.route, context.plan, process == 7)
    assert str(flaw) == found, flaw
    assert str(kind_found) == kind, kind_found
