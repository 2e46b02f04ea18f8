"""Order of work among workspaces and jobs on one node.

Paying workspaces come before those on trial. Inside a tier, workspaces get turns by
weight: each has a virtual time that advances by items over weight, and the one that
is furthest behind goes first. Inside a workspace the job due first goes first, but
every `SMALL_JOB_TURN`-th turn goes to the job with fewest segments left, so that a
small job is not stuck behind a giant one that is due earlier.
"""

from typing import NamedTuple

SMALL_JOB_TURN = 4


class Share(NamedTuple):
    """Standing of a workspace: its rank (0 goes first) and its weight."""

    rank: int
    weight: float


class Contender(NamedTuple):
    """A job or segment that asks for a turn."""

    key: str
    workspace: str
    due_at: float
    left: int


class FairScheduler:
    """Hands out turns among contenders.

    >>> turns = FairScheduler()
    >>> shares = {"a": Share(0, 1.0), "b": Share(0, 3.0)}
    >>> jobs = [Contender("j1", "a", 9.0, 5), Contender("j2", "b", 9.0, 5)]
    >>> for _ in range(8):
    ...     picked = turns.pick(jobs, shares)
    ...     turns.charge(picked, shares)
    ...     print(picked.key, end=" ")
    j1 j2 j2 j2 j1 j2 j2 j2
    """

    def __init__(self):
        self._virtual_time = {}
        self._turns = {}
        self._floor_by_rank = {}

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
        """Charge the workspace of a `Contender` that `pick` returned for its turn."""
        workspace = contender.workspace
        rank, weight = share_by_workspace[workspace]
        floor = self._floor_by_rank.get(rank, 0.0)
        self._floor_by_rank[rank] = max(floor, self._virtual_time[workspace])
        self._virtual_time[workspace] += 1.0 / weight
        self._turns[workspace] = self._turns.get(workspace, 0) + 1

    def _admit(self, names, rank):
        """Start newcomers level with those of their rank that have the least.

        A workspace that had no work for a while gains nothing by it.
        """
        floor = self._floor_by_rank.get(rank, 0.0)
        for name in names:
            known = self._virtual_time.get(name, floor)
            self._virtual_time[name] = max(known, floor)

    def _pick_job(self, workspace, contenders):
        turn = self._turns.get(workspace, 0) + 1
        if turn % SMALL_JOB_TURN == 0:
            return min(contenders, key=lambda c: (c.left, c.due_at, c.key))
        return min(contenders, key=lambda c: (c.due_at, c.left, c.key))
