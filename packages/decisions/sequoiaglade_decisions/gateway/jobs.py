"""Batch jobs: their items, the state of each item, and the order of execution."""

from enum import Enum
from typing import NamedTuple

from .json_sizes import json_size

# Items are given up after their route has been missing for this long.
MISSING_ROUTE_GRACE_SECONDS = 3.0
# A route counts as missing only in a configuration that was the newest one at most this
# long ago.
CONFIRMATION_AGE_MAX_SECONDS = 2.0
# Delay before a failed item runs again, multiplied by its number of failures.
RETRY_DELAY_SECONDS = 0.3
# An event has at least one token, except for a few such as the last one.
EVENTS_BEYOND_TOKENS_MAX = 64


class Item(NamedTuple):
    """An item as submitted; `tokens` is its prompt plus its maximum output."""

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int


class JobSpec(NamedTuple):
    """A batch job as stored; `submitted_at` is Unix time in seconds."""

    job_id: str
    workspace: str
    host: str
    path: str
    submitted_at: float
    accepted_by: str
    items: tuple[Item, ...]

    @property
    def key(self):
        """Key of the job in the store."""
        return job_key(self.workspace, self.job_id)


class Result(NamedTuple):
    """A result in the job's list; an item that was given up has no output."""

    item_id: str
    is_completed: bool
    output: str = ""


class ItemOutcome(Enum):
    """How a run of an item ended."""

    DONE = "done"
    FAILED = "failed"
    NEVER = "never"
    STOPPED = "stopped"
    BROKEN = "broken"
    EXCESSIVE = "excessive"


class _ItemProgress:
    def __init__(self, item):
        self.item = item
        self.failures = 0
        self.last_event_id = 0
        # The software version that wrote the events.
        self.version = None
        self.parts = []
        # The last event before the current run.
        self.resumed_after = 0
        # Bytes of the output as JSON.
        self.output_bytes = 0
        self.is_running = False
        self.not_before = 0.0
        self.result = None

    def restart(self):
        """Discard the events, so that the next run begins anew."""
        self.last_event_id = 0
        self.version = None
        self.parts = []
        self.output_bytes = 0


