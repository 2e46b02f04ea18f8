"""Work headers and results of segments, kept in the platform."""

import json
import time

from sequoiaglade_decisions.jobs import (
    Usage,
    WorkHeader,
    WorkState,
    join_parts,
    segment_name,
    split_parts,
)
from sequoiaglade_decisions.outcomes import Failure, FailureCode

from .assemble import usage_of
from .refusals import is_taken

WORK_KIND = "job-work"
RESULT_KIND = "job-results"
SETTLE_ATTEMPTS = 3
SETTLE_PAUSE_SECONDS = 0.1


class WorkStore:
    """Claims segments and keeps their results.

    Each write of a header is a conditional update on its version, so only one of
    several nodes that believe to hold a segment has its results committed.
    """

    def __init__(self, platform, sleep=time.sleep):
        self._platform = platform
        self._sleep = sleep

    def headers(self, job_id):
        """Return pairs of version and `WorkHeader` by segment, or a `Failure`."""
        found = self._platform.list(WORK_KIND, job_id + ".")
        if isinstance(found, Failure):
            return found
        return {
            int(stored.name.rpartition(".")[2]): (
                stored.version,
                WorkHeader.decode(stored.value),
            )
            for stored in found
        }

    def claim(self, job_id, candidate, header):
        """Write a claim; return its version, or a `Failure`.

        ``CONFLICT`` states that somebody else has the segment.
        """
        name = segment_name(job_id, candidate.index)
        if candidate.version is None:
            stored = self._platform.create(WORK_KIND, name, header.encode())
        else:
            stored = self._platform.update(
                WORK_KIND, name, header.encode(), candidate.version
            )
        if not isinstance(stored, Failure):
            return stored.version
        if stored.code is FailureCode.UNAVAILABLE:
            return stored
        return self._settle(name, header, stored)

    def update(self, job_id, index, header, version):
        """Replace the header of a held segment; return its new version.

        A `Failure` with ``CONFLICT`` states that the claim is lost, any other that
        the same update may be tried again from the version that `resync` returns.
        """
        name = segment_name(job_id, index)
        stored = self._platform.update(WORK_KIND, name, header.encode(), version)
        if not isinstance(stored, Failure):
            return stored.version
        if stored.code is FailureCode.UNAVAILABLE:
            return stored
        return self._settle(name, header, stored)

    def resync(self, job_id, index, claim_id):
        """Return version and header of a segment if the claim still owns it.

        A `Failure` with ``CONFLICT`` states that the claim is lost.
        """
        stored = self._platform.get(WORK_KIND, segment_name(job_id, index))
        if isinstance(stored, Failure):
            if stored.code is FailureCode.NOT_FOUND:
                return Failure(FailureCode.CONFLICT, "the claim is not there")
            return stored
        header = WorkHeader.decode(stored.value)
        if header.claim_id != claim_id:
            return Failure(FailureCode.CONFLICT, f"held by {header.node_id}")
        return stored.version, header

    def write_results(self, job_id, index, claim_id, lines):
        """Store lines of results; return the names of their parts, or a `Failure`.

        The parts of a claim are its own: nothing refers to them until a header does.
        """
        owner = f"{segment_name(job_id, index)}.{claim_id[:12]}"
        names = []
        for name, data in split_parts(owner, lines):
            stored = self._platform.create(RESULT_KIND, name, data)
            if isinstance(stored, Failure) and not is_taken(stored):
                return stored
            names.append(name)
        return tuple(names)

    def read_results(self, names):
        """Return the lines of results in their parts, or a `Failure`."""
        parts = []
        for name in names:
            stored = self._platform.get(RESULT_KIND, name)
            if isinstance(stored, Failure):
                return stored
            parts.append(stored.value)
        return join_parts(parts)

    def read_kept(self, header):
        """Return the results that a released header names, or a `Failure`.

        They come as tuples of line, whether it is an error, and its `Usage`.
        """
        kept = []
        for names, is_error in (
            (header.output_parts, False),
            (header.error_parts, True),
        ):
            lines = self.read_results(names)
            if isinstance(lines, Failure):
                return lines
            kept += [(line, is_error, _usage_of_line(line)) for line in lines]
        return kept

    def drop_results(self, names):
        """Delete parts that no header refers to, as far as the platform answers."""
        for name in names:
            stored = self._platform.get(RESULT_KIND, name)
            if not isinstance(stored, Failure):
                self._platform.delete(RESULT_KIND, name, stored.version)

    def close(self, job_id, candidate):
        """Close a segment of a cancelled job; its holder can't commit any more."""
        header = candidate.header._replace(state=WorkState.CLOSED.value)
        return self.update(job_id, candidate.index, header, candidate.version)

    def _settle(self, name, header, failure):
        for attempt in range(SETTLE_ATTEMPTS):
            if attempt:
                self._sleep(SETTLE_PAUSE_SECONDS)
            stored = self._platform.get(WORK_KIND, name)
            if isinstance(stored, Failure):
                continue
            found = WorkHeader.decode(stored.value)
            if found.encode() == header.encode():
                return stored.version
            if found.claim_id != header.claim_id:
                reason = f"{name} is held by {found.node_id}"
                return Failure(FailureCode.CONFLICT, reason)
            return Failure(FailureCode.UNKNOWN, f"{name} has another version")
        return Failure(FailureCode.UNKNOWN, failure.reason)


def _usage_of_line(line):
    response = json.loads(line)["response"]
    return Usage() if response is None else usage_of(response["body"])
