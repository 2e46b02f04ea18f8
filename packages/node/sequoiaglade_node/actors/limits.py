"""Owns the limits machine."""

import time

import pykka
import structlog

SETTLE_SECONDS = 1.0
ASK_LOG_SPACING_SECONDS = 1.0


def boot_seconds():
    """Return monotonic seconds that include the time the host was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LimitsView:
    """State that requests read without calling the actor.

    Values are replaced as a whole and never modified. `limited` are the workspaces with
    a limit, `pool_by_group` the pool node of each group, and `peer_by_id` the addresses
    of the other nodes. `is_ready` is true once this node has owned a share, or known
    another pool node, for `SETTLE_SECONDS`.
    """

    def __init__(self):
        self.limited = frozenset()
        self.pool_by_group = ()
        self.peer_by_id = {}
        self.is_ready = False

    def pool_addresses(self):
        """Return the addresses of the other current pool nodes."""
        pools = set(self.pool_by_group)
        return [peer for node_id, peer in self.peer_by_id.items() if node_id in pools]


class LimitsActor(pykka.ThreadingActor):
    """Serializes the events of the limits machine and publishes its view."""

    def __init__(self, machine, reserve, view):
        super().__init__()
        self._machine = machine
        self._reserve = reserve
        self._view = view
        self._log = structlog.get_logger()
        self._owned = True
        self._settled_at = None
        self._ask_logged_at = float("-inf")

    def configure(self, snapshot):
        """Apply the rates of a snapshot."""
        rates = snapshot.document.rates
        self._machine.configure(rates, boot_seconds())
        self._reserve.retain(rates)
        self._view.limited = frozenset(rates)
        self._publish()

    def tick(self):
        """Advance to the current time; return pairs of node id and `Poll` to send."""
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
        """Record the answer to a poll."""
        self._machine.take_cession(cession, boot_seconds())

    def poll_failed(self, node_id):
        """Record that a poll was not answered in time."""
        self._machine.poll_failed(node_id, boot_seconds())

    def grant(self, request):
        """Return the `PoolGrant` for a `GrantRequest`."""
        return self._machine.grant(request, boot_seconds())

    def pool_named(self, workspace, grant):
        """Record the pool node that a `PoolGrant` names."""
        self._machine.pool_named(workspace, grant)
        self._publish()

    def ask_failed(self, pool):
        """Record that a pool node sent no `PoolGrant` in time."""
        now = boot_seconds()
        self._machine.ask_failed(pool, now)
        if now - self._ask_logged_at >= ASK_LOG_SPACING_SECONDS:
            self._ask_logged_at = now
            self._log.warning("pool node sent no grant", pool=pool)
        self._publish()

    def better_entry(self, workspace):
        """Return the address of a node that a refused caller should use, or None."""
        return self._machine.better_entry(workspace, boot_seconds())

    def is_non_holder(self):
        """Return whether this node owns no slots and waits to become a holder."""
        return self._machine.is_non_holder

    def plan_allotment(self, allotment, version, listed_ids):
        """Return the `Allotment` to write, or None."""
        now = boot_seconds()
        return self._machine.plan_allotment(allotment, version, listed_ids, now)

    def allotment_written(self, allotment, version, started_at):
        """Record an allotment that was written."""
        now = boot_seconds()
        self._machine.allotment_written(allotment, version, started_at, now)
        self._publish()

    def leave(self):
        """Begin a planned stop; return the polls that notify the other nodes."""
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
