"""Steps on requests whose pool node answers late or not at all."""

import threading
import time
from unittest.mock import Mock, patch

from behave import given, then, when

from sequoiaglade_decisions.limits import (
    GROUP_COUNT,
    Admitted,
    PoolGrant,
    Reserve,
    Timing,
)
from sequoiaglade_decisions.limits import patience as ask_patience
from sequoiaglade_decisions.outcomes import Refusal
from sequoiaglade_node.actors.admission import Admission
from sequoiaglade_node.actors.limits import LimitsView
from sequoiaglade_node.calls import PeerServer
from sequoiaglade_node.peers.limits import LimitsPeers, LimitsServicer
from sequoiaglade_protocol import limits_pb2_grpc
from sequoiaglade_standins.ports import PortBlock

WORKSPACE = "hays"
POOL = "node-pool"
# Longer than the time for which a node asks for no grant after a failed request.
BACKOFF_SECONDS = 0.3
RETRY_SECONDS = 0.05


@given(
    "a node that waits {factor:d} times as long for grants, and its pool node, which"
    " answers each request after {seconds:g} s"
)
def start_late_pool(context, factor, seconds):
    # The waits of the product are shorter than pauses of a busy machine.
    for name in ("PATIENT_SECONDS", "SHORT_SECONDS"):
        longer = factor * getattr(ask_patience, name)
        context.stack.enter_context(patch.object(ask_patience, name, longer))
    context.late_seconds = 0.0
    context.is_late_ended = threading.Event()
    context.stack.callback(context.is_late_ended.set)

    def grant(request):
        context.is_late_ended.wait(context.late_seconds)
        return PoolGrant(1, 1, 0.0)

    servicer = LimitsServicer(None, grant)
    service = (limits_pb2_grpc.add_LimitsServicer_to_server, servicer)
    (port,) = context.stack.enter_context(PortBlock()).take(1)
    address = f"127.0.0.1:{port}"
    context.stack.enter_context(PeerServer(address, [service]))
    view = LimitsView()
    view.limited = frozenset({WORKSPACE})
    view.pool_by_group = (POOL,) * GROUP_COUNT
    view.peer_by_id = {POOL: address}
    grant_seconds = factor * Timing().grant_seconds
    reserve = Reserve("node-0", grant_seconds, threading.RLock())
    peers = context.stack.enter_context(LimitsPeers())
    context.admission = Admission("node-0", Mock(), reserve, view, peers)
    check_admitted(context, 5)
    context.late_seconds = seconds


@when("the pool node answers at once again")
def answer_at_once(context):
    context.late_seconds = 0.0
    context.is_late_ended.set()


def admit(context):
    """Return the outcome of a request and its seconds."""
    started_at = time.monotonic()
    outcome = context.admission.admit(WORKSPACE)
    return outcome, time.monotonic() - started_at


@then("{count:d} requests of hays in a row are admitted")
def check_all_admitted(context, count):
    outcomes = [admit(context) for _ in range(count)]
    assert all(isinstance(o, Admitted) for o, _ in outcomes), outcomes


@then("a request of hays is refused after {least:g} to {most:g} s")
def check_refused_after(context, least, most):
    outcome, seconds = admit(context)
    assert isinstance(outcome, Refusal), outcome
    assert least <= seconds <= most, seconds


@then("then {count:d} requests of hays are refused within {most:g} s each")
def check_refused_soon(context, count, most):
    for _ in range(count):
        time.sleep(BACKOFF_SECONDS)
        check_refused_after(context, 0.0, most)


@then("a request of hays is admitted within {seconds:d} s")
def check_admitted(context, seconds):
    deadline = time.monotonic() + seconds
    while not isinstance((outcome := admit(context)[0]), Admitted):
        assert time.monotonic() < deadline, outcome
        time.sleep(RETRY_SECONDS)
