"""Starts the routing of requests to endpoints."""

import random

from sequoiaglade_protocol import endpoint_news_pb2_grpc

from ..actors import DispatchActor
from ..actors.dispatch import TICK_SECONDS
from ..actors.endpoints import EffectExecutor, EndpointWatch
from ..actors.timers import Timer
from ..peers.endpoint_news import EndpointNewsClient, EndpointNewsServicer

DISPATCHER = "routing.dispatcher:Dispatcher"


def start_routing(stack, parts):
    """Start the dispatching actor, which follows snapshots and peers' tickets."""
    node_id = parts.settings.node_id
    dispatcher = parts.recordings.machine(
        DISPATCHER, parts.settings.failure_domain, random.Random()
    )
    actor = DispatchActor.start(parts.journal, dispatcher)
    stack.callback(actor.stop)
    parts.dispatch = actor.proxy()
    parts.snapshot_listeners.append(parts.dispatch.configure)
    parts.gossip_listeners.append(
        lambda live: parts.dispatch.observe_peers(_in_flight_totals(live))
    )
    parts.gossip_listeners.append(
        lambda live: parts.dispatch.observe_paying_batch(
            {target for state in live for target in state.paying_batch_targets}
        )
    )
    servicer = EndpointNewsServicer(node_id, parts.dispatch)
    add = endpoint_news_pb2_grpc.add_EndpointNewsServicer_to_server
    parts.peer_services.append((add, servicer))
    stack.enter_context(Timer(TICK_SECONDS, parts.dispatch.tick, "dispatch-tick"))


def start_endpoint_watch(stack, parts):
    """Start the watch of endpoints and the executor of network effects.

    They use the configuration and membership, which have to be started before.
    """
    addresses = parts.directory.peer_address_by_id
    news = stack.enter_context(EndpointNewsClient(parts.settings.node_id, addresses))
    executor = EffectExecutor(
        parts.dispatch,
        parts.endpoints,
        parts.holder,
        parts.platform,
        news,
        parts.journal,
        parts.peer_sources.wake,
    )
    parts.dispatch.attach(stack.enter_context(executor))
    watch = EndpointWatch(
        parts.dispatch,
        parts.endpoints,
        parts.holder,
        parts.platform,
        lambda: len(addresses()) + 1,
    )
    stack.enter_context(watch)


def _in_flight_totals(live):
    totals = {}
    for state in live:
        for endpoint_id, counts in state.in_flight_by_endpoint.items():
            online, batch = totals.get(endpoint_id, (0, 0))
            totals[endpoint_id] = (online + counts[0], batch + counts[1])
    return totals
