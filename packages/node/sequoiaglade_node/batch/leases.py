"""Lease renewals and other writes to the claims that this node holds."""

import time

import structlog

from sequoiaglade_decisions.jobs import WorkState
from sequoiaglade_decisions.outcomes import Failure, FailureCode

LEASE_LOST = "lease_lost"


class LeaseWriter:
    """Renews claims, marks items as started, and commits or releases results.

    When the node no longer holds a segment, `on_end` is called with the segment, the
    outcome, and a reason if the lease was lost.
    """

    def __init__(self, work, clock=time.monotonic, on_end=None):
        self._work = work
        self._on_end = on_end or _ignore_end
        self._clock = clock
        self._log = structlog.get_logger()

    def renew(self, segment):
        """Renew the lease of a claim; mark the segment if the claim is lost."""
        with segment.write_lock:
            if not segment.is_lost and not segment.commit_started:
                self._write(segment, segment.header)

    def mark_started(self, segment, number):
        """Record on the platform that an unrepeatable item may have been dispatched.

        Return whether the record was written and the claim is still held.
        """
        with segment.write_lock:
            if number in segment.header.started:
                return not segment.is_lost
            started = (*segment.header.started, number)
            header = segment.header._replace(started=started)
            return not segment.is_lost and self._write(segment, header)

    def finalize(self, segment, state):
        """Write the results and the final header of a segment.

        Return True once the results are committed or released, or the claim is lost.
        After False the results are kept in memory and the call must be retried.
        """
        with segment.write_lock:
            if segment.is_lost:
                return True
            return self._finalize(segment, state)

    def _finalize(self, segment, state):
        old_parts = (*segment.header.output_parts, *segment.header.error_parts)
        names = []
        for is_error in (False, True):
            written = self._work.write_results(
                segment.job.job_id,
                segment.index,
                segment.claim_id,
                segment.lines(is_error),
            )
            if isinstance(written, Failure):
                return False
            names.append(written)
        header = segment.final_header(state, *names)
        if not self._write(segment, header):
            if segment.is_lost:
                self._work.delete_results((*names[0], *names[1]))
            return segment.is_lost
        new_parts = {*names[0], *names[1]}
        self._work.delete_results([name for name in old_parts if name not in new_parts])
        self._log.info(
            "segment ended",
            job_id=segment.job.job_id,
            segment=segment.index,
            outcome=state.value,
        )
        self._on_end(segment, state.value)
        return True

    def _write(self, segment, header):
        started_at = self._clock()
        version = self._work.update(
            segment.job.job_id, segment.index, header, segment.version
        )
        if not isinstance(version, Failure):
            self._adopt(segment, version, header, started_at)
            return True
        if version.code is FailureCode.UNAVAILABLE:
            return False
        return self._resync(segment, header, started_at)

    def _resync(self, segment, intended, started_at):
        found = self._work.resync(segment.job.job_id, segment.index, segment.claim_id)
        if isinstance(found, Failure):
            if found.code is FailureCode.CONFLICT:
                self._mark_lost(segment, found.reason)
            return False
        version, header = found
        is_written = header.encode() == intended.encode()
        if not is_written and header.state != WorkState.HELD.value:
            self._mark_lost(segment, f"the segment is {header.state}")
            return False
        self._adopt(segment, version, header, started_at)
        return is_written

    def _adopt(self, segment, version, header, at):
        segment.version = version
        segment.header = header
        segment.renewed_at = at

    def _mark_lost(self, segment, reason):
        segment.is_lost = True
        self._log.warning(
            "claim lost",
            job_id=segment.job.job_id,
            segment=segment.index,
            outcome=reason,
        )
        self._on_end(segment, LEASE_LOST, reason)


def _ignore_end(segment, outcome, reason=None):
    pass
