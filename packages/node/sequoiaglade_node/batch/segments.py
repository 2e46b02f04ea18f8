"""Segments claimed by this node, and their items."""

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
    """An item without a result yet, and the state left by its earlier attempts.

    `attempt_count` counts all attempts sent to an endpoint, `tries` those that count
    towards the limit. `not_before` is the monotonic time of the next attempt.
    """

    def __init__(self, number, item):
        self.number = number
        self.item = item
        self.tries = 0
        self.attempt_count = 0
        self.partial_response = None
        self.excluded_endpoint_ids = frozenset()
        self.not_before = 0.0


class HeldSegment:
    """Items, results and claim of one segment.

    `write_lock` serialises writes of the header; each write changes its `version`.
    Results are kept in memory until they are committed or the claim is lost.
    `count_by_rule` counts the decisions on items by journal rule.
    """

    def __init__(
        self, job, index, claim_id, version, header, unfinished_segment_count=1
    ):
        self.job = job
        self.index = index
        self.claim_id = claim_id
        self.unfinished_segment_count = unfinished_segment_count
        self.version = version
        self.header = header
        self.write_lock = threading.Lock()
        self.renewed_at = 0.0
        self.pending = deque()
        self.in_flight = {}
        self.is_lost = False
        self.is_cancelled = False
        self.is_releasing = False
        self.progressed_at = 0.0
        self.commit_started = False
        self.count_by_rule = Counter()
        self._lines_by_number = {}
        self._outcome_by_number = {}
        self._item_count = 0

    @property
    def owner(self):
        """Prefix of the request ids of the segment."""
        return f"{self.job.job_id}.{self.index}"

    @property
    def is_done(self):
        """Whether no items are pending or in flight."""
        return not self.pending and not self.in_flight

    @property
    def is_complete(self):
        """Whether each item has a result."""
        return len(self._lines_by_number) == self._item_count

    def load(self, lines, earlier_results):
        """Load the input lines and the results of earlier holders.

        An unrepeatable item that may have been dispatched before ends with an unknown
        result.
        """
        self._item_count = len(lines)
        for line, is_error, usage in earlier_results:
            number = int(request_id_of(line).rpartition(".")[2])
            self._add_result(number, line, is_error, usage)
        started = set(self.header.started)
        for number, line in enumerate(lines):
            if number in self._lines_by_number:
                continue
            item = parse_line(line, number)
            check_invariant(
                not isinstance(item, LineFault), "stored input lines are valid"
            )
            if number in started:
                self.record_result(PendingItem(number, item), unknown_result(item))
            else:
                self.pending.append(PendingItem(number, item))

    def request_id(self, number):
        """Return the request id of an item, which all its attempts share."""
        return f"{self.owner}.{number}"

    def record_result(self, pending, result, usage=Usage()):
        """Record the final result of an item."""
        line = result.output_line(self.request_id(pending.number))
        self._add_result(pending.number, line, result.error is not None, usage)

    def fail_pending(self, code, message):
        """End all pending items with an error."""
        while self.pending:
            pending = self.pending.popleft()
            self.record_result(pending, failed_result(pending.item, 503, code, message))

    def lines(self, is_error):
        """Return the lines of results or errors in the order of the input."""
        return [
            line
            for number, line in sorted(self._lines_by_number.items())
            if self._outcome_by_number[number][0] is is_error
        ]

    def final_header(self, state, output_parts, error_parts):
        """Return the header that commits or releases the recorded results."""
        usage = Usage()
        failed = 0
        for is_error, item_usage in self._outcome_by_number.values():
            failed += is_error
            usage = usage.plus(item_usage)
        check_invariant(
            state is not WorkState.COMMITTED or self.is_complete or self.is_cancelled,
            "a committed segment has a result for each item unless cancelled",
        )
        return self.header._replace(
            state=state.value,
            output_parts=tuple(output_parts),
            error_parts=tuple(error_parts),
            completed=len(self._outcome_by_number) - failed,
            failed=failed,
            usage=tuple(usage),
        )

    def _add_result(self, number, line, is_error, usage):
        check_invariant(
            number not in self._lines_by_number, "an item has at most one final result"
        )
        self._lines_by_number[number] = line
        self._outcome_by_number[number] = (is_error, usage)


def new_claim(node_id, candidate):
    """Return the header that claims a `Candidate` for a node."""
    claim_id = uuid.uuid4().hex
    if candidate.header is None:
        return WorkHeader(claim_id, node_id, WorkState.HELD.value)
    return candidate.header._replace(
        claim_id=claim_id, node_id=node_id, state=WorkState.HELD.value
    )


def request_id_of(line):
    """Return the request id at the start of a line of results.

    >>> request_id_of('{"id":"batch_1.0.7","custom_id":"a"}')
    'batch_1.0.7'
    """
    return line.partition('"id":"')[2].partition('"')[0]
