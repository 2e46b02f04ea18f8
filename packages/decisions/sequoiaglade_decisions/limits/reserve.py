"""Grants that a node holds, from which requests are admitted."""

from contextlib import nullcontext
from dataclasses import dataclass, field
from functools import wraps
from math import ceil

from .messages import GrantRequest
from .timing import usable_seconds

DEMAND_SECONDS = 1.0
WANTED_FRACTION = 0.5
IDLE_SECONDS = 0.4
SETTLED_MOST = 256


@dataclass
class _Held:
    pool: str
    grant_id: int
    left: int
    usable_until: float
    settle_at_once: bool


@dataclass
class _Workspace:
    held: list = field(default_factory=list)
    closed_until: float = float("-inf")
    window: float = 0.0
    count: int = 0
    last_count: int = 0
    taken_at: float = float("-inf")


def _exclusive(method):
    """Return `method` with the reserve's lock held."""

    @wraps(method)
    def locked(self, *arguments):
        with self._lock:
            return method(self, *arguments)

    return locked


class Reserve:
    """Unspent grants by workspace.

    A grant counts from when it was asked for, and its term is checked right before
    each use. `lock`, a context manager, is held during each call where threads share
    the reserve.

    >>> from sequoiaglade_decisions.limits import PoolGrant
    >>> reserve = Reserve("node-a", grant_seconds=1.0)
    >>> reserve.add("hays", "node-b", PoolGrant(1, 2, 0.0), 0.0, 0.1)
    >>> [reserve.consume("hays", 0.2), reserve.consume("hays", 5.0)]
    [True, False]
    """

    def __init__(self, node_id, grant_seconds, lock=None):
        self._lock = lock or nullcontext()
        self._node_id = node_id
        self._usable_seconds = usable_seconds(grant_seconds)
        self._by_workspace = {}
        self._settled_by_pool = {}
        self._urgent_requests = []

    @_exclusive
    def consume(self, workspace, now):
        """Take one request out of the grants held; return whether there was one."""
        state = self._state(workspace)
        while state.held:
            grant = state.held[0]
            if now >= grant.usable_until:
                state.held.pop(0)
                continue
            grant.left -= 1
            _count(state, now)
            if grant.left == 0:
                state.held.pop(0)
                self._settle(grant)
                if grant.settle_at_once:
                    self._settle_at_once(workspace, grant.pool)
            return True
        return False

    @_exclusive
    def add(self, workspace, pool, grant, asked_at, now):
        """Hold a `PoolGrant` that was asked for at `asked_at`."""
        usable_until = asked_at + self._usable_seconds
        if now < usable_until:
            state = self._state(workspace)
            held = _Held(
                pool, grant.grant_id, grant.tokens, usable_until, grant.settle_at_once
            )
            state.held.append(held)
            state.taken_at = now

    @_exclusive
    def back_off(self, workspace, until):
        """Ask no pool for the workspace before `until`."""
        self._state(workspace).closed_until = until

    @_exclusive
    def backoff_seconds(self, workspace, now):
        """Return how long no pool is to be asked for the workspace."""
        return max(0.0, self._state(workspace).closed_until - now)

    @_exclusive
    def request(self, workspace, pool):
        """Return the `GrantRequest` to send to a pool for what is needed soon."""
        state = self._state(workspace)
        demand = max(state.count, state.last_count)
        wanted = max(1, ceil(demand * WANTED_FRACTION))
        return GrantRequest(self._node_id, workspace, wanted, self.pop_settled(pool))

    @_exclusive
    def pop_settled(self, pool):
        """Return, once, the grants of a pool that are closed."""
        found = self._settled_by_pool.pop(pool, [])
        return tuple(found[-SETTLED_MOST:])

    @_exclusive
    def pop_urgent_requests(self):
        """Return, once, pairs of pool and `GrantRequest` that settle at once."""
        if not self._urgent_requests:
            return ()
        found, self._urgent_requests = self._urgent_requests, []
        return found

    @_exclusive
    def settle_idle(self, now):
        """Settle the grants of workspaces without a request lately."""
        for state in self._by_workspace.values():
            if now - state.taken_at < IDLE_SECONDS:
                continue
            while state.held:
                grant = state.held.pop()
                if now < grant.usable_until:
                    self._settle(grant)

    @_exclusive
    def retain(self, workspaces):
        """Forget all workspaces but these."""
        for workspace in set(self._by_workspace) - set(workspaces):
            del self._by_workspace[workspace]

    def _settle_at_once(self, workspace, pool):
        request = GrantRequest(self._node_id, workspace, 0, self.pop_settled(pool))
        self._urgent_requests.append((pool, request))

    def _settle(self, grant):
        settled = self._settled_by_pool.setdefault(grant.pool, [])
        settled.append((grant.grant_id, grant.left))
        del settled[:-SETTLED_MOST]

    def _state(self, workspace):
        state = self._by_workspace.get(workspace)
        if state is None:
            state = self._by_workspace[workspace] = _Workspace()
        return state


def _count(state, now):
    elapsed = now - state.window
    if elapsed >= DEMAND_SECONDS:
        state.last_count = state.count if elapsed < 2 * DEMAND_SECONDS else 0
        state.window = now
        state.count = 0
    state.count += 1
    state.taken_at = now
