"""Owns the limits machine."""

import time

import pykka
import structlog

SETTLE_SECONDS = 1.0


def boot_seconds():
    """Return a monotonic time in seconds that goes on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LimitsView:
    """What requests read without asking the actor: replaced whole, never changed.

    `limited` are the workspaces with a limit, `pool_by_group` the nodes to ask, and
    `peer_by_id` the other nodes' addresses. `is_ready` states that this node owns a
    share, or knows another node that pools, for `SETTLE_SECONDS` now.
    """

    def __init__(self):
        self.limited = frozenset()
        self.pool_by_group = ()
        self.peer_by_id = {}
        self.is_ready = False

    def pool_addresses(self):
        """Return the addresses of the other nodes that pool now."""
        pools = set(self.pool_by_group)
        return [peer for node_id, peer in self.peer_by_id.items() if node_id in pools]


class LimitsActor(pykka.ThreadingActor):
    """Serialises the events of the limits machine and publishes its view."""

    def __init__(self, machine, reserve, view):
        super().__init__()
        self._machine = machine
        self._reserve = reserve
        self._view = view
        self._log = structlog.get_logger()
        self._owned = True
        self._settled_at = None

    def configure(self, snapshot):
        """Take over the rates of a snapshot."""
        rates = snapshot.document.rates
        self._machine.configure(rates, boot_seconds())
        self._reserve.retain(rates)
        self._view.limited = frozenset(rates)
        self._publish()

    def tick(self):
        """Let time pass; return the polls to send, as pairs of node id and `Poll`."""
        now = boot_seconds()
        self._reserve.settle_idle(now)
        polls = self._machine.tick(now)
        self._publish()
        self._watch_entitlement(now)
        return polls

    def answer_poll(self, poll):
        """Return the `Cession` that answers a `Poll`."""
        settled = self._reserve.pop_settled(poll.sender)
        return self._machine.answer_poll(poll, settled, boot_seconds())

    def take_cession(self, cession):
        """Take over the answer to a poll."""
        self._machine.take_cession(cession, boot_seconds())

    def poll_failed(self, node_id):
        """Note that a poll had no answer in time."""
        self._machine.poll_failed(node_id, boot_seconds())

    def grant(self, request):
        """Return the `PoolGrant` for a `GrantRequest`."""
        return self._machine.grant(request, boot_seconds())

    def pool_named(self, workspace, grant):
        """Take over the pool that a `PoolGrant` names."""
        self._machine.pool_named(workspace, grant)
        self._publish()

    def ask_failed(self, pool):
        """Note that a pool gave no `PoolGrant` in time."""
        self._machine.ask_failed(pool, boot_seconds())
        self._publish()

    def better_entry(self, workspace):
        """Return the entry that a refused caller had better try, or None."""
        return self._machine.better_entry(workspace, boot_seconds())

    def is_non_holder(self):
        """Return whether this node owns no slots and waits for a place."""
        return self._machine.is_non_holder

    def plan_allotment(self, allotment, version, listed_ids):
        """Return the `Allotment` to write, or None."""
        now = boot_seconds()
        return self._machine.plan_allotment(allotment, version, listed_ids, now)

    def allotment_written(self, allotment, version, started_at):
        """Take over an allotment that was written."""
        now = boot_seconds()
        self._machine.allotment_written(allotment, version, started_at, now)
        self._publish()

    def leave(self):
        """Begin a planned stop; return the polls that tell the other nodes."""
        now = boot_seconds()
        self._machine.leave(now)
        return self._machine.tick(now)

    def _publish(self):
        now = boot_seconds()
        self._view.pool_by_group = self._machine.pool_by_group(now)
        self._view.peer_by_id = self._machine.peer_by_id()
        if self._settled_at is None and self._machine.is_ready(now):
            self._settled_at = now + SETTLE_SECONDS
        self._view.is_ready = self._settled_at is not None and now >= self._settled_at

    def _watch_entitlement(self, now):
        owned = self._machine.entitlement.slots(now) > 0
        if owned != self._owned:
            self._owned = owned
            text = "share of limits held" if owned else "no share of limits held"
            self._log.warning(text)
