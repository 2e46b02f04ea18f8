"""A claimed segment on the node that holds it."""

import threading
import uuid
from collections import Counter, deque

from sequoiaglade_decisions.jobs import (
    LineFault,
    Usage,
    WorkHeader,
    WorkState,
    failed_result,
    parse_line,
    unknown_result,
)
from sequoiaglade_decisions.outcomes import check_invariant


class PendingItem:
    """An item that has no result yet, with what earlier attempts left behind."""

    def __init__(self, number, item):
        self.number = number
        self.item = item
        self.tries = 0
        self.attempts = 0
        self.partial = None
        self.excluded = frozenset()
        self.not_before = 0.0


class HeldSegment:
    """Items, results and claim of one segment.

    `write_lock` serialises the writes of the header, whose `version` each one
    advances. Results are kept until they are committed or the claim is lost.
    `count_by_rule` counts the decisions on its items.
    """

    def __init__(self, job, index, claim_id, version, header, job_left=1):
        self.job = job
        self.index = index
        self.claim_id = claim_id
        self.job_left = job_left
        self.version = version
        self.header = header
        self.write_lock = threading.Lock()
        self.renewed_at = 0.0
        self.pending = deque()
        self.in_flight = {}
        self.is_lost = False
        self.is_cancelled = False
        self.is_given_back = False
        self.progressed_at = 0.0
        self.commit_started = False
        self.count_by_rule = Counter()
        self._lines_by_number = {}
        self._counted = {}
        self._item_count = 0

    @property
    def owner(self):
        """Prefix of the ids of the segment's requests."""
        return f"{self.job.job_id}.{self.index}"

    @property
    def is_done(self):
        """Whether nothing is left to run."""
        return not self.pending and not self.in_flight

    @property
    def is_complete(self):
        """Whether each item has its result."""
        return len(self._lines_by_number) == self._item_count

    def load(self, lines, kept_lines):
        """Take over the input lines, and results that an earlier holder left."""
        self._item_count = len(lines)
        for line, is_error, usage in kept_lines:
            number = int(request_id_of(line).rpartition(".")[2])
            self._keep(number, line, is_error, usage)
        started = set(self.header.started)
        for number, line in enumerate(lines):
            if number in self._lines_by_number:
                continue
            item = parse_line(line, number)
            check_invariant(
                not isinstance(item, LineFault), "stored lines have been checked"
            )
            if number in started:
                self.finish(PendingItem(number, item), unknown_result(item))
            else:
                self.pending.append(PendingItem(number, item))

    def request_id(self, number):
        """Return the request id of an item, the same for all its attempts."""
        return f"{self.owner}.{number}"

    def finish(self, pending, result, usage=Usage()):
        """Keep the final result of an item."""
        line = result.output_line(self.request_id(pending.number))
        self._keep(pending.number, line, result.error is not None, usage)

    def fail_pending(self, code, message):
        """End all items that wait with an error."""
        while self.pending:
            pending = self.pending.popleft()
            self.finish(pending, failed_result(pending.item, 503, code, message))

    def lines(self, is_error):
        """Return the lines of results or of errors, in the order of the input."""
        return [
            line
            for number, line in sorted(self._lines_by_number.items())
            if self._counted[number][0] is is_error
        ]

    def final_header(self, state, output_parts, error_parts):
        """Return the header that commits or releases the results so far."""
        usage = Usage()
        failed = 0
        for is_error, item_usage in self._counted.values():
            failed += is_error
            usage = usage.plus(item_usage)
        check_invariant(
            state is not WorkState.COMMITTED or self.is_complete or self.is_cancelled,
            "a segment is committed with a result for each item",
        )
        return self.header._replace(
            state=state.value,
            output_parts=tuple(output_parts),
            error_parts=tuple(error_parts),
            completed=len(self._counted) - failed,
            failed=failed,
            usage=tuple(usage),
        )

    def _keep(self, number, line, is_error, usage):
        check_invariant(
            number not in self._lines_by_number, "an item has one final result"
        )
        self._lines_by_number[number] = line
        self._counted[number] = (is_error, usage)


def new_claim(node_id, candidate):
    """Return the header that claims a `Candidate` for the node."""
    claim_id = uuid.uuid4().hex
    if candidate.header is None:
        return WorkHeader(claim_id, node_id, WorkState.HELD.value)
    return candidate.header._replace(
        claim_id=claim_id, node_id=node_id, state=WorkState.HELD.value
    )


def request_id_of(line):
    """Return the request id that starts a line of results.

    >>> request_id_of('{"id":"batch_1.0.7","custom_id":"a"}')
    'batch_1.0.7'
    """
    return line.partition('"id":"')[2].partition('"')[0]
