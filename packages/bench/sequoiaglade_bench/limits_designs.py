"""Nodes of a fake fleet: the design, and the two baselines beside it."""

from sequoiaglade_decisions.limits import (
    LimitsMachine,
    Reserve,
    TokenBucket,
    group_of,
    make_holder,
)

from .limits_fakes import ASK_SECONDS, CALL_SECONDS

TICK_SECONDS = 0.25
READ_SECONDS = 2.0
CLOSED_SECONDS = 0.25


class FakeNode:
    """What all designs share: a clock that drifts, and whether the node runs."""

    def __init__(self, fleet, node_id, start):
        self.fleet = fleet
        self.node_id = node_id
        self.alive = True
        self.frozen = False
        self.waiting = []
        self.start = start
        self._offset = fleet.random.uniform(0, 1000)
        self._pace = 1 + fleet.random.uniform(-0.0009, 0.0009)

    @property
    def now(self):
        """Time on the node's own clock, in seconds."""
        return self._offset + self.fleet.events.now * self._pace

    def configure(self, limit_by_workspace):
        """Take over the limits."""

    def every(self, seconds, function):
        """Call `function` at a steady pace while the node runs."""

        def again():
            if not self.alive:
                return
            if not self.frozen:
                function()
            self.fleet.events.after(seconds, again)

        self.fleet.events.after(self.fleet.random.uniform(0, seconds), again)


class PooledNode(FakeNode):
    """The design: ceded slots, pools and grants."""

    def __init__(self, fleet, node_id, start):
        super().__init__(fleet, node_id, start)
        self.timing = fleet.timing
        holder = make_holder(node_id, node_id, node_id, node_id, start)
        self.machine = LimitsMachine(holder, fleet.timing)
        self.reserve = Reserve(node_id, fleet.timing.grant_seconds)
        self.polls_sent = self.polls_answered = 0
        self.configure(fleet.limit_by_workspace)
        self._read()
        self.every(TICK_SECONDS, self._tick)
        self.every(READ_SECONDS, self._read)

    def configure(self, limit_by_workspace):
        """Take over the limits."""
        self.machine.configure(limit_by_workspace, self.now)

    def admit(self, workspace, settle):
        """Decide a request; call `settle` with whether it is admitted."""
        if self._take(workspace):
            settle(True)
            return
        if self.reserve.backoff_seconds(workspace, self.now):
            settle(False)
            return
        pool = self.machine.pool_by_group(self.now)[group_of(workspace)]
        self._ask_pool(workspace, pool, settle)

    def _ask_pool(self, workspace, pool, settle, may_follow=True):
        request = self.reserve.request(workspace, pool)
        asked_at = self.now

        def answered(grant):
            if may_follow and grant.pool not in ("", self.node_id):
                self.machine.pool_named(workspace, grant)
                self._ask_pool(workspace, grant.pool, settle, may_follow=False)
            else:
                settle(self._use(workspace, pool, grant, asked_at))

        def failed():
            self.machine.ask_failed(pool, self.now)
            self.reserve.back_off(workspace, self.now + CLOSED_SECONDS)
            settle(False)

        self._ask(pool, request, answered, failed)

    def _use(self, workspace, pool, grant, asked_at):
        if not grant.tokens:
            wait = min(CLOSED_SECONDS, grant.retry_after)
            self.reserve.back_off(workspace, self.now + wait)
            return self._take(workspace)
        self.reserve.add(workspace, pool, grant, asked_at, self.now)
        return self._take(workspace)

    def _take(self, workspace):
        taken = self.reserve.consume(workspace, self.now)
        for pool, request in self.reserve.pop_urgent_requests():
            self._ask(pool, request, lambda grant: None, lambda: None)
        return taken

    def _ask(self, pool, request, answered, failed):
        if pool == self.node_id:
            answered(self.machine.grant(request, self.now))
            return
        self.fleet.asks += 1
        self.fleet.network.call(
            self,
            pool,
            lambda node: node.machine.grant(request, node.now),
            answered,
            failed,
            ASK_SECONDS,
        )

    def _tick(self):
        self.reserve.settle_idle(self.now)
        for node_id, poll in self.machine.tick(self.now):
            self._poll(node_id, poll)

    def _poll(self, node_id, poll):
        self.fleet.polls += 1
        self.polls_sent += 1
        self.fleet.network.call(
            self,
            node_id,
            lambda node: node.answer(poll),
            lambda cession: self.machine.take_cession(cession, self.now),
            lambda: self.machine.poll_failed(node_id, self.now),
            CALL_SECONDS,
        )

    def leave(self):
        """Begin a planned stop."""
        self.machine.leave(self.now)
        self._read()

    def answer(self, poll):
        """Answer a peer's poll."""
        self.polls_answered += 1
        settled = self.reserve.pop_settled(poll.sender)
        return self.machine.answer_poll(poll, settled, self.now)

    def _read(self):
        platform = self.fleet.platform
        found = platform.read(self.node_id)
        if found is None:
            return
        started_at = self.now
        allotment, version, listed_ids = found
        planned = self.machine.plan_allotment(allotment, version, listed_ids, self.now)
        if planned is not None:
            delay = self.fleet.random.uniform(0.001, 0.05)
            arguments = (planned, version, started_at)
            self.fleet.events.after(delay, self._write, *arguments)

    def _write(self, planned, version, started_at):
        if self.frozen:
            self.waiting.append(lambda: self._write(planned, version, started_at))
            return
        written = self.alive and self.fleet.platform.write(
            self.node_id, planned, version
        )
        if written:
            self.machine.allotment_written(planned, written, started_at, self.now)


class SplitNode(FakeNode):
    """Baseline: each node has an even, fixed part of the rate and of the burst."""

    def __init__(self, fleet, node_id, start):
        super().__init__(fleet, node_id, start)
        count = fleet.node_count
        self._bucket_by_workspace = {
            name: TokenBucket(
                limit.rate / count, max(1, limit.burst // count), self.now
            )
            for name, limit in fleet.limit_by_workspace.items()
        }

    def admit(self, workspace, settle):
        """Decide a request; call `settle` with whether it is admitted."""
        settle(self._bucket_by_workspace[workspace].take(1.0, self.now))


class CounterNode(FakeNode):
    """Baseline: the first node counts for all, and every request asks it."""

    def __init__(self, fleet, node_id, start):
        super().__init__(fleet, node_id, start)
        self._bucket_by_workspace = {
            name: TokenBucket(limit.rate, limit.burst, self.now)
            for name, limit in fleet.limit_by_workspace.items()
        }

    def admit(self, workspace, settle):
        """Decide a request; call `settle` with whether it is admitted."""
        if self.node_id == self.fleet.first_node_id:
            settle(self.take(workspace))
            return
        self.fleet.asks += 1
        self.fleet.network.call(
            self,
            self.fleet.first_node_id,
            lambda node: node.take(workspace),
            settle,
            lambda: settle(False),
            ASK_SECONDS,
        )

    def take(self, workspace):
        """Take one from the only bucket of the workspace."""
        return self._bucket_by_workspace[workspace].take(1.0, self.now)
