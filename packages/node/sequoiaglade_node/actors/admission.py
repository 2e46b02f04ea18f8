"""Admission of requests by the limits of their workspaces."""

import random
import time

import pykka

from sequoiaglade_decisions.limits import Admitted, AskPatience, group_of
from sequoiaglade_decisions.outcomes import Refusal, RefusalCode

from .limits import boot_seconds

ENTRY_TIMEOUT_SECONDS = 0.15
MAX_BACKOFF_SECONDS = 0.25
MAX_TOKEN_WAIT_SECONDS = 0.05
MIN_RETRY_SECONDS = 0.001
UNREACHABLE_POOL_RETRY_SECONDS = 1.0
MAX_CONSUME_SECONDS = 0.05


class Admission:
    """Admits or refuses requests, using the grants in the reserve first.

    A request waits for a pool node only when the reserve has no grant, for as long as
    `AskPatience` tells, and once more if the asked node names another pool node.
    """

    def __init__(self, node_id, actor, reserve, view, peers):
        self._node_id = node_id
        self._actor = actor
        self._reserve = reserve
        self._view = view
        self._peers = peers
        self._patience = AskPatience()
        self._random = random.Random()

    def admit(self, workspace):
        """Return `Admitted`, or a `Refusal` with the time to retry after.

        If the next token is due within `MAX_TOKEN_WAIT_SECONDS`, the request waits
        once for at most that time instead of being refused for a few milliseconds.
        Waits are random, so that requests that wait together are spread over that time.
        """
        if workspace not in self._view.limited or self._consume(workspace):
            return Admitted(workspace)
        wait = self._acquire(workspace)
        if wait and wait <= MAX_TOKEN_WAIT_SECONDS:
            time.sleep(self._random.uniform(wait, MAX_TOKEN_WAIT_SECONDS))
            wait = 0.0 if self._consume(workspace) else self._acquire(workspace)
        return self._refuse(workspace, wait) if wait else Admitted(workspace)

    def _acquire(self, workspace):
        """Request a grant and consume a token; return 0, or the seconds to wait."""
        closed = self._reserve.backoff_seconds(workspace, boot_seconds())
        if closed:
            return closed
        wait = self._ask(workspace)
        if self._consume(workspace):
            return 0.0
        return max(wait, MIN_RETRY_SECONDS)

    def is_ready(self):
        """Return whether limited requests can be admitted, here or by a pool node."""
        return self._view.is_ready

    def _consume(self, workspace):
        now = boot_seconds()
        taken = self._reserve.consume(workspace, now)
        for pool, request in self._reserve.pop_urgent_requests():
            self._settle(pool, request)
        return taken and boot_seconds() - now < MAX_CONSUME_SECONDS

    def _ask(self, workspace):
        """Add a grant to the reserve; return 0, or the seconds to wait without one."""
        pool = self._pool_of(workspace)
        grant = self._ask_pool(workspace, pool)
        if grant is not None and grant.pool and grant.pool != self._node_id:
            self._actor.pool_named(workspace, grant)
            grant = self._ask_pool(workspace, grant.pool, grant.pool_peer)
        if grant is not None and grant.tokens:
            return 0.0
        wait = UNREACHABLE_POOL_RETRY_SECONDS if grant is None else grant.retry_after
        self._reserve.back_off(
            workspace, boot_seconds() + min(MAX_BACKOFF_SECONDS, wait)
        )
        return wait

    def _ask_pool(self, workspace, pool, peer=None):
        """Add the `PoolGrant` of a pool node to the reserve; return it, or None."""
        request = self._reserve.request(workspace, pool)
        asked_at = boot_seconds()
        grant = self._grant(pool, request, peer)
        if grant is None:
            self._patience.note_unanswered(pool)
            self._actor.ask_failed(pool)
            return None
        self._patience.note_answered(pool)
        if grant.tokens:
            self._reserve.add(workspace, pool, grant, asked_at, boot_seconds())
        return grant

    def _pool_of(self, workspace):
        pools = self._view.pool_by_group
        return pools[group_of(workspace)] if pools else self._node_id

    def _grant(self, pool, request, peer=None):
        seconds = self._patience.seconds(pool)
        if pool == self._node_id:
            try:
                return self._actor.grant(request).get(timeout=seconds)
            except pykka.Timeout:
                return None
        address = peer or self._view.peer_by_id.get(pool)
        if address is None:
            return None
        return self._peers.ask(address, request, seconds)

    def _settle(self, pool, request):
        if pool == self._node_id:
            self._actor.grant(request)
            return
        address = self._view.peer_by_id.get(pool)
        if address is not None:
            self._peers.tell(address, request)

    def _refuse(self, workspace, wait):
        entry = None
        if self._pool_of(workspace) == self._node_id:
            entry = self._better_entry(workspace)
        reason = f"the rate of workspace {workspace} is used up"
        return Refusal(RefusalCode.RATE_LIMITED, reason, wait, entry=entry)

    def _better_entry(self, workspace):
        try:
            return self._actor.better_entry(workspace).get(
                timeout=ENTRY_TIMEOUT_SECONDS
            )
        except pykka.Timeout:
            return None
