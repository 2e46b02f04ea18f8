"""The index of open jobs, sharded so that no node has to read all of it.

A shard is named by its number in binary, so that listing by a prefix reads an aligned
group of shards. With more nodes, each node reads a smaller group and polls less often,
which bounds the calls and bytes of the whole fleet.
"""

import hashlib
import json
from typing import NamedTuple

SHARD_BITS = 6
MIN_READERS_PER_SHARD = 4
FLEET_POLLS_PER_SECOND = 50.0
POLL_MIN_SECONDS = 0.5


class OpenJob(NamedTuple):
    """Index entry of a job that has not ended; times are in Unix seconds."""

    job_id: str
    workspace: str
    due_at: float
    segment_count: int
    added_at: float


def shard_of(job_id):
    """Return the name of the shard of a job id or node id.

    >>> len(shard_of("batch_1"))
    6
    """
    number = hashlib.sha256(job_id.encode()).digest()[0] >> (8 - SHARD_BITS)
    return format(number, f"0{SHARD_BITS}b")


def node_shard_prefix(node_id, node_count):
    """Return the prefix of the names of the shards that the node reads.

    Each shard is read by about `MIN_READERS_PER_SHARD` nodes or more.

    >>> node_shard_prefix("node-1", 3)
    ''
    >>> len(node_shard_prefix("node-1", 370))
    6
    """
    bits = 0
    while bits < SHARD_BITS and MIN_READERS_PER_SHARD << (bits + 1) <= node_count:
        bits += 1
    return shard_of(node_id)[:bits]


def poll_seconds(node_count):
    """Return the seconds between a node's reads of the index.

    >>> poll_seconds(8), poll_seconds(370)
    (0.5, 7.4)
    """
    return max(POLL_MIN_SECONDS, node_count / FLEET_POLLS_PER_SECOND)


def add_entry(data, entry):
    """Return the shard's bytes with the entry added, or None if it exists already."""
    entries = decode_shard(data)
    if any(known.job_id == entry.job_id for known in entries):
        return None
    return _encode([*entries, entry])


def remove_entry(data, job_id):
    """Return the shard's bytes without the job, or None if it is not listed."""
    entries = decode_shard(data)
    kept = [entry for entry in entries if entry.job_id != job_id]
    return _encode(kept) if len(kept) < len(entries) else None


def decode_shard(data):
    """Return the list of `OpenJob` in a shard's bytes.

    >>> entry = OpenJob("batch_1", "yard-a", 9.0, 2, 1.0)
    >>> decode_shard(add_entry(b"", entry)) == [entry]
    True
    """
    return [OpenJob(*row) for row in json.loads(data)] if data else []


def _encode(entries):
    return json.dumps(entries, separators=(",", ":")).encode()
