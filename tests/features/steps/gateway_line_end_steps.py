"""Steps for events whose data holds line separators, and for the ends of lines."""

from behave import given, then
from emulator import RunnerPlan
from gateway_batch_steps import EVENTS, results
from gateway_calls import start

CHARACTERS = {
    "line separator": "\u2028",
    "paragraph separator": "\u2029",
    "next line": "\u0085",
    "vertical tab": "\x0b",
    "form feed": "\x0c",
    "file separator": "\x1c",
    "group separator": "\x1d",
    "record separator": "\x1e",
}
LINE_ENDS = {"LF": "\n", "CR": "\r", "CRLF": "\r\n"}


@given("1 gateway and 1 runner whose events have a {character}")
def given_character(context, character):
    separator = CHARACTERS[character]
    text = f"{separator}more text{separator}data: of the same line"
    start(context, 1, [RunnerPlan(text=text)])


@given("1 gateway and 2 runners whose events have an id after a line separator")
def given_id(context):
    start(context, 1, [RunnerPlan(text="\u2028id: 9")] * 2)


@given("1 gateway and 1 runner whose lines end with {end}")
def given_line_end(context, end):
    start(context, 1, [RunnerPlan(line_end=LINE_ENDS[end])])


@then("every result has the whole data of events 1 to 6")
def check_output(context):
    text = context.gateways.runners[0].plan.text
    expected = "\n".join(f"piece-{n}{text}" for n in range(1, EVENTS + 1))
    found = {row["Output"] for row in results(context, 0)}
    assert found == {expected}, found
