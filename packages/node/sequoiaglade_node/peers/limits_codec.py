"""Encodes and decodes the messages on limits of the node-to-node protocol."""

from sequoiaglade_decisions.limits import (
    Cession,
    GrantRequest,
    Nonce,
    Poll,
    PoolGrant,
    slot_ranges,
    slot_set,
)
from sequoiaglade_protocol import limits_pb2


def encode_poll(poll):
    """Return the message of a `Poll`."""
    return limits_pb2.LimitsPoll(
        sender=poll.sender,
        peer=poll.peer,
        entry=poll.entry,
        nonce=_encode_nonce(poll.nonce),
        groups=poll.groups,
        leaving=poll.leaving,
    )


def decode_poll(message):
    """Return the `Poll` of a message."""
    return Poll(
        message.sender,
        message.peer,
        message.entry,
        _decode_nonce(message.nonce),
        tuple(message.groups),
        message.leaving,
    )


def encode_cession(cession):
    """Return the message of a `Cession`."""
    ranges = [
        limits_pb2.SlotRange(start=start, stop=stop)
        for start, stop in slot_ranges(cession.slots)
    ]
    return limits_pb2.LimitsCession(
        sender=cession.sender,
        nonce=_encode_nonce(cession.nonce),
        groups=cession.groups,
        slots=ranges,
        term=cession.term,
        settled=_encode_settled(cession.settled),
    )


def decode_cession(message):
    """Return the `Cession` of a message."""
    return Cession(
        message.sender,
        _decode_nonce(message.nonce),
        tuple(message.groups),
        slot_set((item.start, item.stop) for item in message.slots),
        message.term,
        _decode_settled(message.settled),
    )


def encode_request(request):
    """Return the message of a `GrantRequest`."""
    return limits_pb2.LimitsGrantRequest(
        sender=request.sender,
        workspace=request.workspace,
        wanted=request.wanted,
        settled=_encode_settled(request.settled),
    )


def decode_request(message):
    """Return the `GrantRequest` of a message."""
    settled = _decode_settled(message.settled)
    return GrantRequest(message.sender, message.workspace, message.wanted, settled)


def encode_grant(grant):
    """Return the message of a `PoolGrant`."""
    return limits_pb2.LimitsGrant(**grant._asdict())


def decode_grant(message):
    """Return the `PoolGrant` of a message."""
    return PoolGrant(
        message.grant_id,
        message.tokens,
        message.retry_after,
        message.settle_at_once,
        message.pool,
        message.pool_peer,
    )


def _encode_nonce(nonce):
    return limits_pb2.LimitsNonce(**nonce._asdict())


def _decode_nonce(message):
    return Nonce(message.incarnation, message.issued_at)


def _encode_settled(settled):
    return [
        limits_pb2.SettledGrant(grant_id=grant_id, unspent=unspent)
        for grant_id, unspent in settled
    ]


def _decode_settled(messages):
    return tuple((message.grant_id, message.unspent) for message in messages)
