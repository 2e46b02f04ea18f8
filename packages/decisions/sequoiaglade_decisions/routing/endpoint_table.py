"""All endpoints with their configuration, load, health and leaving marks."""

from .endpoints import EndpointState
from .pool import TargetPool
from .tickets import RunOutcome

LEAVING_MARK_SECONDS = 60.0
BUSY_SECONDS = 0.5
CONFIGURED, LISTED, GOSSIPED, REFUSED = "configured", "listed", "gossiped", "refused"


class EndpointTable:
    """Endpoint states by id and pools by target, kept consistent.

    Event methods return the targets whose free slots or endpoints may have changed.
    """

    def __init__(self, domain, random):
        self.pool_by_target = {}
        self.state_by_id = {}
        self._domain = domain
        self._random = random
        self._expiring_ids = set()
        self._refused_at = {}
        self._leaving_ids_by_source = {}
        self._peer_counts_by_endpoint = {}
        self._retired = {}

    def pool(self, target):
        """Return the pool of a target; create it if there is none."""
        pool = self.pool_by_target.get(target)
        if pool is None:
            pool = TargetPool(target, self._domain, self._random)
            self.pool_by_target[target] = pool
        return pool

    def refresh(self, state, now):
        """Update the pool's counts after a change of the endpoint's free slots."""
        if self.state_by_id.get(state.endpoint_id) is state:
            self.pool(state.target).refresh(state, now)

    def configure(self, snapshot, now):
        """Apply the endpoints of a configuration snapshot.

        The state of a removed endpoint is kept while this node has requests there.
        """
        known = self._retired | self.state_by_id
        self.state_by_id = {}
        states_by_target = {}
        for endpoint_id, endpoint in snapshot.document.endpoints.items():
            target = endpoint.model or endpoint.service
            state = known.pop(endpoint_id, None)
            if state is None:
                state = EndpointState(endpoint_id)
                _set_peer_counts(state, self._peer_counts_by_endpoint)
            state.target = target
            state.slots = endpoint.slots
            state.domain = endpoint.failure_domain
            _set_leaving_source(state, CONFIGURED, endpoint.leaving)
            for source, leaving_ids in self._leaving_ids_by_source.items():
                _set_leaving_source(state, source, endpoint_id in leaving_ids)
            self.state_by_id[endpoint_id] = state
            states_by_target.setdefault(target, []).append(state)
        self._retired = {
            name: state for name, state in known.items() if state.own_in_flight
        }
        targets = set(states_by_target) | set(self.pool_by_target)
        for pool in self.pool_by_target.values():
            pool.clear_available()
        for target in sorted(targets):
            self.pool(target).set_endpoints(states_by_target.get(target, ()), now)
        for target in targets:
            self.pool(target).estimate_others(now)
        self._expiring_ids.intersection_update(self.state_by_id)
        for endpoint_id in set(self._refused_at) - set(self.state_by_id):
            del self._refused_at[endpoint_id]
        return targets

    def observe_peers(self, counts_by_endpoint, now):
        """Apply the (online, batch) counts of other nodes by endpoint id.

        Those of endpoints that are not configured yet count once they are.
        """
        self._peer_counts_by_endpoint = counts_by_endpoint
        for state in self.state_by_id.values():
            _set_peer_counts(state, counts_by_endpoint)
        for pool in self.pool_by_target.values():
            pool.estimate_others(now)
        return set(self.pool_by_target)

    def observe_paying_batch(self, targets):
        """Apply the targets with waiting paying batch at peers; return the changed."""
        changed = set()
        for name, pool in self.pool_by_target.items():
            if pool.has_paying_batch_at_peers != (name in targets):
                pool.has_paying_batch_at_peers = name in targets
                changed.add(name)
        return changed

    def subtract_yielded_by_peers(self, counts_by_endpoint, now):
        """Subtract slots that peers have just yielded, ahead of their next gossip."""
        for endpoint_id, count in counts_by_endpoint.items():
            state = self.state_by_id.get(endpoint_id)
            if state is None:
                continue
            state.peer_count = max(0, state.peer_count - count)
            state.peer_batch = max(0, state.peer_batch - count)
            state.reported_others = max(0, state.reported_others - count)
            state.estimated_others = max(0.0, state.estimated_others - count)
            pool = self.pool(state.target)
            pool.others_total = max(0, pool.others_total - count)
            self.refresh(state, now)

    def add_yielded_to_peer(self, counts_by_endpoint, now):
        """Count slots yielded to a peer as used by it, ahead of its next gossip."""
        for endpoint_id, count in counts_by_endpoint.items():
            state = self.state_by_id.get(endpoint_id)
            if state is not None:
                state.peer_count += count
                state.estimated_others += count
                self.pool(state.target).others_total += count
                self.refresh(state, now)

    def observe_report(self, endpoint_id, total, now):
        """Apply an endpoint's lagged report of its requests in flight."""
        state = self.state_by_id.get(endpoint_id)
        if state is None:
            return set()
        state.apply_report(total, now)
        self._expiring_ids.add(endpoint_id)
        self.pool(state.target).estimate_others_of(state, now)
        return {state.target}

    def set_leaving(self, endpoint_ids, source, now):
        """Set the endpoints that a source, such as ``LISTED``, marks as leaving."""
        self._leaving_ids_by_source[source] = frozenset(endpoint_ids)
        targets = set()
        for endpoint_id, state in self.state_by_id.items():
            if _set_leaving_source(state, source, endpoint_id in endpoint_ids):
                self.refresh(state, now)
                targets.add(state.target)
        return targets

    def mark_refused(self, endpoint_ids, now):
        """Mark endpoints that refused a request because they are leaving."""
        targets = set()
        for endpoint_id in endpoint_ids:
            state = self.state_by_id.get(endpoint_id)
            if state is None:
                continue
            self._refused_at[endpoint_id] = now
            self._expiring_ids.add(endpoint_id)
            if _set_leaving_source(state, REFUSED, True):
                self.refresh(state, now)
                targets.add(state.target)
        return targets

    def refused_ids(self):
        """Return the ids of endpoints that refused requests because they leave."""
        return frozenset(self._refused_at)

    def note_outcome(self, state, outcome, now):
        """Update an endpoint's health by the outcome of a run."""
        if state.health.record_outcome(outcome, now, self._random.random()):
            self._expiring_ids.add(state.endpoint_id)
        state.health.lift_cap(state.slots)
        if outcome is RunOutcome.REFUSED:
            state.busy_until = now + BUSY_SECONDS
            self._expiring_ids.add(state.endpoint_id)
        self.refresh(state, now)

    def readmit(self, state, now):
        """End the ejection of an endpoint early."""
        if state.health.cap == 0:
            state.health.ejected_until = now
            state.health.readmit(now)
            self.refresh(state, now)

    def hold(self, state, until, now):
        """Grant no slots of the endpoint before the time `until`."""
        state.held_until = until
        self._expiring_ids.add(state.endpoint_id)
        self.refresh(state, now)

    def expire(self, now):
        """End elapsed ejections, holds and leaving marks, and drop old reports."""
        targets = set()
        for endpoint_id in sorted(self._expiring_ids):
            state = self.state_by_id.get(endpoint_id)
            if state is None:
                self._expiring_ids.discard(endpoint_id)
                continue
            state.health.readmit(now)
            state.forget_old_report(now)
            refused_at = self._refused_at.get(endpoint_id)
            if refused_at is not None and now - refused_at > LEAVING_MARK_SECONDS:
                del self._refused_at[endpoint_id]
                _set_leaving_source(state, REFUSED, False)
            self.refresh(state, now)
            targets.add(state.target)
            if endpoint_id not in self._refused_at and not state.has_expiry(now):
                self._expiring_ids.discard(endpoint_id)
        return targets


def _set_peer_counts(state, counts_by_endpoint):
    online, state.peer_batch = counts_by_endpoint.get(state.endpoint_id, (0, 0))
    state.peer_count = online + state.peer_batch


def _set_leaving_source(state, source, is_leaving):
    if is_leaving == (source in state.leaving_sources):
        return False
    if is_leaving:
        state.leaving_sources.add(source)
    else:
        state.leaving_sources.discard(source)
    return True
