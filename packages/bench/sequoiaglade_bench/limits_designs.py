"""Nodes of a fake fleet: the design in use and two baselines."""

from sequoiaglade_decisions.limits import (
    LimitsMachine,
    Reserve,
    TokenBucket,
    group_of,
    make_holder,
)

from .limits_fakes import GRANT_TIMEOUT_SECONDS, POLL_TIMEOUT_SECONDS

TICK_INTERVAL_SECONDS = 0.25
READ_INTERVAL_SECONDS = 2.0
BACKOFF_SECONDS = 0.25


class FakeNode:
    """Base of all designs: a drifting clock, and whether the node runs."""

    def __init__(self, fleet, node_id, start):
        self.fleet = fleet
        self.node_id = node_id
        self.alive = True
        self.frozen = False
        self.waiting = []
        self.start = start
        self._offset = fleet.random.uniform(0, 1000)
        self._clock_rate = 1 + fleet.random.uniform(-0.0009, 0.0009)

    @property
    def now(self):
        """Time on the node's clock, in seconds."""
        return self._offset + self.fleet.events.now * self._clock_rate

    def configure(self, limit_by_workspace):
        """Set the limit of each workspace."""

    def every(self, seconds, function):
        """Call `function` every `seconds` while the node runs."""

        def again():
            if not self.alive:
                return
            if not self.frozen:
                function()
            self.fleet.events.after(seconds, again)

        self.fleet.events.after(self.fleet.random.uniform(0, seconds), again)


class PooledNode(FakeNode):
    """The design in use: lenders lease slots to pool nodes, which issue grants."""

    def __init__(self, fleet, node_id, start):
        super().__init__(fleet, node_id, start)
        self.timing = fleet.timing
        holder = make_holder(node_id, node_id, node_id, node_id, start)
        self.machine = LimitsMachine(holder, fleet.timing)
        self.reserve = Reserve(node_id, fleet.timing.grant_seconds)
        self.polls_sent = self.polls_answered = 0
        self.configure(fleet.limit_by_workspace)
        self._read()
        self.every(TICK_INTERVAL_SECONDS, self._tick)
        self.every(READ_INTERVAL_SECONDS, self._read)

    def configure(self, limit_by_workspace):
        """Set the limit of each workspace."""
        self.machine.configure(limit_by_workspace, self.now)

    def admit(self, workspace, settle):
        """Decide a request; call `settle` with whether it is admitted."""
        if self._consume(workspace):
            settle(True)
            return
        if self.reserve.backoff_seconds(workspace, self.now):
            settle(False)
            return
        pool = self.machine.pool_by_group(self.now)[group_of(workspace)]
        self._request_grant(workspace, pool, settle)

    def _request_grant(self, workspace, pool, settle, may_redirect=True):
        request = self.reserve.request(workspace, pool)
        requested_at = self.now

        def on_answer(grant):
            if may_redirect and grant.pool not in ("", self.node_id):
                self.machine.pool_named(workspace, grant)
                self._request_grant(workspace, grant.pool, settle, may_redirect=False)
            else:
                settle(self._use_grant(workspace, pool, grant, requested_at))

        def on_failure():
            self.machine.ask_failed(pool, self.now)
            self.reserve.back_off(workspace, self.now + BACKOFF_SECONDS)
            settle(False)

        self._send_request(pool, request, on_answer, on_failure)

    def _use_grant(self, workspace, pool, grant, requested_at):
        if not grant.tokens:
            wait = min(BACKOFF_SECONDS, grant.retry_after)
            self.reserve.back_off(workspace, self.now + wait)
            return self._consume(workspace)
        self.reserve.add(workspace, pool, grant, requested_at, self.now)
        return self._consume(workspace)

    def _consume(self, workspace):
        is_admitted = self.reserve.consume(workspace, self.now)
        for pool, request in self.reserve.pop_urgent_requests():
            self._send_request(pool, request, lambda grant: None, lambda: None)
        return is_admitted

    def _send_request(self, pool, request, on_answer, on_failure):
        if pool == self.node_id:
            on_answer(self.machine.grant(request, self.now))
            return
        self.fleet.grant_requests += 1
        self.fleet.network.call(
            self,
            pool,
            lambda node: node.machine.grant(request, node.now),
            on_answer,
            on_failure,
            GRANT_TIMEOUT_SECONDS,
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
            POLL_TIMEOUT_SECONDS,
        )

    def leave(self):
        """Start a planned stop."""
        self.machine.leave(self.now)
        self._read()

    def answer(self, poll):
        """Return the answer to a peer's poll."""
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
    """Baseline: each node has an equal, fixed share of the rate and of the burst."""

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
    """Baseline: the first node counts all requests; the others call it for each one."""

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
        self.fleet.grant_requests += 1
        self.fleet.network.call(
            self,
            self.fleet.first_node_id,
            lambda node: node.take(workspace),
            settle,
            lambda: settle(False),
            GRANT_TIMEOUT_SECONDS,
        )

    def take(self, workspace):
        """Take a token from the workspace's bucket on this node."""
        return self._bucket_by_workspace[workspace].take(1.0, self.now)
