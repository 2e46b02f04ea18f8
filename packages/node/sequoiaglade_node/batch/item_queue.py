"""Queue of the items of held segments for the threads that run them."""

import threading
import time

from sequoiaglade_decisions.jobs import Contender, FairScheduler

POLL_INTERVAL_SECONDS = 0.1
IDLE_INTERVAL_SECONDS = 5.0


class ItemQueue:
    """Held segments and their items, scheduled fairly among workspaces; thread-safe.

    `shares_of` maps a set of workspace names to a dict of their `Share` values.
    """

    def __init__(self, shares_of, clock=time.monotonic):
        self._shares_of = shares_of
        self._clock = clock
        self._scheduler = FairScheduler()
        self._segments = []
        self._changed = threading.Condition()
        self._is_stopped = False

    def add(self, segment):
        """Add a claimed segment."""
        with self._changed:
            segment.progressed_at = self._clock()
            self._segments.append(segment)
            self._changed.notify_all()

    def remove(self, segment):
        """Remove a segment that has ended."""
        with self._changed:
            self._segments.remove(segment)

    def segments(self):
        """Return a list of the held segments."""
        with self._changed:
            return list(self._segments)

    def uncancelled_segments(self, job_id):
        """Return the held segments of a job that are not marked as cancelled."""
        with self._changed:
            job_segments = [s for s in self._segments if s.job.job_id == job_id]
            return [segment for segment in job_segments if not segment.is_cancelled]

    def done_segments(self):
        """Return the segments with no pending items and none in flight."""
        with self._changed:
            return [segment for segment in self._segments if segment.is_done]

    @property
    def pending_count(self):
        """Number of pending items over all segments."""
        with self._changed:
            return sum(len(segment.pending) for segment in self._segments)

    def next_item(self):
        """Dequeue an item as (segment, `PendingItem`).

        Return None if no item is ready; unless the queue is stopped, wait for a change
        first.
        """
        with self._changed:
            if self._is_stopped:
                return None
            segment = self._pick_segment()
            if segment is None:
                self._changed.wait(
                    POLL_INTERVAL_SECONDS if self._segments else IDLE_INTERVAL_SECONDS
                )
                return None
            pending = segment.pending.popleft()
            segment.in_flight[pending.number] = None
            return segment, pending

    def has_item_before(self, segment):
        """Return whether an item of a higher tier than the segment's is ready."""
        own = segment.job.workspace
        with self._changed:
            now = self._clock()
            names = {s.job.workspace for s in self._segments if _is_ready(s, now)}
            share_by_name = self._shares_of(names | {own})
        return any(share_by_name[n].rank < share_by_name[own].rank for n in names)

    def register_attempt(self, segment, number, attempt):
        """Register the `Attempt` of an item; return False if it must not start."""
        with self._changed:
            if segment.is_cancelled or segment.is_lost or self._is_stopped:
                return False
            segment.in_flight[number] = attempt
            segment.progressed_at = self._clock()
            return True

    def requeue(self, segment, pending, delay):
        """Return an item to the queue for at least `delay` seconds.

        It is dropped if its segment is cancelled, lost or being released.
        """
        with self._changed:
            del segment.in_flight[pending.number]
            if segment.is_cancelled or segment.is_lost or segment.is_releasing:
                return
            pending.not_before = self._clock() + delay
            if delay:
                segment.pending.append(pending)
            else:
                segment.pending.appendleft(pending)
            self._changed.notify()

    def remove_in_flight(self, segment, pending):
        """Remove an item that is no longer in flight."""
        with self._changed:
            del segment.in_flight[pending.number]

    def cancel(self, job_id):
        """Drop the pending items of a job and abort those in flight."""
        with self._changed:
            for segment in self._segments:
                if segment.job.job_id == job_id and not segment.is_cancelled:
                    segment.is_cancelled = True
                    segment.pending.clear()
                    self._abort(segment)

    def release_starved(self, seconds):
        """Mark segments for release if no item got a slot for `seconds`.

        Another node may have slots for them. Return them.
        """
        before = self._clock() - seconds
        with self._changed:
            starved = [
                segment
                for segment in self._segments
                if segment.progressed_at < before
                and not segment.is_releasing
                and not any(segment.in_flight.values())
                and not segment.is_done
            ]
            for segment in starved:
                segment.is_releasing = True
                segment.pending.clear()
        return starved

    def abort_lost(self):
        """Drop the items of segments whose claim is lost and abort those in flight."""
        with self._changed:
            for segment in self._segments:
                if segment.is_lost:
                    segment.pending.clear()
                    self._abort(segment)

    def stop(self):
        """Stop returning items."""
        with self._changed:
            self._is_stopped = True
            self._changed.notify_all()

    def abort_repeatable(self):
        """Abort the repeatable items in flight."""
        with self._changed:
            for segment in self._segments:
                self._abort(segment, only_repeatable=True)

    def _pick_segment(self):
        now = self._clock()
        ready = [s for s in self._segments if _is_ready(s, now)]
        contenders = [
            Contender(
                str(number),
                segment.job.workspace,
                segment.job.due_at,
                segment.unfinished_segment_count,
            )
            for number, segment in enumerate(ready)
        ]
        shares = self._shares_of({c.workspace for c in contenders})
        picked = self._scheduler.pick(contenders, shares)
        if picked is None:
            return None
        self._scheduler.charge(picked, shares)
        return ready[int(picked.key)]

    def _abort(self, segment, only_repeatable=False):
        for attempt in segment.in_flight.values():
            if attempt is None or (only_repeatable and not attempt.may_repeat):
                continue
            attempt.abort()


def _is_ready(segment, now):
    pending = segment.pending
    if not pending:
        return False
    if pending[0].not_before > now:
        pending.rotate(-1)
    return pending[0].not_before <= now
