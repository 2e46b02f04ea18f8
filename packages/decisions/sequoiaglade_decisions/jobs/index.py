"""The index of open jobs, sharded so that no node has to read all of it.

A shard's name is its number in binary, so that one list by prefix reads an aligned
group of shards. The more nodes there are, the smaller the group that each one reads
and the longer it waits between two reads, so that calls and bytes stay bounded.
"""

import hashlib
import json
from typing import NamedTuple

SHARD_BITS = 6
READERS_PER_SHARD = 4
POLLS_PER_SECOND_OF_FLEET = 50.0
POLL_MIN_SECONDS = 0.5


class OpenJob(NamedTuple):
    """Entry of a job that has not ended. Times are in Unix seconds."""

    job_id: str
    workspace: str
    due_at: float
    segment_count: int
    added_at: float


def shard_of(job_id):
    """Return the name of the shard that lists the job.

    >>> len(shard_of("batch_1"))
    6
    """
    number = hashlib.sha256(job_id.encode()).digest()[0] >> (8 - SHARD_BITS)
    return format(number, f"0{SHARD_BITS}b")


def node_shard_prefix(node_id, node_count):
    """Return the prefix of the shards that the node reads.

    Each shard keeps at least about `READERS_PER_SHARD` readers.

    >>> node_shard_prefix("node-1", 3)
    ''
    >>> len(node_shard_prefix("node-1", 370))
    6
    """
    bits = 0
    while bits < SHARD_BITS and READERS_PER_SHARD << (bits + 1) <= node_count:
        bits += 1
    return shard_of(node_id)[:bits]


def poll_seconds(node_count):
    """Return how long a node waits between two reads of the index.

    >>> poll_seconds(8), poll_seconds(370)
    (0.5, 7.4)
    """
    return max(POLL_MIN_SECONDS, node_count / POLLS_PER_SECOND_OF_FLEET)


def add_entry(data, entry):
    """Return the shard's bytes with the entry added, or None if it is there."""
    entries = decode_shard(data)
    if any(known.job_id == entry.job_id for known in entries):
        return None
    return _encode([*entries, entry])


def remove_entry(data, job_id):
    """Return the shard's bytes without the job, or None if it is not there."""
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
