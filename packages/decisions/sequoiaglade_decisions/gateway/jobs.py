"""Batch jobs: their items, what has become of each, and what runs next."""

from enum import Enum
from typing import NamedTuple

# An item whose route has been gone for this long, in seconds, is given up: shorter
# absences may be a version that this node has not read yet.
ROUTE_GONE_SECONDS = 3.0
# Pause before an item that failed runs again, in seconds, times its failures.
FAILURE_PAUSE_SECONDS = 0.3


class Item(NamedTuple):
    """An item as it was submitted; `tokens` counts prompt and longest output."""

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int


class JobSpec(NamedTuple):
    """A batch job as it is stored; `submitted_at` is Unix time in seconds."""

    job_id: str
    workspace: str
    host: str
    path: str
    submitted_at: float
    accepted_by: str
    items: tuple[Item, ...]

    @property
    def key(self):
        """Name of the job in the store."""
        return job_key(self.workspace, self.job_id)


class Result(NamedTuple):
    """A listed result; an item that was given up has no output."""

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


class _Progress:
    def __init__(self, item):
        self.item = item
        self.failures = 0
        self.last_event_id = 0
        self.parts = []
        self.is_running = False
        self.not_before = 0.0
        self.result = None


class Batch:
    """One job at the node that holds it.

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
        self._progress_by_id = {item.item_id: _Progress(item) for item in spec.items}
        self._listed = set()
        self._route_gone_at = None

    @property
    def is_open(self):
        """Whether an item is neither listed nor given up with the job's end."""
        return not self.is_ended and len(self._listed) < len(self._progress_by_id)

    @property
    def waiting_tokens(self):
        """Tokens of the items that are not finished."""
        if self.is_ended:
            return 0
        rows = self._progress_by_id.values()
        return sum(row.item.tokens for row in rows if self._is_unfinished(row))

    @property
    def unfinished_count(self):
        """Number of items that are neither finished nor listed."""
        if self.is_ended:
            return 0
        return sum(self._is_unfinished(row) for row in self._progress_by_id.values())

    def item(self, item_id):
        """Return the `Item`, or None."""
        row = self._progress_by_id.get(item_id)
        return row and row.item

    def start_next(self, now):
        """Begin the next item that may run; return its progress, or None."""
        if self.is_ended:
            return None
        for row in self._progress_by_id.values():
            if (
                self._is_unfinished(row)
                and not row.is_running
                and row.not_before <= now
            ):
                row.is_running = True
                return row
        return None

    def add_event(self, item_id, event_id, data):
        """Keep an event's data; return whether it follows the last one."""
        row = self._progress_by_id[item_id]
        if event_id != row.last_event_id + 1:
            return False
        row.last_event_id = event_id
        row.parts.append(data)
        return True

    def finish(self, item_id, end, attempts, now):
        """Take the end of a run; `attempts` is how many failures are allowed."""
        row = self._progress_by_id[item_id]
        row.is_running = False
        match end:
            case ItemOutcome.DONE:
                row.result = Result(item_id, True, "\n".join(row.parts))
                row.parts = []
            case ItemOutcome.NEVER:
                row.result = Result(item_id, False)
            case ItemOutcome.FAILED:
                row.failures += 1
                row.not_before = now + FAILURE_PAUSE_SECONDS * row.failures
                if row.failures >= attempts:
                    row.result = Result(item_id, False)
            case ItemOutcome.BROKEN:
                row.not_before = now + FAILURE_PAUSE_SECONDS
            case ItemOutcome.STOPPED:
                pass

    def give_up_overdue(self, is_overdue, has_route, now):
        """Give up what may be: past its retention, or without its route."""
        if has_route:
            self._route_gone_at = None
        elif self._route_gone_at is None:
            self._route_gone_at = now
        gone = self._route_gone_at is not None
        if not is_overdue and not (
            gone and now - self._route_gone_at > ROUTE_GONE_SECONDS
        ):
            return
        for row in self._progress_by_id.values():
            if self._is_unfinished(row) and not row.is_running:
                row.result = Result(row.item.item_id, False)

    def unlisted(self):
        """Return the results that are not listed yet."""
        return [
            row.result
            for item_id, row in self._progress_by_id.items()
            if row.result is not None and item_id not in self._listed
        ]

    def note_listed(self, results):
        """Take the results that stand in the store, by this node or another."""
        self._listed.update(result.item_id for result in results)

    def _is_unfinished(self, row):
        return row.result is None and row.item.item_id not in self._listed


def run_order(due, now, run_seconds):
    """Return a key that sorts jobs by which one's items run first.

    Answers the load pattern of a backlog after an outage, with as much new work as the
    endpoints can do: by due time alone, each item would wait for those before it that
    are late already, and be late itself. Those that can still be in time, at
    `run_seconds` a run, go first, the one due first in front; late ones take what is
    left.

    >>> sorted([12.0, 9.0, 30.0], key=lambda due: run_order(due, 10.0, 1.5))
    [12.0, 30.0, 9.0]
    """
    return due - now < run_seconds, due


def job_key(workspace, job_id):
    """Return the name of a job in the store.

    >>> job_key("w", "7c41")
    'w.7c41'
    """
    return f"{workspace}.{job_id}"
