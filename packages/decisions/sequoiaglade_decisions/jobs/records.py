"""Records of files and jobs as stored on the platform."""

import hashlib
import json
import re
from enum import Enum
from typing import NamedTuple

DEFAULT_WINDOW_SECONDS = 86_400.0
_WINDOW_PATTERN = re.compile(r"([1-9][0-9]{0,3})(m|h|d)\Z")
_SECONDS_BY_UNIT = {"m": 60.0, "h": 3600.0, "d": 86_400.0}


class JobState(str, Enum):
    """State of a job, named as in the batch API."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    CANCELLING = "cancelling"
    CANCELLED = "cancelled"

    @property
    def is_final(self):
        """Whether a job in this state has ended."""
        return self in (JobState.COMPLETED, JobState.CANCELLED)


class Usage(NamedTuple):
    """Token counts of one or more results."""

    prompt_tokens: int = 0
    completion_tokens: int = 0

    def plus(self, other):
        """Return the sum of two counts.

        >>> Usage(1, 2).plus(Usage(3, 4))
        Usage(prompt_tokens=4, completion_tokens=6)
        """
        return Usage(*(own + more for own, more in zip(self, other)))


class JsonRecord:
    """Mixin for named tuples that are stored as JSON objects."""

    def encode(self):
        """Return the JSON bytes of the record."""
        return json.dumps(self._asdict(), separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data):
        """Return the record encoded as `data`."""
        return cls(**json.loads(data))


class _FileFields(NamedTuple):
    file_id: str
    workspace: str
    filename: str
    digest: str
    byte_count: int
    item_count: int
    segment_count: int
    created_at: float


class FileRecord(JsonRecord, _FileFields):
    """An uploaded batch input file, stored as `segment_count` segments.

    `digest` is the SHA-256 digest of its items.
    """


class _JobFields(NamedTuple):
    job_id: str
    workspace: str
    input_file_id: str
    input_digest: str
    path: str
    state: str
    item_count: int
    segment_count: int
    created_at: float
    window: str
    due_at: float
    cancelling_at: float | None = None
    ended_at: float | None = None
    completed_items: int = 0
    failed_items: int = 0
    usage: tuple = (0, 0)
    metadata: dict | None = None
    page_number: int = 0


class JobRecord(JsonRecord, _JobFields):
    """A batch job over the items of one input file; times are in Unix seconds.

    `page_number` is the number of the `JobIdPage` of the workspace that lists it.
    """

    @property
    def is_final(self):
        """Whether the job has ended."""
        return JobState(self.state).is_final

    @property
    def output_file_id(self):
        """Id of the file that contains the results."""
        return "file-out-" + self.job_id.removeprefix("batch_")

    @property
    def error_file_id(self):
        """Id of the file that contains the errors of failed items."""
        return "file-err-" + self.job_id.removeprefix("batch_")

    def with_totals(self, totals):
        """Return the record with the `Totals` of its results."""
        return self._replace(
            completed_items=totals.completed,
            failed_items=totals.failed,
            usage=tuple(totals.usage),
        )

    def is_same_request(self, other):
        """Whether the other record was created by a request with the same content."""
        own = (self.workspace, self.input_digest, self.path, self.window)
        return own == (other.workspace, other.input_digest, other.path, other.window)


def job_id_for(workspace, idempotency_key):
    """Return the id of the job created under an idempotency key of a workspace.

    >>> job_id_for("yard-a", "sheet-1") == job_id_for("yard-a", "sheet-1")
    True
    """
    return "batch_" + _digest_of(workspace, idempotency_key)


def file_id_for(workspace, filename, digest):
    """Return the id of a file, derived from its workspace, name and content."""
    return "file-" + _digest_of(workspace, filename, digest)


def job_name(workspace, job_id):
    """Return the object name of a job; jobs of one workspace share a name prefix.

    >>> job_name("yard-a", "batch_1")
    'yard-a.batch_1'
    """
    return f"{workspace}.{job_id}"


def window_seconds(window):
    """Return the seconds of a completion window, or None if it is invalid.

    >>> window_seconds("24h"), window_seconds("soon")
    (86400.0, None)
    """
    match = _WINDOW_PATTERN.match(window) if isinstance(window, str) else None
    return int(match[1]) * _SECONDS_BY_UNIT[match[2]] if match else None


def _digest_of(*parts):
    return hashlib.sha256(json.dumps(parts).encode()).hexdigest()[:32]
