"""The record of a call with an idempotency key, and its encoding on the platform."""

import hashlib
import json
import zlib
from enum import Enum
from typing import NamedTuple

STORED_BODY_MAX_BYTES = 524_288


class CallState(Enum):
    """State of a call: running, answered, or ended with an unknown outcome."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class StoredResponse(NamedTuple):
    """A response as replayed to a resent request; `headers` are (name, value) pairs."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class CallRecord(NamedTuple):
    """State of a call; `created_at` is in seconds of the holder's wall clock.

    `digest` covers method, path and body, so that reuse of the key for another call is
    detected. `node_id` and `incarnation` identify the process that runs the call, and
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
    """Return the object name of the record of a workspace's key.

    >>> record_name("salina", "a") == record_name("salina", "b")
    False
    """
    return hashlib.sha256(f"{workspace}\0{key}".encode()).hexdigest()


def call_digest(method, path, body):
    """Return the hexadecimal SHA-256 digest of a call."""
    head = f"{method}\0{path}\0".encode()
    return hashlib.sha256(head + body).hexdigest()


def encode_record(record):
    """Return the bytes of a `CallRecord`, less than a megabyte.

    A response whose compressed body exceeds `STORED_BODY_MAX_BYTES` is not stored; the
    call then counts as run with an unknown outcome.
    """
    body = b""
    if record.answer is not None:
        body = zlib.compress(record.answer.body, 1)
    if len(body) > STORED_BODY_MAX_BYTES:
        record = record._replace(state=CallState.UNKNOWN, answer=None)
        body = b""
    head = record._asdict() | {"state": record.state.value, "answer": None}
    if record.answer is not None:
        head["answer"] = [record.answer.status, record.answer.headers]
    return json.dumps(head).encode() + b"\n" + body


def decode_record(data):
    """Return the `CallRecord` encoded as `data`.

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
