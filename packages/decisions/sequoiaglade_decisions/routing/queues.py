"""Queues of waiting tickets with start-time fair queuing among workspaces."""

import heapq
import itertools

_COMPACT_MINIMUM = 64


class _WorkspaceQueue:
    """Waiting tickets of one workspace, the earliest due first."""

    __slots__ = ("start", "finish", "weight", "heap", "count", "is_scheduled")

    def __init__(self):
        self.start = 0.0
        self.finish = 0.0
        self.weight = 1.0
        self.heap = []
        self.count = 0
        self.is_scheduled = False


class FairQueue:
    """Waiting tickets of one target and priority.

    Each workspace has its own queue and a virtual start time. Each granted ticket
    advances it by 1 divided by the workspace's weight, and the workspace with the
    lowest start time is served next. A burst of one workspace thus lengthens only its
    own queue.

    >>> from .tickets import Priority, Ticket
    >>> queue = FairQueue()
    >>> for name in ("a1", "a2", "a3", "b1"):
    ...     queue.push(Ticket(name, name[0], "m", Priority.PAYING_ONLINE, 9.0))
    >>> [queue.pop().ticket_id for _ in range(4)]
    ['a1', 'b1', 'a2', 'a3']
    """

    def __init__(self):
        self._queue_by_workspace = {}
        self._schedule_heap = []
        self._virtual_time = 0.0
        self._waiting_weight = 0.0
        self._sequence = itertools.count()
        self._ticket_by_id = {}

    def __len__(self):
        return len(self._ticket_by_id)

    def __contains__(self, ticket_id):
        return ticket_id in self._ticket_by_id

    def tickets(self):
        """Return the waiting tickets in no particular order."""
        return list(self._ticket_by_id.values())

    def waiting_of(self, workspace):
        """Return the number of waiting tickets of the workspace."""
        queue = self._queue_by_workspace.get(workspace)
        return queue.count if queue is not None else 0

    def share_of(self, workspace, weight):
        """Return the workspace's share of grants among the waiting workspaces."""
        waits = self.waiting_of(workspace) > 0
        others = self._waiting_weight - (weight if waits else 0.0)
        return weight / (weight + max(0.0, others))

    def push(self, ticket):
        """Add a ticket."""
        queue = self._queue_by_workspace.setdefault(ticket.workspace, _WorkspaceQueue())
        self._add(queue, ticket, next(self._sequence))
        if not queue.is_scheduled:
            self._schedule(
                ticket.workspace, queue, max(self._virtual_time, queue.finish)
            )

    def pop(self):
        """Remove and return the next ticket, or None."""
        while self._schedule_heap:
            start, _, workspace = heapq.heappop(self._schedule_heap)
            queue = self._queue_by_workspace.get(workspace)
            if queue is None or not queue.is_scheduled or start != queue.start:
                continue
            queue.is_scheduled = False
            ticket = self._pop_first(queue)
            if ticket is None:
                continue
            self._virtual_time = max(self._virtual_time, start)
            queue.finish = start + 1.0 / queue.weight
            if queue.count:
                self._schedule(workspace, queue, queue.finish)
            return ticket
        self._drop_idle()
        return None

    def put_back(self, ticket):
        """Return a popped ticket to the head of its queue and undo its charge."""
        queue = self._queue_by_workspace.setdefault(ticket.workspace, _WorkspaceQueue())
        self._add(queue, ticket, -next(self._sequence))
        queue.finish = max(0.0, queue.finish - 1.0 / queue.weight)
        self._schedule(ticket.workspace, queue, queue.finish)

    def remove(self, ticket_id):
        """Remove a ticket; return whether it was in the queue."""
        ticket = self._ticket_by_id.pop(ticket_id, None)
        if ticket is None:
            return False
        queue = self._queue_by_workspace[ticket.workspace]
        self._count_removal(queue)
        if len(queue.heap) > _COMPACT_MINIMUM + 2 * queue.count:
            queue.heap = [
                entry for entry in queue.heap if entry[2] in self._ticket_by_id
            ]
            heapq.heapify(queue.heap)
        return True

    def _add(self, queue, ticket, number):
        if queue.count == 0:
            queue.weight = ticket.weight
            self._waiting_weight += queue.weight
        heapq.heappush(queue.heap, (ticket.due, number, ticket.ticket_id))
        queue.count += 1
        self._ticket_by_id[ticket.ticket_id] = ticket

    def _count_removal(self, queue):
        queue.count -= 1
        if queue.count == 0:
            self._waiting_weight -= queue.weight
        if not self._ticket_by_id:
            self._waiting_weight = 0.0

    def _schedule(self, workspace, queue, start):
        queue.is_scheduled = True
        queue.start = start
        heapq.heappush(self._schedule_heap, (start, next(self._sequence), workspace))

    def _pop_first(self, queue):
        while queue.heap:
            ticket = self._ticket_by_id.pop(heapq.heappop(queue.heap)[2], None)
            if ticket is not None:
                self._count_removal(queue)
                return ticket
        return None

    def _drop_idle(self):
        """Drop workspaces with no tickets whose finish time has passed."""
        idle = [
            name
            for name, queue in self._queue_by_workspace.items()
            if not queue.count and queue.finish <= self._virtual_time
        ]
        for name in idle:
            del self._queue_by_workspace[name]
