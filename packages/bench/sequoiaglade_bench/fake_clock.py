"""Event queue on a simulated clock, to run state machines without processes."""

import heapq
import itertools


class EventQueue:
    """Calls functions in the order of their simulated times, in seconds.

    >>> events = EventQueue()
    >>> calls = []
    >>> events.after(1.0, calls.append, "later")
    >>> events.after(0.5, calls.append, "sooner")
    >>> events.run_until(2.0)
    >>> calls, events.now
    (['sooner', 'later'], 2.0)
    """

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._numbers = itertools.count()

    def after(self, seconds, function, *arguments):
        """Call `function` after `seconds`."""
        entry = (self.now + seconds, next(self._numbers), function, arguments)
        heapq.heappush(self._heap, entry)

    def run_until(self, end):
        """Run all events up to the time `end`."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self._heap)
            function(*arguments)
        self.now = end
