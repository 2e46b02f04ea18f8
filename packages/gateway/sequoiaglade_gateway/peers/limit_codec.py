"""Encoding of endpoints' limits, permits and paces as messages between nodes."""

from sequoiaglade_decisions.gateway import ColdReport, LimitNotice, PaceLimit, Permit
from sequoiaglade_protocol import fleet_pb2

from ..access_messages import ColdNotice, TakePermit

MS_PER_SECOND = 1000


def encode_notice(notice):
    """Return the message for a `LimitNotice` with an age."""
    return fleet_pb2.LimitNotice(
        endpoint_id=notice.endpoint_id,
        born=notice.born,
        is_limited=notice.limit is not None,
        limit=notice.limit or 0.0,
        age_ms=int(notice.at * MS_PER_SECOND),
    )


def decode_notice(message):
    """Return the `LimitNotice` of a message."""
    return LimitNotice(
        message.endpoint_id,
        message.born,
        message.limit if message.is_limited else None,
        message.age_ms / MS_PER_SECOND,
    )


def encode_cold(report):
    """Return the message for a `ColdReport`."""
    return fleet_pb2.ColdEndpoint(
        endpoint_id=report.endpoint_id,
        born=report.born,
        left_ms=int(report.seconds * MS_PER_SECOND),
    )


def decode_cold(message):
    """Return the `ColdReport` of a message."""
    seconds = message.left_ms / MS_PER_SECOND
    return ColdReport(message.endpoint_id, message.born, seconds)


def encode_permit_request(notice, is_batch, cold):
    """Return the message that asks for a permit; `cold` is a `ColdNotice` or None.

    >>> notice = LimitNotice("e-1", 5, 8.5, 0.0)
    >>> cold = ColdNotice(8.5, 12.5, is_unconfirmed=True)
    >>> decode_permit_request(encode_permit_request(notice, True, cold)).cold == cold
    True
    >>> decode_permit_request(encode_permit_request(notice, True, None)).cold
    """
    message = fleet_pb2.PermitRequest(notice=encode_notice(notice), is_batch=is_batch)
    if cold is not None:
        message.cold.rate = cold.rate
        message.cold.left_ms = int(cold.seconds * MS_PER_SECOND)
        message.cold.is_limited = cold.is_limited
        message.cold.is_unconfirmed = cold.is_unconfirmed
    return message


def decode_permit_request(message):
    """Return the `TakePermit` of a message."""
    cold = None
    if message.HasField("cold"):
        row = message.cold
        seconds = row.left_ms / MS_PER_SECOND
        cold = ColdNotice(row.rate, seconds, row.is_limited, row.is_unconfirmed)
    return TakePermit(decode_notice(message.notice), message.is_batch, cold)


def encode_permit(permit):
    """Return the message for a `Permit`; their fields have the same names."""
    return fleet_pb2.PermitReply(**permit._asdict())


def decode_permit(message):
    """Return the `Permit` of a message."""
    return Permit(message.is_granted, message.retry_seconds)


def encode_pace(pace):
    """Return the message for a `PaceLimit`; their fields have the same names."""
    return fleet_pb2.EndpointPace(**pace._asdict())


def decode_pace(message):
    """Return the `PaceLimit` of a message."""
    return PaceLimit(
        message.endpoint_id,
        message.requests,
        message.is_firm,
        message.reason,
        message.age_seconds,
    )
