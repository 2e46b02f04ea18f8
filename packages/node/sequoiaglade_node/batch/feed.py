"""Hands the items of held segments to the threads that run them."""

import threading
import time

from sequoiaglade_decisions.jobs import Contender, FairScheduler

POLL_SECONDS = 0.1
IDLE_SECONDS = 5.0


class ItemFeed:
    """The segments in hand and their items; safe for use by many threads.

    `shares_of` returns the `Share` of each workspace in a set by its name.
    """

    def __init__(self, shares_of, clock=time.monotonic):
        self._shares_of = shares_of
        self._clock = clock
        self._turns = FairScheduler()
        self._segments = []
        self._changed = threading.Condition()
        self._is_stopped = False

    def add(self, segment):
        """Take a segment in hand."""
        with self._changed:
            segment.progressed_at = self._clock()
            self._segments.append(segment)
            self._changed.notify_all()

    def remove(self, segment):
        """Forget a segment that has ended."""
        with self._changed:
            self._segments.remove(segment)

    def segments(self):
        """Return the segments in hand."""
        with self._changed:
            return list(self._segments)

    def uncancelled(self, job_id):
        """Return the segments in hand of a job whose cancel was not heard of."""
        with self._changed:
            own = [s for s in self._segments if s.job.job_id == job_id]
            return [segment for segment in own if not segment.is_cancelled]

    def done_segments(self):
        """Return the segments of which nothing is left to run."""
        with self._changed:
            return [segment for segment in self._segments if segment.is_done]

    @property
    def unstarted_count(self):
        """Number of items that wait."""
        with self._changed:
            return sum(len(segment.pending) for segment in self._segments)

    def take(self):
        """Wait for an item; return it as (segment, `PendingItem`), or None."""
        with self._changed:
            if self._is_stopped:
                return None
            segment = self._pick()
            if segment is None:
                self._changed.wait(POLL_SECONDS if self._segments else IDLE_SECONDS)
                return None
            pending = segment.pending.popleft()
            segment.in_flight[pending.number] = None
            return segment, pending

    def attach(self, segment, number, attempt):
        """Note the `Attempt` of an item; return False if it must not start."""
        with self._changed:
            if segment.is_cancelled or segment.is_lost or self._is_stopped:
                return False
            segment.in_flight[number] = attempt
            segment.progressed_at = self._clock()
            return True

    def put_back(self, segment, pending, delay):
        """Have an item wait again, for at least `delay` seconds."""
        with self._changed:
            del segment.in_flight[pending.number]
            if segment.is_cancelled or segment.is_lost or segment.is_given_back:
                return
            pending.not_before = self._clock() + delay
            if delay:
                segment.pending.append(pending)
            else:
                segment.pending.appendleft(pending)
            self._changed.notify()

    def end(self, segment, pending):
        """Note that an item is no longer in flight."""
        with self._changed:
            del segment.in_flight[pending.number]

    def cancel(self, job_id):
        """Drop the items of a job that wait and abort those in flight."""
        with self._changed:
            for segment in self._segments:
                if segment.job.job_id == job_id and not segment.is_cancelled:
                    segment.is_cancelled = True
                    segment.pending.clear()
                    self._abort(segment)

    def give_back_starved(self, seconds):
        """Let go of segments none of whose items got a slot for so long.

        Another node may have slots for them. Return whether there were any.
        """
        before = self._clock() - seconds
        with self._changed:
            starved = [
                segment
                for segment in self._segments
                if segment.progressed_at < before
                and not segment.is_given_back
                and not any(segment.in_flight.values())
                and not segment.is_done
            ]
            for segment in starved:
                segment.is_given_back = True
                segment.pending.clear()
        return bool(starved)

    def abort_lost(self):
        """Abort what is in flight for claims that this node has lost."""
        with self._changed:
            for segment in self._segments:
                if segment.is_lost:
                    segment.pending.clear()
                    self._abort(segment)

    def stop(self):
        """Hand out no further item."""
        with self._changed:
            self._is_stopped = True
            self._changed.notify_all()

    def abort_repeatable(self):
        """Abort the items in flight that may be repeated elsewhere."""
        with self._changed:
            for segment in self._segments:
                self._abort(segment, only_repeatable=True)

    def _pick(self):
        now = self._clock()
        ready = [s for s in self._segments if _is_ready(s, now)]
        contenders = [
            Contender(
                str(number), segment.job.workspace, segment.job.due_at, segment.job_left
            )
            for number, segment in enumerate(ready)
        ]
        shares = self._shares_of({c.workspace for c in contenders})
        picked = self._turns.pick(contenders, shares)
        if picked is None:
            return None
        self._turns.charge(picked, shares)
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
