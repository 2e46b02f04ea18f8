"""Steps that add responses that were cut to the records of a day."""

from behave import when
from emulator.chunk_cuts import ChunkCut, CutCall
from emulator.runner_plan import ReceivedRequest
from emulator.unframed import UnframedCall


def _record(context, *calls):
    records = {"UnframedResponses": [UnframedCall(*call) for call in calls]}
    context.evidence = context.evidence._replace(records_by_kind=records)


def _record_cut(context, request_id, is_whole=False):
    call = CutCall(request_id, is_whole, ChunkCut("within a size line"))
    records = {"ChunksCut": [call]}
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


@when("a response whose chunks were cut is complete")
def hand_on_cut_chunks(context):
    _record_cut(context, "r-0")


@when("an item is completed whose chunks were cut")
def complete_item_of_cut_chunks(context):
    _record_cut(context, context.job.item_ids[0])


@when(
    "a response is complete of which chunks and then a part without a length were cut"
)
def hand_on_both_cut(context):
    _run_again(context, "r-0")
    _record_cut(context, "r-0")
    context.evidence.records_by_kind["UnframedResponses"] = [UnframedCall("r-0", False)]


@when("a response whose chunks were cut after its last event is complete")
def hand_on_cut_after_events(context):
    _record_cut(context, "r-0", is_whole=True)


@when("a response whose chunks were cut went on at another runner")
def go_on_after_cut_chunks(context):
    _run_again(context, "r-0")
    _record_cut(context, "r-0")
