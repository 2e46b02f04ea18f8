"""Steps that add responses without a length to the records of a day."""

from behave import when
from emulator.runner_plan import ReceivedRequest
from emulator.unframed import UnframedCall


def _record(context, *calls):
    records = {"UnframedResponses": [UnframedCall(*call) for call in calls]}
    context.evidence = context.evidence._replace(records_by_kind=records)


def _run_again(context, request_id):
    run = ReceivedRequest(request_id, "/resume/x", "yard", False, 2, 1.0, False)
    context.evidence.runs["runner-2"].append(run)


@when("a response without a length that was cut is complete")
def hand_on_cut(context):
    _record(context, ("r-0", False))


@when("a response is complete of which both parts were cut")
def hand_on_cut_twice(context):
    _run_again(context, "r-0")
    _record(context, ("r-0", False), ("r-0", False))


@when("an item is completed whose response without a length was cut")
def complete_cut_item(context):
    _record(context, (context.job.item_ids[0], False))


@when("a response without a length that was whole is complete")
def hand_on_whole(context):
    _record(context, ("r-0", True))


@when("a response that was cut went on at another runner")
def go_on_elsewhere(context):
    _run_again(context, "r-0")
    _record(context, ("r-0", False))


@when("a response that was cut went on with a whole one without a length")
def go_on_without_length(context):
    _run_again(context, "r-0")
    _record(context, ("r-0", False), ("r-0", True))
