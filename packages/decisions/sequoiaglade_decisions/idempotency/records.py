"""The record of a call with an idempotency key, and its form in the platform."""

import hashlib
import json
import zlib
from enum import Enum
from typing import NamedTuple

KEPT_BYTES = 524_288


class CallState(Enum):
    """Where the call stands."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class StoredResponse(NamedTuple):
    """An answer as a resend gets it; `headers` are pairs."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class CallRecord(NamedTuple):
    """State of a call. `created_at` is the holder's wall clock, in seconds.

    `digest` covers method, path and body, so that the same key with another call is
    noticed. `node_id` and `incarnation` name the process that runs the call, and
    `claim_id` its attempt to create the record.
    """

    state: CallState
    digest: str
    node_id: str
    instance_id: str
    incarnation: int
    claim_id: str
    created_at: float
    answer: StoredResponse | None = None


def record_name(workspace, key):
    """Return the name of the record of a workspace's key.

    >>> record_name("salina", "a") == record_name("salina", "b")
    False
    """
    return hashlib.sha256(f"{workspace}\0{key}".encode()).hexdigest()


def call_digest(method, path, body):
    """Return the digest of a call."""
    head = f"{method}\0{path}\0".encode()
    return hashlib.sha256(head + body).hexdigest()


def encode_record(record):
    """Return the bytes of a `CallRecord`, below a megabyte.

    An answer whose body is over `KEPT_BYTES` once compressed is kept without it: the
    call then counts as run with an unknown outcome.
    """
    body = b""
    if record.answer is not None:
        body = zlib.compress(record.answer.body, 1)
    if len(body) > KEPT_BYTES:
        record = record._replace(state=CallState.UNKNOWN, answer=None)
        body = b""
    head = record._asdict() | {"state": record.state.value, "answer": None}
    if record.answer is not None:
        head["answer"] = [record.answer.status, record.answer.headers]
    return json.dumps(head).encode() + b"\n" + body


def decode_record(data):
    """Return the `CallRecord` of its bytes.

    >>> answer = StoredResponse(200, (("Content-Type", "text/plain"),), b"done")
    >>> record = CallRecord(CallState.ANSWERED, "d", "n", "i", 1, "c", 2.0, answer)
    >>> decode_record(encode_record(record)) == record
    True
    """
    head, _, body = data.partition(b"\n")
    values = json.loads(head)
    answer = values.pop("answer")
    if answer is not None:
        headers = tuple((name, text) for name, text in answer[1])
        answer = StoredResponse(answer[0], headers, zlib.decompress(body))
    state = CallState(values.pop("state"))
    return CallRecord(state=state, answer=answer, **values)
