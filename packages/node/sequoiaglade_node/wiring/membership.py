"""Starts gossip with the other nodes and the directory of their addresses."""

import time

from sequoiaglade_decisions.configuration import OUTAGE_SAMPLE
from sequoiaglade_protocol import configuration_pb2_grpc, gossip_pb2_grpc

from ..actors import MembershipActor
from ..calls import PeerServer
from ..node_directory import EntrySelector, NodeDirectory
from ..peers import (
    ContentServicer,
    GossipClient,
    GossipLoop,
    GossipServicer,
)
from ..peers.gossip_rounds import GossipRounds


def start_membership(stack, parts):
    """Start the peer server, the directory and gossip.

    Peers are asked once before the node serves, so that it knows the highest revision
    of the peers that answered.
    """
    settings = parts.settings
    parts.incarnation = time.time_ns()
    actor = MembershipActor.start(settings.node_id, parts.incarnation)
    stack.callback(actor.stop)
    parts.membership = actor.proxy()
    parts.directory = NodeDirectory(parts.platform, settings)
    parts.entries = EntrySelector(settings, parts.directory, parts.membership)
    parts.holder.other_entry = parts.entries.other_address
    parts.directory.listeners.append(lambda ids: _update_announced(parts, ids))
    if parts.directory.refresh() is not None:
        _count_seed_peers(parts)
    gossip_client = stack.enter_context(GossipClient(lambda: rounds.own_digest()))
    rounds = parts.peer_sources = GossipRounds(parts, gossip_client)
    stack.enter_context(PeerServer(settings.listen.peer, _services(parts, rounds)))
    rounds.wait_for_first_peer()
    loop = GossipLoop(rounds.run)
    rounds.wake = loop.wake
    parts.drain_steps.append(lambda: parts.membership.leave().get())
    parts.drain_steps.append(parts.directory.withdraw)
    parts.drain_steps.append(lambda: rounds.exchange(OUTAGE_SAMPLE))
    stack.enter_context(loop)


def start_directory(stack, parts):
    """Announce this node and watch the others; last, when all other parts serve."""
    stack.enter_context(parts.directory)


def _services(parts, rounds):
    servicer = GossipServicer(rounds.own_digest, rounds.handle_digest)
    contents = ContentServicer(parts.holder)
    return [
        (gossip_pb2_grpc.add_GossipServicer_to_server, servicer),
        (
            configuration_pb2_grpc.add_ConfigurationExchangeServicer_to_server,
            contents,
        ),
        *parts.peer_services,
    ]


def _update_announced(parts, node_ids):
    parts.membership.set_announced(node_ids)
    others = set(node_ids) - {parts.settings.node_id}
    parts.configuration.set_peer_count(len(others))


def _count_seed_peers(parts):
    """Use the number of peers in the settings until the platform lists the nodes."""
    seeds = parts.directory.peer_addresses()
    if seeds:
        parts.configuration.set_peer_count(len(seeds))