class Batch:
    """A batch job on the node that runs it.

    >>> item = Item("i-1", "/x/1", (), b"", 100)
    >>> batch = Batch(JobSpec("j", "w", "h", "/x/j", 0.0, "n", (item,)), due=18.0)
    >>> batch.start_next(now=0.0).item.item_id, batch.waiting_tokens
    ('i-1', 100)
    >>> batch.finish("i-1", ItemOutcome.DONE, attempts=3, now=1.0)
    >>> batch.unlisted(), batch.waiting_tokens
    ([Result(item_id='i-1', is_completed=True, output='')], 0)
    """

    def __init__(self, spec, due):
        self.spec = spec
        self.due = due
        self.is_ended = False
        self._progress_by_id = {
            item.item_id: _ItemProgress(item) for item in spec.items
        }
        self._listed = set()
        self._route_missing_since = None

    @property
    def is_open(self):
        """Whether the job has not ended and some items have no listed result."""
        return not self.is_ended and len(self._listed) < len(self._progress_by_id)

    @property
    def waiting_tokens(self):
        """Total tokens of the unfinished items."""
        if self.is_ended:
            return 0
        rows = self._progress_by_id.values()
        return sum(row.item.tokens for row in rows if self._is_unfinished(row))

    @property
    def unfinished_count(self):
        """Number of items without a result, listed or not."""
        if self.is_ended:
            return 0
        return sum(self._is_unfinished(row) for row in self._progress_by_id.values())

    def item(self, item_id):
        """Return the `Item`, or None."""
        row = self._progress_by_id.get(item_id)
        return row and row.item

    def drop_bodies(self):
        """Release the bodies of a job that no item will start of; return whether done.

        >>> item = Item("i-1", "/x/1", (), b"body", 100)
        >>> batch = Batch(JobSpec("j", "w", "h", "/x/j", 0.0, "n", (item,)), due=18.0)
        >>> batch.drop_bodies()
        False
        >>> batch.note_listed([Result("i-1", True)])
        >>> batch.drop_bodies(), batch.item("i-1").body, batch.spec.items[0].body
        (True, b'', b'')
        """
        rows = self._progress_by_id.values()
        if self.is_open or any(row.is_running for row in rows):
            return False
        for row in rows:
            row.item = row.item._replace(body=b"")
        items = [item._replace(body=b"") for item in self.spec.items]
        self.spec = self.spec._replace(items=tuple(items))
        return True

    def start_next(self, now, versions=None):
        """Mark the next runnable item as running; return its progress, or None.

        `versions` are the software versions whose endpoints take requests, None if
        unknown. An item whose events are of another version begins anew.
        """
        if self.is_ended:
            return None
        for row in self._progress_by_id.values():
            if (
                self._is_unfinished(row)
                and not row.is_running
                and row.not_before <= now
            ):
                row.is_running = True
                if versions is not None and row.version not in (None, *versions):
                    row.restart()
                row.resumed_after = row.last_event_id
                return row
        return None

    def postpone(self, item_id, now):
        """Record that a started item found no place, so that others go first."""
        row = self._progress_by_id[item_id]
        row.is_running = False
        row.not_before = now + RETRY_DELAY_SECONDS

    def add_event(self, item_id, event_id, data, version=""):
        """Append the data of an event that a software version wrote.

        Return False if the id is not the next one, or if the events before are of
        another version.
        """
        row = self._progress_by_id[item_id]
        if event_id != row.last_event_id + 1:
            return False
        if row.last_event_id and row.version != version:
            return False
        row.version = version
        row.last_event_id = event_id
        row.parts.append(data)
        row.output_bytes += json_size(data)
        return True

    def is_output_excessive(self, item_id, bytes_max):
        """Whether an item's events are more than a complete run of it can have.

        A result of more than `bytes_max` bytes does not fit into a document.
        """
        row = self._progress_by_id[item_id]
        return (
            row.last_event_id > row.item.tokens + EVENTS_BEYOND_TOKENS_MAX
            or row.output_bytes > bytes_max
        )

    def finish(self, item_id, outcome, attempts, now):
        """Record the outcome of a run; give the item up after `attempts` failures."""
        row = self._progress_by_id[item_id]
        row.is_running = False
        match outcome:
            case ItemOutcome.DONE:
                row.result = Result(item_id, True, "\n".join(row.parts))
                row.parts = []
            case ItemOutcome.NEVER:
                row.result = Result(item_id, False)
            case ItemOutcome.FAILED:
                row.failures += 1
                row.not_before = now + RETRY_DELAY_SECONDS * row.failures
                if row.failures >= attempts:
                    row.result = Result(item_id, False)
            case ItemOutcome.BROKEN:
                row.not_before = now + RETRY_DELAY_SECONDS
                if row.last_event_id == row.resumed_after:
                    # The endpoints of this version may not be able to go on.
                    row.restart()
            case ItemOutcome.EXCESSIVE:
                row.restart()
                row.not_before = now + RETRY_DELAY_SECONDS
            case ItemOutcome.STOPPED:
                pass

    def give_up_overdue(self, is_overdue, has_route, confirmed_at, now):
        """Give up idle items if the job is overdue or its route is missing for long.

        After a freeze or an outage of the store the route may be back in a newer
        configuration. `confirmed_at` is when the last read of the newest one began.
        Return whether another read is needed. Times are in seconds of a clock that also
        advances while the machine is suspended.

        >>> item = Item("i-1", "/x/1", (), b"", 100)
        >>> batch = Batch(JobSpec("j", "w", "h", "/x/j", 0.0, "n", (item,)), due=18.0)
        >>> batch.give_up_overdue(False, False, confirmed_at=0.0, now=10.0)
        False
        >>> batch.give_up_overdue(False, False, confirmed_at=0.0, now=15.0)
        True
        >>> batch.give_up_overdue(False, False, confirmed_at=15.0, now=15.1)
        False
        >>> batch.unlisted()
        [Result(item_id='i-1', is_completed=False, output='')]
        """
        if has_route:
            self._route_missing_since = None
        elif self._route_missing_since is None:
            self._route_missing_since = now
        rows = [
            row
            for row in self._progress_by_id.values()
            if self._is_unfinished(row) and not row.is_running
        ]
        if not is_overdue:
            if not rows or not self._is_grace_over(now):
                return False
            if not (
                self._is_grace_over(confirmed_at)
                and now - confirmed_at <= CONFIRMATION_AGE_MAX_SECONDS
            ):
                return True
        for row in rows:
            row.result = Result(row.item.item_id, False)
        return False

    def _is_grace_over(self, at):
        since = self._route_missing_since
        return since is not None and at - since > MISSING_ROUTE_GRACE_SECONDS

    def unlisted(self):
        """Return the results that are not in the stored list yet."""
        return [
            row.result
            for item_id, row in self._progress_by_id.items()
            if row.result is not None and item_id not in self._listed
        ]

    def note_listed(self, results):
        """Record results that are in the stored list, written by any node."""
        self._listed.update(result.item_id for result in results)

    def _is_unfinished(self, row):
        return row.result is None and row.item.item_id not in self._listed


def run_order(due, now, run_seconds):
    """Return a key that sorts jobs by the order in which their items run.

    With a backlog after an outage and as much new work as the endpoints can do,
    earliest-due-first order would make each item wait for items that are already late,
    and be late itself. Therefore jobs that can still finish on time, with runs of
    `run_seconds`, go first in order of due time; late jobs get the remaining capacity.

    >>> sorted([12.0, 9.0, 30.0], key=lambda due: run_order(due, 10.0, 1.5))
    [12.0, 30.0, 9.0]
    """
    return due - now < run_seconds, due


def job_key(workspace, job_id):
    """Return the key of a job in the store.

    >>> job_key("w", "7c41")
    'w.7c41'
    """
    return f"{workspace}.{job_id}"
