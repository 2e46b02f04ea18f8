"""At most one execution per idempotency key of a workspace, across all nodes."""

from .claims import DISPATCH_TERM_SECONDS, Claim
from .lookup import Replay, decide_existing_record
from .records import (
    CallRecord,
    CallState,
    StoredResponse,
    call_digest,
    decode_record,
    encode_record,
    record_name,
)
from .retention import RETENTION_SECONDS, SHARD_COUNT, is_expired, shard_prefix

__all__ = [
    "DISPATCH_TERM_SECONDS",
    "RETENTION_SECONDS",
    "SHARD_COUNT",
    "CallRecord",
    "CallState",
    "Claim",
    "Replay",
    "StoredResponse",
    "call_digest",
    "decide_existing_record",
    "decode_record",
    "encode_record",
    "is_expired",
    "record_name",
    "shard_prefix",
]
