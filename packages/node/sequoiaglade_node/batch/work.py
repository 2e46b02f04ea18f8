"""Work headers and results of segments, stored on the platform."""

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

from .refusals import is_name_taken
from .responses import usage_of

WORK_KIND = "job-work"
RESULT_KIND = "job-results"
RESOLVE_ATTEMPTS = 3
RESOLVE_PAUSE_SECONDS = 0.1


class WorkStore:
    """Claims segments and stores their results.

    Headers are written conditionally on their version, so if several nodes believe that
    they hold a segment, only one of them can commit its results.
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

        ``CONFLICT`` means that another node holds the segment.
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
        return self._resolve_write(name, header, stored)

    def update(self, job_id, index, header, version):
        """Replace the header of a held segment; return its new version or a `Failure`.

        A `Failure` with ``CONFLICT`` means that the claim is lost. After any other, the
        update may be retried with the version that `resync` returns.
        """
        name = segment_name(job_id, index)
        stored = self._platform.update(WORK_KIND, name, header.encode(), version)
        if not isinstance(stored, Failure):
            return stored.version
        if stored.code is FailureCode.UNAVAILABLE:
            return stored
        return self._resolve_write(name, header, stored)

    def resync(self, job_id, index, claim_id):
        """Return version and header of a segment that the claim still holds.

        A `Failure` with ``CONFLICT`` means that the claim is lost.
        """
        stored = self._platform.get(WORK_KIND, segment_name(job_id, index))
        if isinstance(stored, Failure):
            if stored.code is FailureCode.NOT_FOUND:
                return Failure(FailureCode.CONFLICT, "the claim does not exist")
            return stored
        header = WorkHeader.decode(stored.value)
        if header.claim_id != claim_id:
            return Failure(FailureCode.CONFLICT, f"held by {header.node_id}")
        return stored.version, header

    def write_results(self, job_id, index, claim_id, lines):
        """Store lines of results; return the names of their parts, or a `Failure`.

        Part names include the claim id, so claims never share parts. Parts are not
        visible until a header refers to them.
        """
        owner = f"{segment_name(job_id, index)}.{claim_id[:12]}"
        names = []
        for name, data in split_parts(owner, lines):
            stored = self._platform.create(RESULT_KIND, name, data)
            if isinstance(stored, Failure) and not is_name_taken(stored):
                return stored
            names.append(name)
        return tuple(names)

    def read_results(self, names):
        """Return the lines of results stored in the named parts, or a `Failure`."""
        parts = []
        for name in names:
            stored = self._platform.get(RESULT_KIND, name)
            if isinstance(stored, Failure):
                return stored
            parts.append(stored.value)
        return join_parts(parts)

    def read_partial_results(self, header):
        """Return the results that a released header refers to, or a `Failure`.

        Each is a tuple of the line, whether it is an error, and its `Usage`.
        """
        results = []
        for names, is_error in (
            (header.output_parts, False),
            (header.error_parts, True),
        ):
            lines = self.read_results(names)
            if isinstance(lines, Failure):
                return lines
            results += [(line, is_error, _usage_of_line(line)) for line in lines]
        return results

    def delete_results(self, names):
        """Delete parts that no header refers to; failures are ignored."""
        for name in names:
            stored = self._platform.get(RESULT_KIND, name)
            if not isinstance(stored, Failure):
                self._platform.delete(RESULT_KIND, name, stored.version)

    def close(self, job_id, candidate):
        """Close a segment of a cancelled job; its holder can then no longer commit."""
        header = candidate.header._replace(state=WorkState.CLOSED.value)
        return self.update(job_id, candidate.index, header, candidate.version)

    def _resolve_write(self, name, header, failure):
        for attempt in range(RESOLVE_ATTEMPTS):
            if attempt:
                self._sleep(RESOLVE_PAUSE_SECONDS)
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
