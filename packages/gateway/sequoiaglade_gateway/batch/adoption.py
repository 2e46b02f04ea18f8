"""Takeover of stored jobs that no node holds."""

import queue
import threading
import time

import structlog

from sequoiaglade_decisions.gateway import (
    IsolationGuard,
    OrphanedJobs,
    ResultPages,
    job_holder,
)
from sequoiaglade_decisions.outcomes import Failure
from sequoiaglade_node.threads import OwnedThread

from ..messages import LiveNodes, PossibleHolders
from ..regions import JobHomes
from .registry import HeldJob

# A node and its peers exchange their first states within this time of its start.
PEER_DISCOVERY_SECONDS = 1.0
# Interval at which the node with the lowest id checks all jobs. This finds jobs whose
# holder stopped right after it accepted them.
SWEEP_INTERVAL_SECONDS = 2.0
# In a large fleet, a holder whose state is older than this may be lost. The states of
# most nodes are younger, and likely holders are asked before a takeover.
HOLDER_STATE_AGE_MAX_SECONDS = 3.0
# Pause after a failed store operation.
RETRY_SECONDS = 0.5
# Pause before jobs that were noted as unheld are checked again.
NOTED_RECHECK_SECONDS = 0.7


class JobAdopter(OwnedThread):
    """One thread that takes over jobs without a holder; a context manager."""

    def __init__(self, parts, registry, storage, clock=time.monotonic):
        super().__init__("adoption")
        self._parts = parts
        self._registry = registry
        self._storage = storage
        self._clock = clock
        self._wakeup = threading.Event()
        self._noted_keys = queue.SimpleQueue()
        self._orphans = OrphanedJobs(parts.settings.node_id)
        self._isolation = IsolationGuard()
        self._homes = JobHomes(parts)
        self._log = structlog.get_logger()
        self.ended_keys = set()
        self.is_leaving = False

    def wake(self):
        """Check soon for jobs without a holder, since a node left or was lost."""
        self._wakeup.set()

    def note_unheld(self, key):
        """Take over a stored job, unless a peer soon reports that it holds the job."""
        self._noted_keys.put(key)
        self._wakeup.set()

    def note_end(self, key):
        """Record that a job was ended."""
        self.ended_keys.add(key)

    def _interrupt(self):
        self._wakeup.set()

    def _run(self):
        self._stopped.wait(PEER_DISCOVERY_SECONDS)
        is_due = True
        while not self._stopped.is_set():
            if self._parts.peers.seconds_since_resume() < PEER_DISCOVERY_SECONDS:
                # After a suspension all peers seem lost until their states arrive.
                self._stopped.wait(PEER_DISCOVERY_SECONDS)
            if is_due and not self.is_leaving:
                is_due = not self.adopt_orphans()
            if is_due:
                self._stopped.wait(RETRY_SECONDS)
                continue
            if self._orphans.has_noted:
                is_due = not self._stopped.wait(NOTED_RECHECK_SECONDS)
                continue
            is_due = self._wakeup.wait(SWEEP_INTERVAL_SECONDS) or self.is_sweeper()
            self._wakeup.clear()

    def is_sweeper(self):
        """Return whether this node is one that looks for unheld jobs all the time."""
        peers = [s for s in self._live_peers() if not s.is_leaving]
        if self._is_lowest(peers):
            return True
        # Jobs with homes are taken over there.
        local = self._homes.peers_in_region(peers) if self._homes.has_homes else None
        return local is not None and self._is_lowest(local)

    def _is_lowest(self, peers):
        return all(self._parts.settings.node_id < state.node_id for state in peers)

    def _live_peers(self):
        return self._parts.coordinator.ask(LiveNodes())

    def adopt_orphans(self):
        """Adopt the jobs chosen for this node; return False to try again soon."""
        if self._parts.store_cache.configuration is None:
            if self._parts.settings.region_by_failure_domain:
                self._log.info("no jobs adopted before the configuration is known")
                return False
        peers = self._parts.coordinator.ask(PossibleHolders())
        lost_seconds = peers.lost_seconds_by_id.values()
        live_count = len(peers.known_ids) - len(lost_seconds)
        if not self._isolation.may_adopt(live_count, lost_seconds, self._clock()):
            self._log.info(
                "no jobs adopted while isolated",
                live=live_count,
                lost=sorted(peers.lost_seconds_by_id),
            )
            return False
        while not self._noted_keys.empty():
            self._orphans.note_unheld(self._noted_keys.get(), self._clock())
        began_at = self._registry.clock()
        headers = self._storage.list_headers()
        if isinstance(headers, Failure):
            self._log.info("jobs not listed", reason=headers.reason)
            return False
        self._parts.batch.note_headers(headers, began_at)
        recent_states = self._parts.coordinator.ask(
            LiveNodes(HOLDER_STATE_AGE_MAX_SECONDS)
        )
        own_id = self._parts.settings.node_id
        keys_by_node = {s.node_id: _job_keys(s) for s in recent_states}
        keys_by_node[own_id] = {job.key for job in self._registry.jobs()}
        ids = sorted([own_id, *(s.node_id for s in recent_states if not s.is_leaving)])
        header_by_key = {
            header.spec.key: header
            for header in headers
            if not header.is_finished and header.spec.key not in self.ended_keys
        }
        accepted_by_key = {k: h.spec.accepted_by for k, h in header_by_key.items()}
        domain_by_id = {s.node_id: s.failure_domain for s in recent_states}
        domain_by_id[own_id] = self._parts.settings.failure_domain
        candidates_by_key = self._homes.candidates_by_key(
            [header.spec for header in header_by_key.values()],
            {node_id: domain_by_id[node_id] for node_id in ids},
        )
        self._log_stored(candidates_by_key, header_by_key, keys_by_node)
        chosen = self._orphans.choose(
            accepted_by_key, keys_by_node, ids, self._clock(), candidates_by_key
        )
        specs = [header_by_key[key].spec for key in chosen]
        held = self._confirmed_by_peers(specs, ids, candidates_by_key)
        return all([self.adopt(header_by_key[k]) for k in chosen if k not in held])

    def _log_stored(self, candidates_by_key, header_by_key, keys_by_node):
        held = set().union(*keys_by_node.values())
        for key, candidates in candidates_by_key.items():
            if not candidates and key not in held:
                regions = self._homes.regions_of(header_by_key[key].spec)
                self._homes.log_waiting(key, regions, "no node in the home regions")

    def _confirmed_by_peers(self, specs, ids, candidates_by_key):
        """Return the keys of the jobs that a likely holder confirms to hold.

        In a large fleet a holder's gossip arrives late, so it is asked directly. A peer
        that does not answer is not asked about further jobs.
        """
        held, unresponsive_ids = set(), set()
        states = [] if not specs else self._live_peers()
        for spec in specs:
            candidates = candidates_by_key.get(spec.key, ids)
            likely_ids = {spec.accepted_by, job_holder(spec.key, None, {}, candidates)}
            for state in states:
                if state.node_id in unresponsive_ids:
                    continue
                if state.node_id not in likely_ids and spec.key not in _job_keys(state):
                    continue
                is_held = self._parts.peers.holds_job(state.peer_address, spec.key)
                if is_held is None:
                    unresponsive_ids.add(state.node_id)
                elif is_held:
                    held.add(spec.key)
                    self._log.info(
                        "job held by a peer", job=spec.key, peer=state.node_id
                    )
        return held

    def adopt(self, header):
        """Load and hold the job of a header; return whether the store answered."""
        spec = self._storage.read_spec(header)
        pages = ResultPages()
        began_at = self._registry.clock()
        failure = spec if isinstance(spec, Failure) else None
        failure = failure or self._storage.read_pages(header.spec.key, pages)
        if failure is not None:
            self._log.info(
                "job not adopted", job=header.spec.key, reason=failure.reason
            )
            return False
        if any(spec.key in _job_keys(state) for state in self._live_peers()):
            # The holder was heard of again while the job was read.
            self._log.info("job held by a peer", job=spec.key)
            return True
        configuration = self._parts.store_cache.configuration
        route = configuration and configuration.match(spec.host, spec.path)
        job = HeldJob(header, spec, route, pages)
        job.validity.note_confirmed(began_at)
        job.validity.note_uncertain(self._registry.clock())
        self._registry.add(job)
        self._log.info(
            "job adopted",
            job=spec.key,
            accepted_by=spec.accepted_by,
            listed=pages.count,
            is_ended=job.batch.is_ended,
            age_seconds=round(time.time() - spec.submitted_at, 3),
        )
        return True


def _job_keys(state):
    return {summary.job_key for summary in state.jobs}
