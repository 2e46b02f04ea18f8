"""Waiting tokens of workspaces on routes, and whether another job fits.

Load pattern: a note for each job of each state that is received, up to thousands a
second, and a few submissions a second.
"""

from enum import Enum
from typing import NamedTuple

from .page_validity import LATE_WRITE_SECONDS

# A job that no node has reported for this long may be finished, or may never have been
# stored; the headers in the store tell.
UNREPORTED_SECONDS = 6.0
# How long a submission may last, in calls to the store and to peers.
SUBMISSION_SECONDS = 6.0
# A write whose answer was lost has taken effect this long after its job was checked.
WRITE_SETTLE_SECONDS = SUBMISSION_SECONDS + LATE_WRITE_SECONDS
# Maximum number of records, about 300 bytes each.
RECORDS_MAX = 20_000


class TokenSource(Enum):
    """Where a record of a job comes from; `RESERVED` jobs are being stored."""

    OWN = "own"
    PEER = "peer"
    STORED = "stored"
    RESERVED = "reserved"


class StoredJob(NamedTuple):
    """A job in the store; `is_done` if it was finished or ended."""

    job_key: str
    workspace: str
    route: str
    tokens: int
    is_done: bool


class Admission(NamedTuple):
    """Whether a job is accepted.

    `is_new` if its tokens were reserved for this submission, which gives them back
    if the job is not stored. `counted` has the tokens of the other jobs by source,
    `is_outdated` states that some of those are of jobs that no node reports.
    """

    is_accepted: bool
    is_new: bool
    counted: dict
    is_outdated: bool = False


class _Record:
    __slots__ = ("noted_at", "scope", "source", "tokens")

    def __init__(self, scope, tokens, source, now):
        self.scope = scope
        self.tokens = tokens
        self.source = source
        self.noted_at = now


class WaitingTokens:
    """The fewest waiting tokens that were ever heard of each job.

    The waiting tokens of a job never increase. Those of a job whose holder is lost
    count until another node reports fewer, or the job is known as finished or ended.
    Times are in seconds of a clock that also advances while the machine is suspended.

    >>> tokens = WaitingTokens()
    >>> tokens.note_job("j", ("w", "r"), 700, TokenSource.PEER, now=0.0)
    >>> admission = tokens.take("k", ("w", "r"), 400, 1000, 1.0, now=9.0)
    >>> admission.is_accepted, admission.counted, admission.is_outdated
    (False, {'peer': 700}, True)
    >>> tokens.note_job("j", ("w", "r"), 600, TokenSource.PEER, now=9.0)
    >>> tokens.take("k", ("w", "r"), 400, 1000, 1.0, now=9.0).is_accepted
    True
    >>> tokens.take("l", ("w", "r"), 1, 1000, 1.0, now=9.0).counted
    {'peer': 600, 'reserved': 400}
    >>> tokens.give_back("k")
    >>> tokens.note_done("j", now=9.0)
    >>> tokens.take("l", ("w", "r"), 1000, 1000, 1.0, now=9.0).is_accepted
    True
    """

    def __init__(self):
        self._record_by_key = {}

    def __len__(self):
        return len(self._record_by_key)

    def note_job(self, key, scope, tokens, source, now):
        """Record the tokens of a job, as a holder reports them.

        `scope` is the pair of its workspace and route.
        """
        record = self._record_by_key.get(key)
        if record is None:
            self._add(key, _Record(scope, tokens, source, now))
            return
        record.scope = scope
        record.tokens = min(record.tokens, tokens)
        record.source = source
        record.noted_at = now

    def note_done(self, key, now):
        """Record that a job was finished or ended."""
        self.note_job(key, None, 0, TokenSource.STORED, now)

    def note_stored(self, jobs, began_at, now):
        """Record all jobs of the store, from a read of it that began at a time.

        A job that is not stored keeps its reservation while its write may take effect.

        >>> tokens = WaitingTokens()
        >>> tokens.take("j", ("w", "r"), 900, 1000, 1.0, now=0.0).is_accepted
        True
        >>> tokens.note_stored([], began_at=9.0, now=9.0)
        >>> tokens.take("k", ("w", "r"), 200, 1000, 1.0, now=9.0).is_accepted
        False
        """
        keys = set()
        for job in jobs:
            keys.add(job.job_key)
            record = self._record_by_key.get(job.job_key)
            if job.is_done:
                self.note_done(job.job_key, now)
            elif record is None or record.source is TokenSource.RESERVED:
                scope = (job.workspace, job.route)
                self.note_job(job.job_key, scope, job.tokens, TokenSource.STORED, now)
            else:
                record.noted_at = now
        self._record_by_key = {
            key: record
            for key, record in self._record_by_key.items()
            if key in keys or record.noted_at >= began_at - WRITE_SETTLE_SECONDS
        }

    def take(self, key, scope, tokens, limit, share, now):
        """Return the `Admission` of a job, whose tokens are reserved if it fits.

        `share` is the fraction of what is available that this node may use. A job that
        is known already fits, as it may be stored.
        """
        record = self._record_by_key.get(key)
        if record is not None:
            return Admission(True, False, {})
        counted, is_outdated = {}, False
        for record in self._record_by_key.values():
            if record.scope == scope and record.tokens:
                name = record.source.value
                counted[name] = counted.get(name, 0) + record.tokens
                age = now - record.noted_at
                is_outdated = is_outdated or age > UNREPORTED_SECONDS
        if tokens > (limit - sum(counted.values())) * share:
            return Admission(False, False, counted, is_outdated)
        self._add(key, _Record(scope, tokens, TokenSource.RESERVED, now))
        return Admission(True, True, counted, is_outdated)

    def give_back(self, key):
        """Drop the reservation of a job that was not stored."""
        record = self._record_by_key.get(key)
        if record is not None and record.source is TokenSource.RESERVED:
            del self._record_by_key[key]

    def _add(self, key, record):
        if len(self._record_by_key) >= RECORDS_MAX:
            self._drop_oldest()
        self._record_by_key[key] = record

    def _drop_oldest(self):
        """Drop a tenth of the records; those of done jobs go first."""
        rows = sorted(
            self._record_by_key.items(),
            key=lambda row: (row[1].tokens > 0, row[1].noted_at),
        )
        self._record_by_key = dict(rows[RECORDS_MAX // 10 :])
