"""Steps for endpoints that are processes and end while they send."""

import socket
import sys
from pathlib import Path
from unittest import mock

from behave import given, then, when
from sequoiaglade_gateway import endpoint_ends

sys.path.insert(0, str(Path(__file__).parents[2] / "soak"))
from emulator.ending_judge import BROKEN, PROCESS  # noqa: E402
from response_ends import Play, Setup  # noqa: E402

PLAY_SECONDS = 10.0


@when("{kind} without a length or chunks are cut by processes that are {ending}, {way}")
def play(context, kind, ending, way):
    setup = Setup(
        callers=6 if kind == "answers" else 0,
        cut="refuse" if way == "through peers" else "",
        pace_milliseconds=(5, 20, 40),
        has_jobs=kind == "items",
        fixed={"framing": "until-close", "ending": ending, "rerun": "sound"},
    )
    context.play = Play(f"{kind}, {ending}, {way}", setup)
    context.play.run(PLAY_SECONDS)


@then("processes have ended, and none of these ends as complete")
def check_ended(context):
    assert context.play.counts["processes of endpoints ended"], context.play.counts
    found = [row for row in context.play.findings if row.kind in (PROCESS, BROKEN)]
    texts = [f"{row.route}: {row.flaw}" for row in found]
    assert not found, (len(found), texts[:3], found[0].log_lines)


@given("an endpoint whose connections are {looks} as they are opened")
def given_looks(context, looks):
    listener = context.stack.enter_context(socket.create_server(("127.0.0.1", 0)))
    context.address = "127.0.0.1:{}".format(listener.getsockname()[1])
    open_connection = socket.create_connection
    outcomes = iter(looks.split(", "))

    def connect(*args, **options):
        match next(outcomes):
            case "refused":
                raise ConnectionRefusedError
            case "reset":
                raise ConnectionResetError
        return open_connection(*args, **options)

    patch = mock.patch.object(endpoint_ends.socket, "create_connection", connect)
    context.stack.enter_context(patch)


@when("a gateway checks whether the endpoint accepts connections")
def check_accepts(context):
    context.accepts = endpoint_ends._accepts_connections(context.address)


@then("the endpoint {accepts} connections")
def check_accepted(context, accepts):
    assert context.accepts is (accepts == "accepts"), context.accepts
