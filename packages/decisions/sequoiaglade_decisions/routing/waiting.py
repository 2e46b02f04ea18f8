"""Waiting tickets of all targets."""

import heapq

_COMPACT_MINIMUM = 64


class WaitingTickets:
    """Waiting tickets by id and in order of their deadlines.

    >>> from .tickets import Priority, Ticket
    >>> waiting = WaitingTickets()
    >>> for name, deadline in (("a", 3.0), ("b", 2.0)):
    ...     waiting.add(Ticket(name, "w", "m", Priority.PAYING_ONLINE, deadline))
    >>> [ticket.ticket_id for ticket in waiting.take_expired(2.5)], len(waiting)
    (['b'], 2)
    """

    def __init__(self):
        self._by_id = {}
        self._deadlines = []

    def __contains__(self, ticket_id):
        return ticket_id in self._by_id

    def __len__(self):
        return len(self._by_id)

    def tickets(self):
        """Return the list of all tickets, the longest waiting first."""
        return list(self._by_id.values())

    def add(self, ticket):
        """Add a ticket."""
        self._by_id[ticket.ticket_id] = ticket
        heapq.heappush(self._deadlines, (ticket.deadline, ticket.ticket_id))
        if len(self._deadlines) > _COMPACT_MINIMUM + 2 * len(self._by_id):
            self._deadlines = [d for d in self._deadlines if d[1] in self._by_id]
            heapq.heapify(self._deadlines)

    def pop(self, ticket_id):
        """Remove and return a ticket, or None."""
        return self._by_id.pop(ticket_id, None)

    def take_expired(self, now):
        """Yield each expired ticket once; the caller has to `pop` it."""
        while self._deadlines and self._deadlines[0][0] <= now:
            ticket = self._by_id.get(heapq.heappop(self._deadlines)[1])
            if ticket is not None:
                yield ticket
