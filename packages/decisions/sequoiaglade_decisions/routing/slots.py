"""The endpoints of all targets: configuration, load, health and leaving marks."""

from .endpoints import EndpointState
from .pool import TargetPool
from .tickets import RunOutcome

LEAVING_KEPT_SECONDS = 60.0
BUSY_SECONDS = 0.5
CONFIGURED, LISTED, GOSSIPED, REFUSED = "configured", "listed", "gossiped", "refused"


class Slots:
    """Endpoint states by id and pools by target, kept in step.

    Events return the targets whose free slots or endpoints may have changed.
    """

    def __init__(self, domain, random):
        self.pool_by_target = {}
        self.state_by_id = {}
        self._domain = domain
        self._random = random
        self._timed = set()
        self._refused_at = {}
        self._ids_by_source = {}
        self._retired = {}

    def pool(self, target):
        """Return the pool of a target, made if there is none."""
        pool = self.pool_by_target.get(target)
        if pool is None:
            pool = TargetPool(target, self._domain, self._random)
            self.pool_by_target[target] = pool
        return pool

    def refresh(self, state, now):
        """Count an endpoint's free slots anew."""
        if self.state_by_id.get(state.endpoint_id) is state:
            self.pool(state.target).refresh(state, now)

    def configure(self, snapshot, now):
        """Take over the endpoints of a configuration snapshot."""
        known = self._retired | self.state_by_id
        self.state_by_id = {}
        states_by_target = {}
        for endpoint_id, endpoint in snapshot.document.endpoints.items():
            target = endpoint.model or endpoint.service
            state = known.pop(endpoint_id, None) or EndpointState(endpoint_id)
            state.target = target
            state.slots = endpoint.slots
            state.domain = endpoint.failure_domain
            _mark(state, CONFIGURED, endpoint.leaving)
            for source, leaving_ids in self._ids_by_source.items():
                _mark(state, source, endpoint_id in leaving_ids)
            self.state_by_id[endpoint_id] = state
            states_by_target.setdefault(target, []).append(state)
        self._retired = {name: state for name, state in known.items() if state.own}
        targets = set(states_by_target) | set(self.pool_by_target)
        for pool in self.pool_by_target.values():
            pool.close()
        for target in sorted(targets):
            self.pool(target).replace(states_by_target.get(target, ()), now)
        self._timed.intersection_update(self.state_by_id)
        for endpoint_id in set(self._refused_at) - set(self.state_by_id):
            del self._refused_at[endpoint_id]
        return targets

    def observe_peers(self, counts_by_endpoint, now):
        """Take over the pairs of online and batch tickets of other nodes."""
        for endpoint_id, state in self.state_by_id.items():
            online, state.peer_batch = counts_by_endpoint.get(endpoint_id, (0, 0))
            state.peer_count = online + state.peer_batch
        for pool in self.pool_by_target.values():
            pool.estimate_others(now)
        return set(self.pool_by_target)

    def observe_paying_batch(self, targets):
        """Take over where paying batch waits at peers; return the changed targets."""
        changed = set()
        for name, pool in self.pool_by_target.items():
            if pool.is_paying_awaited != (name in targets):
                pool.is_paying_awaited = name in targets
                changed.add(name)
        return changed

    def forget_yielded(self, counts_by_endpoint, now):
        """Take off what peers have just yielded, before their gossip tells of it."""
        for endpoint_id, count in counts_by_endpoint.items():
            state = self.state_by_id.get(endpoint_id)
            if state is None:
                continue
            state.peer_count = max(0, state.peer_count - count)
            state.peer_batch = max(0, state.peer_batch - count)
            state.reported_others = max(0, state.reported_others - count)
            state.others = max(0.0, state.others - count)
            pool = self.pool(state.target)
            pool.others_total = max(0, pool.others_total - count)
            self.refresh(state, now)

    def note_promised(self, counts_by_endpoint, now):
        """Count slots yielded to a peer as its own, before its gossip tells of it."""
        for endpoint_id, count in counts_by_endpoint.items():
            state = self.state_by_id.get(endpoint_id)
            if state is not None:
                state.peer_count += count
                state.others += count
                self.pool(state.target).others_total += count
                self.refresh(state, now)

    def observe_report(self, endpoint_id, total, now):
        """Take over an endpoint's lagged report of the requests that it holds."""
        state = self.state_by_id.get(endpoint_id)
        if state is None:
            return set()
        state.report(total, now)
        self._timed.add(endpoint_id)
        self.pool(state.target).estimate_others_of(state, now)
        return {state.target}

    def set_leaving(self, endpoint_ids, source, now):
        """Replace the leaving marks of a source such as ``LISTED``."""
        self._ids_by_source[source] = frozenset(endpoint_ids)
        targets = set()
        for endpoint_id, state in self.state_by_id.items():
            if _mark(state, source, endpoint_id in endpoint_ids):
                self.refresh(state, now)
                targets.add(state.target)
        return targets

    def mark_refused(self, endpoint_ids, now):
        """Note that endpoints said themselves that they are leaving."""
        targets = set()
        for endpoint_id in endpoint_ids:
            state = self.state_by_id.get(endpoint_id)
            if state is None:
                continue
            self._refused_at[endpoint_id] = now
            self._timed.add(endpoint_id)
            if _mark(state, REFUSED, True):
                self.refresh(state, now)
                targets.add(state.target)
        return targets

    def refused_ids(self):
        """Return the endpoints that told this node that they are leaving."""
        return frozenset(self._refused_at)

    def note_outcome(self, state, outcome, now):
        """Take over what a run tells of its endpoint's health."""
        if state.health.note(outcome, now, self._random.random()):
            self._timed.add(state.endpoint_id)
        state.health.grow(state.slots)
        if outcome is RunOutcome.REFUSED:
            state.busy_until = now + BUSY_SECONDS
            self._timed.add(state.endpoint_id)
        self.refresh(state, now)

    def readmit(self, state, now):
        """End the ejection of an endpoint."""
        if state.health.cap == 0:
            state.health.ejected_until = now
            state.health.readmit(now)
            self.refresh(state, now)

    def hold(self, state, until, now):
        """Grant no slot of the endpoint until the time `until`."""
        state.held_until = until
        self._timed.add(state.endpoint_id)
        self.refresh(state, now)

    def expire(self, now):
        """Let ejections, holds, marks and old reports run out."""
        targets = set()
        for endpoint_id in sorted(self._timed):
            state = self.state_by_id.get(endpoint_id)
            if state is None:
                self._timed.discard(endpoint_id)
                continue
            state.health.readmit(now)
            state.forget_old_report(now)
            refused_at = self._refused_at.get(endpoint_id)
            if refused_at is not None and now - refused_at > LEAVING_KEPT_SECONDS:
                del self._refused_at[endpoint_id]
                _mark(state, REFUSED, False)
            self.refresh(state, now)
            targets.add(state.target)
            if endpoint_id not in self._refused_at and not state.is_timed(now):
                self._timed.discard(endpoint_id)
        return targets


def _mark(state, source, is_leaving):
    if is_leaving == (source in state.leaving_sources):
        return False
    if is_leaving:
        state.leaving_sources.add(source)
    else:
        state.leaving_sources.discard(source)
    return True
