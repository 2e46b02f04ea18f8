"""Starts the limits of workspaces."""

import threading
import time

from sequoiaglade_decisions.limits import Reserve, Timing, make_holder
from sequoiaglade_protocol import limits_pb2_grpc

from ..actors import LimitsActor
from ..actors.admission import Admission
from ..actors.allotment import AllotmentKeeper
from ..actors.limits import LimitsView
from ..actors.timers import Timer
from ..peers.limits import LimitsPeers, LimitsServicer

LIMITS_MACHINE = "limits.machine:LimitsMachine"
TICK_SECONDS = 0.25


def start_limits(stack, parts):
    """Start the limits actor, its polls of peers, and its record in the platform."""
    settings = parts.settings
    timing = Timing()
    view = LimitsView()
    reserve = Reserve(settings.node_id, timing.grant_seconds, threading.RLock())
    holder = _holder(settings)
    machine = parts.recordings.machine(LIMITS_MACHINE, holder, timing)
    actor_ref = LimitsActor.start(machine, reserve, view)
    stack.callback(actor_ref.stop)
    actor = actor_ref.proxy()
    peers = stack.enter_context(LimitsPeers())
    keeper = stack.enter_context(_keeper(parts, actor))
    exchange = _PollSender(actor, peers, view)
    stack.enter_context(Timer(TICK_SECONDS, exchange.run, "limits"))
    parts.limits = Admission(settings.node_id, actor, reserve, view, peers)
    parts.snapshot_listeners.append(actor.configure)
    parts.peer_services.append(_service(actor))
    parts.drain_steps.append(exchange.leave)
    parts.drain_steps.append(keeper.refresh)


def _holder(settings):
    return make_holder(
        settings.node_id,
        settings.instance_id,
        settings.advertised.peer,
        f"http://{settings.advertised.data}",
        time.time_ns(),
    )


def _keeper(parts, actor):
    def node_count():
        directory = parts.directory
        return 1 + len(directory.peer_address_by_id()) if directory else 1

    return AllotmentKeeper(parts.platform, actor, node_count)


def _service(actor):
    servicer = LimitsServicer(
        lambda poll: actor.answer_poll(poll).get(),
        lambda request: actor.grant(request).get(),
    )
    return limits_pb2_grpc.add_LimitsServicer_to_server, servicer


class _PollSender:
    """Sends the due polls and passes the answers to the actor."""

    def __init__(self, actor, peers, view):
        self._actor = actor
        self._peers = peers
        self._view = view

    def run(self):
        self._send(self._actor.tick().get())
        self._peers.retain(self._view.peer_by_id.values())
        self._peers.connect(self._view.pool_addresses())

    def leave(self):
        self._send(self._actor.leave().get())

    def _send(self, polls):
        for node_id, poll in polls:
            address = self._view.peer_by_id.get(node_id)
            if address is not None:
                self._peers.poll(
                    address,
                    poll,
                    self._actor.take_cession,
                    lambda node_id=node_id: self._actor.poll_failed(node_id),
                )
