"""Weighted fair scheduling of batch work among workspaces and jobs on one node.

Paying workspaces have strict priority over those on trial. Within a tier, workspaces
are scheduled by weight: each has a virtual time that advances by items over weight,
and the one with the least virtual time goes first. Within a workspace the job due
first goes first, but every `SMALL_JOB_TURN_INTERVAL`-th turn goes to the job with the
least work remaining, so that a small job is not delayed by a large one due earlier.
"""

from typing import NamedTuple

SMALL_JOB_TURN_INTERVAL = 4


class Share(NamedTuple):
    """Priority rank of a workspace (0 goes first) and its weight within the rank."""

    rank: int
    weight: float


class Contender(NamedTuple):
    """A job or segment that competes for the next turn."""

    key: str
    workspace: str
    due_at: float
    remaining: int


class FairScheduler:
    """Decides which contender gets the next turn.

    >>> scheduler = FairScheduler()
    >>> shares = {"a": Share(0, 1.0), "b": Share(0, 3.0)}
    >>> jobs = [Contender("j1", "a", 9.0, 5), Contender("j2", "b", 9.0, 5)]
    >>> for _ in range(8):
    ...     picked = scheduler.pick(jobs, shares)
    ...     scheduler.charge(picked, shares)
    ...     print(picked.key, end=" ")
    j1 j2 j2 j2 j1 j2 j2 j2
    """

    def __init__(self):
        self._virtual_time = {}
        self._turn_count = {}
        self._min_time_by_rank = {}

    def pick(self, contenders, share_by_workspace):
        """Return the `Contender` whose turn it is, or None."""
        if not contenders:
            return None
        names = {contender.workspace for contender in contenders}
        rank = min(share_by_workspace[name].rank for name in names)
        first = {name for name in names if share_by_workspace[name].rank == rank}
        self._admit(first, rank)
        workspace = min(first, key=lambda name: (self._virtual_time[name], name))
        own = [c for c in contenders if c.workspace == workspace]
        return self._pick_job(workspace, own)

    def charge(self, contender, share_by_workspace):
        """Charge a turn to the workspace of a `Contender` returned by `pick`."""
        workspace = contender.workspace
        rank, weight = share_by_workspace[workspace]
        floor = self._min_time_by_rank.get(rank, 0.0)
        self._min_time_by_rank[rank] = max(floor, self._virtual_time[workspace])
        self._virtual_time[workspace] += 1.0 / weight
        self._turn_count[workspace] = self._turn_count.get(workspace, 0) + 1

    def _admit(self, names, rank):
        """Raise the virtual times of workspaces to the minimum of their rank.

        A workspace thus gains no credit for the time in which it had no work.
        """
        floor = self._min_time_by_rank.get(rank, 0.0)
        for name in names:
            known = self._virtual_time.get(name, floor)
            self._virtual_time[name] = max(known, floor)

    def _pick_job(self, workspace, contenders):
        turn = self._turn_count.get(workspace, 0) + 1
        if turn % SMALL_JOB_TURN_INTERVAL == 0:
            return min(contenders, key=lambda c: (c.remaining, c.due_at, c.key))
        return min(contenders, key=lambda c: (c.due_at, c.remaining, c.key))
