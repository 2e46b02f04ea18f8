"""Retention time of records, and the shards by which expired ones are found."""

RETENTION_SECONDS = 7200.0
SHARD_DIGITS = 3
SHARD_COUNT = 16**SHARD_DIGITS


def is_expired(record, now):
    """Return whether a `CallRecord` may be deleted at the wall-clock time `now`."""
    return now - record.created_at > RETENTION_SECONDS


def shard_prefix(number):
    """Return the common prefix of the record names in a shard.

    >>> shard_prefix(10)
    '00a'
    """
    return f"{number % SHARD_COUNT:0{SHARD_DIGITS}x}"
