"""One budget for the memory that clients make a process hold."""

from typing import Any, NamedTuple

BYTES_PER_MB = 1_000_000
# The budget of an instance whose memory hardly exceeds an idle process: large enough
# for one body or head within the limits.
BUDGET_BYTES_MIN = 16_000_000
# A holder that has sent and read nothing for this long makes no progress.
STALLED_SECONDS = 1.0
# Holders of less are not closed in favour of others: many of them hold little.
CLOSED_BYTES_MIN = 16_384


class Reservation(NamedTuple):
    """Whether bytes are reserved, and the holders that are to be closed for them."""

    is_granted: bool
    to_close: tuple = ()


class _Holding(NamedTuple):
    size: int
    progressed_at: float
    is_closable: bool


class MemoryBudget:
    """Bytes that connections and requests hold together, at most `total`.

    Where a reservation does not fit, these go in turn, each with the load pattern that
    it answers:

    - Holders without progress are closed, those with the largest product of bytes and
      time first. Answers clients that send nearly all of a request, or read nothing of
      a response, and leave the connection open.
    - A holder that would have more than an equal share is refused. Answers many clients
      that all send large requests at the same time.
    - Otherwise the largest holder above an equal share is closed. Answers a few clients
      that hold nearly all, slowly enough to make progress, when others arrive.

    Holders that are not closable, whose request runs, are never closed.

    >>> budget = MemoryBudget(total=100_000)
    >>> budget.reserve("slow", 60_000, now=0.0).is_granted
    True
    >>> budget.reserve("other", 30_000, now=1.0).is_granted
    True
    >>> budget.reserve("large", 60_000, now=1.5)
    Reservation(is_granted=True, to_close=('slow',))
    >>> budget.reserve("third", 50_000, now=1.6)
    Reservation(is_granted=False, to_close=())
    >>> budget.reserve("third", 20_000, now=1.6)
    Reservation(is_granted=True, to_close=('large',))
    """

    def __init__(self, total):
        self.total = total
        self._holdings: dict[Any, _Holding] = {}
        self.held = 0

    def reserve(
        self,
        holder,
        size,
        now,
        is_closable=True,
        is_forced=False,
        patience_seconds=0.0,
    ):
        """Change the bytes that a holder has to `size`; return a `Reservation`.

        With `is_forced` they are held even if they do not fit, such as responses of
        requests that have run; others are closed for them as far as possible. A
        refused holder keeps what it has. The holder counts as stalled
        `patience_seconds` later than others, if its progress shows rarely.
        """
        before = self._holdings.get(holder)
        growth = size - (before.size if before else 0)
        to_close = ()
        excess = self.held + growth - self.total
        if growth > 0 and excess > 0:
            is_fitting, to_close = self._make_room(holder, size, excess, now)
            if not is_fitting and not is_forced:
                return Reservation(False)
        for closed in to_close:
            self.release(closed)
        self._holdings[holder] = _Holding(size, now + patience_seconds, is_closable)
        self.held += growth
        return Reservation(True, to_close)

    def release(self, holder):
        """Record that a holder has nothing any more."""
        holding = self._holdings.pop(holder, None)
        if holding is not None:
            self.held -= holding.size

    def _make_room(self, holder, size, excess, now):
        """Return whether closing others makes room, and those to close."""
        others = [
            (other, holding)
            for other, holding in self._holdings.items()
            if holding.is_closable
            and holding.size >= CLOSED_BYTES_MIN
            and other != holder
        ]
        stalled = [
            row for row in others if now - row[1].progressed_at >= STALLED_SECONDS
        ]
        stalled.sort(key=lambda row: row[1].size * (row[1].progressed_at - now))
        chosen = []
        for other, holding in stalled:
            if excess <= 0:
                break
            chosen.append(other)
            excess -= holding.size
        if excess <= 0:
            return True, tuple(chosen)
        count = len(self._holdings) + (holder not in self._holdings)
        share = self.total / count
        if size <= share:
            seen = set(chosen)
            others.sort(key=lambda row: -row[1].size)
            for other, holding in others:
                if excess <= 0 or holding.size <= share:
                    break
                if other not in seen:
                    chosen.append(other)
                    excess -= holding.size
        return excess <= 0, tuple(chosen)


def budget_bytes(memory_mb, idle_bytes):
    """Return the budget of an instance: half of what remains beyond an idle process.

    >>> budget_bytes(256, 66_000_000), budget_bytes(96, 90_000_000)
    (95000000, 16000000)
    """
    return max(BUDGET_BYTES_MIN, (memory_mb * BYTES_PER_MB - idle_bytes) // 2)
