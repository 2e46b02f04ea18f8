"""Encodes and decodes the gossip messages with peer states and marks."""

import math

from sequoiaglade_decisions.membership import (
    MARKS_PER_MESSAGE,
    Mark,
    MarkKind,
    PeerState,
)
from sequoiaglade_protocol import gossip_pb2

IN_FLIGHT_LIMIT = 12
# Targets per message: a fleet serves only a few models at a time.
TARGETS_LIMIT = 8


def encode_digest(state, marks):
    """Return the message with a node's own `PeerState` and a list of `Mark`.

    >>> state = PeerState("node-a", 1, 2, False, 3, 0.5, {"runner-0": (1, 0)})
    >>> decode_states(encode_digest(state, [])) == [state]
    True
    """
    return gossip_pb2.GossipDigest(
        sender=state.node_id,
        states=[_encode_state(state)],
        marks=[_encode_mark(mark) for mark in marks],
    )


def decode_states(digest):
    """Return a list with the sender's own `PeerState`, or an empty list."""
    return [_decode_state(m) for m in digest.states if m.node_id == digest.sender][:1]


def decode_marks(digest):
    """Return the marks of a message, at most `MARKS_PER_MESSAGE`."""
    kinds = {kind.value for kind in MarkKind}
    return [
        Mark(m.node_id, m.incarnation, MarkKind(m.kind), m.age_ms / 1000)
        for m in digest.marks[:MARKS_PER_MESSAGE]
        if m.kind in kinds
    ]


def _encode_state(state):
    busiest = sorted(
        state.in_flight_by_endpoint.items(), key=lambda item: (-sum(item[1]), item[0])
    )
    in_flight = [
        gossip_pb2.EndpointInFlight(endpoint_id=name, online=online, batch=batch)
        for name, (online, batch) in busiest[:IN_FLIGHT_LIMIT]
    ]
    return gossip_pb2.NodeState(
        node_id=state.node_id,
        incarnation=state.incarnation,
        sequence=state.sequence,
        leaving=state.leaving,
        revision=state.revision,
        confirmed_age_ms=_milliseconds(state.confirmed_age),
        failed_age_ms=_milliseconds(state.failed_age),
        in_flight=in_flight,
        paying_batch_targets=state.paying_batch_targets[:TARGETS_LIMIT],
    )


def _decode_state(message):
    in_flight = {e.endpoint_id: (e.online, e.batch) for e in message.in_flight}
    return PeerState(
        message.node_id,
        message.incarnation,
        message.sequence,
        message.leaving,
        message.revision,
        _age(message, "confirmed_age_ms"),
        in_flight,
        _age(message, "failed_age_ms"),
        tuple(message.paying_batch_targets),
    )


def _encode_mark(mark):
    return gossip_pb2.NodeMark(
        node_id=mark.node_id,
        incarnation=mark.incarnation,
        kind=mark.kind.value,
        age_ms=_milliseconds(mark.age),
    )


def _milliseconds(age):
    """Return an age rounded up: evidence must not appear newer than it is."""
    return math.ceil(age * 1000) if age < 1e12 else None


def _age(message, field):
    return getattr(message, field) / 1000 if message.HasField(field) else math.inf
