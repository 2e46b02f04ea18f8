"""Admissions of a workspace within a sliding window, in a fleet with shares."""

import bisect
import math
from collections import deque

# Slices of a window: an admission leaves it up to one slice late.
SLICES_PER_WINDOW = 50


class _Slice:
    def __init__(self, number, share):
        self.number = number
        self.share = share
        self.count = 0.0
        # The limit now, as a multiple of the one under which it was admitted.
        self.limit_ratio = 1.0


class AdmissionWindow:
    """Counts the admissions of the last `seconds`, in slices of a fixed width.

    A node in contact with a part of the fleet uses that part's share of the limit. Of
    what was admitted while more of the fleet was in contact it counts its share only:
    the other parts count the rest. The whole counts again when they are back.

    >>> window = AdmissionWindow(5.0)
    >>> window.add(10, now=0.0, share=1.0)
    >>> window.used(now=1.0, share=1.0), window.used(now=1.0, share=0.5)
    (10.0, 5.0)
    >>> window.used(now=5.2, share=1.0)
    0.0
    """

    def __init__(self, seconds):
        self.seconds = seconds
        self._width = seconds / SLICES_PER_WINDOW
        self._slices = deque()
        # Sum of all counts, which is as much as can count.
        self._total = 0.0

    def add(self, count, now, share, seconds=0.0):
        """Count admissions, which were spread over the last `seconds`.

        Those before the window are left out.
        """
        last = self._number(now)
        first = self._number(now - seconds)
        each = count / (last - first + 1)
        self._drop_past(now)
        for number in range(max(first, last - SLICES_PER_WINDOW), last + 1):
            self._add_to_slice(number, each, share)

    def used(self, now, share):
        """Return how many admissions count for this node's share of the limit."""
        self._drop_past(now)
        return sum((_counted(row, share) for row in self._slices), 0.0)

    def seconds_until(self, limit, now, share):
        """Return the seconds until no more than `limit` admissions count."""
        self._drop_past(now)
        if self._total <= limit:
            return 0.0
        excess = self.used(now, share) - limit
        for row in self._slices:
            if excess <= 0:
                return 0.0
            excess -= _counted(row, share)
            left_at = (row.number + 1) * self._width + self.seconds
            if excess <= 0:
                return max(0.0, left_at - now)
        return 0.0 if excess <= 0 else self.seconds

    def note_limit(self, ratio):
        """Note that the limit is `ratio` times the one before.

        Of what was admitted under a higher limit the same part of the lower one counts.

        >>> window = AdmissionWindow(5.0)
        >>> window.add(100, now=0.0, share=1.0)
        >>> window.note_limit(0.1)
        >>> window.used(now=1.0, share=1.0)
        10.0
        >>> window.note_limit(10.0)
        >>> window.used(now=1.0, share=1.0)
        100.0
        """
        for row in self._slices:
            row.limit_ratio *= ratio

    def _add_to_slice(self, number, count, share):
        self._total += count
        for row in reversed(self._slices):
            if row.number == number:
                row.count += count
                row.share = min(row.share, share)
                return
            if row.number < number:
                break
        row = _Slice(number, share)
        row.count = count
        # Late counts may be older than the newest slice.
        index = len(self._slices)
        while index and self._slices[index - 1].number > number:
            index -= 1
        self._slices.insert(index, row)

    def _number(self, at):
        return math.floor(at / self._width)

    def _drop_past(self, now):
        oldest = self._number(now) - SLICES_PER_WINDOW
        while self._slices and self._slices[0].number < oldest:
            self._total -= self._slices.popleft().count
        if not self._slices:
            self._total = 0.0


def _counted(row, share):
    return row.count * min(1.0, share / row.share) * min(1.0, row.limit_ratio)


class ToldTimes:
    """When the callers that were refused may return, as they were told.

    All callers who are told the time of the next free place return together, and all
    but one are refused again. Each is told its own time instead.

    >>> told = ToldTimes()
    >>> [told.next_seconds(lambda ahead: (1 + ahead) * 0.5, 0.0) for _ in range(3)]
    [0.5, 1.0, 1.5]
    >>> told.next_seconds(lambda ahead: (1 + ahead) * 0.5, now=1.25)
    1.0
    """

    def __init__(self):
        self._times = []

    def next_seconds(
        self, seconds_until, now, sharers=1, position=0.0, longest=math.inf
    ):
        """Return in how many seconds a refused caller may return, at most `longest`.

        `seconds_until` returns the seconds until there is room behind a number of
        others. Each of `sharers` nodes refuses as many callers as this one, at other
        times: `position`, from 0 to 1, is where this caller is among theirs.
        """
        del self._times[: bisect.bisect_right(self._times, now)]
        ahead = (len(self._times) + position) * sharers
        seconds = seconds_until(ahead)
        if seconds >= longest:
            # Those who have no time of their own are not before others.
            return longest
        bisect.insort(self._times, now + seconds)
        return seconds
