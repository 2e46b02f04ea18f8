"""Encoding of asks for waiting tokens as messages of the protocol between nodes."""

from sequoiaglade_decisions.gateway import KeeperAnswer, KeeperAsk
from sequoiaglade_protocol import fleet_pb2

from .codec import decode_summary, encode_summary


def encode_reservation(ask, summary, limit):
    """Return the message that asks a keeper for the tokens of a `JobSummary`."""
    return fleet_pb2.TokensRequest(
        job=encode_summary(summary),
        limit=limit,
        tried=ask.tried,
        is_last_resort=ask.is_last_resort,
    )


def decode_reservation(message):
    """Return the `KeeperAsk`, the `JobSummary` and the limit of a message.

    The ask has no address, which is that of the called node.
    """
    ask = KeeperAsk("", tuple(message.tried), message.is_last_resort)
    return ask, decode_summary(message.job), message.limit


def encode_keeper_answer(answer):
    """Return the message for a `KeeperAnswer`."""
    decision = {
        None: fleet_pb2.TokensReply.NONE,
        True: fleet_pb2.TokensReply.ACCEPTED,
        False: fleet_pb2.TokensReply.REFUSED,
    }[answer.is_accepted]
    return fleet_pb2.TokensReply(
        decision=decision, is_new=answer.is_new, keepers=answer.keepers
    )


def decode_keeper_answer(message):
    """Return the `KeeperAnswer` of a message.

    >>> answer = KeeperAnswer(True, True, ("10.0.0.1:7360",))
    >>> decode_keeper_answer(encode_keeper_answer(answer)) == answer
    True

    A decision that this release does not know is none.

    >>> decode_keeper_answer(fleet_pb2.TokensReply(decision=7)).is_accepted
    """
    is_accepted = {
        fleet_pb2.TokensReply.ACCEPTED: True,
        fleet_pb2.TokensReply.REFUSED: False,
    }.get(message.decision)
    return KeeperAnswer(is_accepted, message.is_new, tuple(message.keepers))
