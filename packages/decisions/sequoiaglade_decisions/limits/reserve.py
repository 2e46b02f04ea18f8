"""Unspent grants of a node, from which it admits requests."""

from contextlib import nullcontext
from dataclasses import dataclass, field
from functools import wraps
from math import ceil

from .messages import GrantRequest
from .timing import usable_seconds

DEMAND_WINDOW_SECONDS = 1.0
REQUESTED_DEMAND_FRACTION = 0.5
IDLE_SECONDS = 0.4
MAX_SETTLED_PER_POOL = 256


@dataclass
class _HeldGrant:
    pool: str
    grant_id: int
    remaining: int
    usable_until: float
    settle_at_once: bool


@dataclass
class _WorkspaceState:
    held_grants: list = field(default_factory=list)
    backoff_until: float = float("-inf")
    window_start: float = 0.0
    request_count: int = 0
    previous_count: int = 0
    last_used_at: float = float("-inf")


def _locked(method):
    """Return `method` wrapped to run while holding the reserve's lock."""

    @wraps(method)
    def locked(self, *arguments):
        with self._lock:
            return method(self, *arguments)

    return locked


class Reserve:
    """Unspent grants by workspace.

    The term of a grant starts when it was requested and is checked right before each
    use. `lock` is a context manager that is held during each call; it is needed where
    threads share the reserve.

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

    @_locked
    def consume(self, workspace, now):
        """Spend one token of a held grant; return whether there was one."""
        state = self._state(workspace)
        while state.held_grants:
            grant = state.held_grants[0]
            if now >= grant.usable_until:
                state.held_grants.pop(0)
                continue
            grant.remaining -= 1
            _count_request(state, now)
            if grant.remaining == 0:
                state.held_grants.pop(0)
                self._settle(grant)
                if grant.settle_at_once:
                    self._queue_urgent_request(workspace, grant.pool)
            return True
        return False

    @_locked
    def add(self, workspace, pool, grant, requested_at, now):
        """Hold a `PoolGrant` requested at `requested_at`, unless it has expired."""
        usable_until = requested_at + self._usable_seconds
        if now < usable_until:
            state = self._state(workspace)
            held = _HeldGrant(
                pool, grant.grant_id, grant.tokens, usable_until, grant.settle_at_once
            )
            state.held_grants.append(held)
            state.last_used_at = now

    @_locked
    def back_off(self, workspace, until):
        """Request no grant for the workspace before `until`."""
        self._state(workspace).backoff_until = until

    @_locked
    def backoff_seconds(self, workspace, now):
        """Return the seconds until a grant may be requested for the workspace."""
        return max(0.0, self._state(workspace).backoff_until - now)

    @_locked
    def request(self, workspace, pool):
        """Return the `GrantRequest` to a pool node, sized by the recent demand."""
        state = self._state(workspace)
        demand = max(state.request_count, state.previous_count)
        wanted = max(1, ceil(demand * REQUESTED_DEMAND_FRACTION))
        return GrantRequest(self._node_id, workspace, wanted, self.pop_settled(pool))

    @_locked
    def pop_settled(self, pool):
        """Return the grants of a pool node settled since the last call."""
        settled = self._settled_by_pool.pop(pool, [])
        return tuple(settled[-MAX_SETTLED_PER_POOL:])

    @_locked
    def pop_urgent_requests(self):
        """Return the new requests that settle grants, as pairs of pool and request."""
        if not self._urgent_requests:
            return ()
        requests, self._urgent_requests = self._urgent_requests, []
        return requests

    @_locked
    def settle_idle(self, now):
        """Settle the grants of workspaces without a request for `IDLE_SECONDS`."""
        for state in self._by_workspace.values():
            if now - state.last_used_at < IDLE_SECONDS:
                continue
            while state.held_grants:
                grant = state.held_grants.pop()
                if now < grant.usable_until:
                    self._settle(grant)

    @_locked
    def retain(self, workspaces):
        """Remove all workspaces except these."""
        for workspace in set(self._by_workspace) - set(workspaces):
            del self._by_workspace[workspace]

    def _queue_urgent_request(self, workspace, pool):
        request = GrantRequest(self._node_id, workspace, 0, self.pop_settled(pool))
        self._urgent_requests.append((pool, request))

    def _settle(self, grant):
        settled = self._settled_by_pool.setdefault(grant.pool, [])
        settled.append((grant.grant_id, grant.remaining))
        del settled[:-MAX_SETTLED_PER_POOL]

    def _state(self, workspace):
        state = self._by_workspace.get(workspace)
        if state is None:
            state = self._by_workspace[workspace] = _WorkspaceState()
        return state


def _count_request(state, now):
    elapsed = now - state.window_start
    if elapsed >= DEMAND_WINDOW_SECONDS:
        state.previous_count = (
            state.request_count if elapsed < 2 * DEMAND_WINDOW_SECONDS else 0
        )
        state.window_start = now
        state.request_count = 0
    state.request_count += 1
    state.last_used_at = now
