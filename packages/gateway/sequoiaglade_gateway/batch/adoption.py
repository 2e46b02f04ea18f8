"""Takes over jobs that no node holds any more."""

import queue
import threading
import time

import structlog

from sequoiaglade_decisions.gateway import OrphanedJobs, ResultPages, job_holder
from sequoiaglade_decisions.outcomes import Failure
from sequoiaglade_node.threads import OwnedThread

from ..messages import LiveNodes
from .board import HeldJob

# A node meets its peers within this time of its start, in seconds.
MEET_SECONDS = 1.0
# Pause between looks at all jobs by the node with the lowest id, in seconds. It finds
# jobs whose holder ended right after it had accepted them.
SWEEP_SECONDS = 2.0
# In a large fleet a holder whose news is older than this may be lost, in seconds: news
# of most nodes is younger, and those that look lost are asked.
FRESH_SECONDS = 3.0
# Pause after the store failed, in seconds.
RETRY_SECONDS = 0.5
# Pause until a job that was found stored is looked for again, in seconds.
EXPECTED_PAUSE_SECONDS = 0.7


class JobAdopter(OwnedThread):
    """One thread that looks for jobs without a holder; a context manager."""

    def __init__(self, parts, board, storage):
        super().__init__("adoption")
        self._parts = parts
        self._board = board
        self._storage = storage
        self._wanted = threading.Event()
        self._found = queue.SimpleQueue()
        self._orphans = OrphanedJobs(parts.settings.node_id)
        self._log = structlog.get_logger()
        self.ended_keys = set()
        self.is_leaving = False

    def wake(self):
        """Look soon for jobs without a holder: a node left or was lost."""
        self._wanted.set()

    def expect(self, key):
        """Take over a job that is stored, unless a holder tells of it soon."""
        self._found.put(key)
        self._wanted.set()

    def note_end(self, key):
        """Take note that a job has ended."""
        self.ended_keys.add(key)

    def _interrupt(self):
        self._wanted.set()

    def _run(self):
        self._stopped.wait(MEET_SECONDS)
        is_due = True
        while not self._stopped.is_set():
            if self._parts.peers.seconds_since_resume() < MEET_SECONDS:
                # After a freeze all peers look lost until they are heard again.
                self._stopped.wait(MEET_SECONDS)
            if is_due and not self.is_leaving:
                is_due = not self._adopt_orphans()
            if is_due:
                self._stopped.wait(RETRY_SECONDS)
                continue
            if self._orphans.has_noted:
                is_due = not self._stopped.wait(EXPECTED_PAUSE_SECONDS)
                continue
            is_due = self._wanted.wait(SWEEP_SECONDS) or self._is_sweeper()
            self._wanted.clear()

    def _is_sweeper(self):
        ids = [s.node_id for s in self._live() if not s.is_leaving]
        return all(self._parts.settings.node_id < node_id for node_id in ids)

    def _live(self):
        return self._parts.coordinator.ask(LiveNodes())

    def _adopt_orphans(self):
        """Adopt what falls to this node; return whether the store answered."""
        while not self._found.empty():
            self._orphans.note_unheld(self._found.get(), time.monotonic())
        headers = self._storage.list_headers()
        if isinstance(headers, Failure):
            self._log.info("jobs not listed", reason=headers.reason)
            return False
        fresh = self._parts.coordinator.ask(LiveNodes(FRESH_SECONDS))
        own_id = self._parts.settings.node_id
        keys_by_node = {s.node_id: _keys(s) for s in fresh}
        keys_by_node[own_id] = {job.key for job in self._board.jobs()}
        ids = sorted([own_id, *(s.node_id for s in fresh if not s.is_leaving)])
        header_by_key = {
            header.spec.key: header
            for header in headers
            if not header.is_finished and header.spec.key not in self.ended_keys
        }
        accepted_by_key = {k: h.spec.accepted_by for k, h in header_by_key.items()}
        chosen = self._orphans.choose(
            accepted_by_key, keys_by_node, ids, time.monotonic()
        )
        held = self._held_by_peers([header_by_key[key].spec for key in chosen], ids)
        return all([self.adopt(header_by_key[k]) for k in chosen if k not in held])

    def _held_by_peers(self, specs, ids):
        """Return the keys of jobs that a likely holder says it holds.

        In a large fleet the news of a holder is late; one that gives no answer is not
        asked for the next job.
        """
        held, silent_ids = set(), set()
        states = [] if not specs else self._live()
        for spec in specs:
            likely = {spec.accepted_by, job_holder(spec.key, None, {}, ids)}
            for state in states:
                if state.node_id in silent_ids:
                    continue
                if state.node_id not in likely and spec.key not in _keys(state):
                    continue
                is_held = self._parts.peers.holds_job(state.peer_address, spec.key)
                if is_held is None:
                    silent_ids.add(state.node_id)
                elif is_held:
                    held.add(spec.key)
                    self._log.info(
                        "job held by a peer", job=spec.key, peer=state.node_id
                    )
        return held

    def adopt(self, header):
        """Hold the job of a header; return whether the store answered."""
        spec = self._storage.with_bodies(header)
        pages = ResultPages()
        failure = spec if isinstance(spec, Failure) else None
        failure = failure or self._storage.read_pages(header.spec.key, pages)
        if failure is not None:
            self._log.info(
                "job not adopted", job=header.spec.key, reason=failure.reason
            )
            return False
        configuration = self._parts.store_cache.configuration
        route = configuration and configuration.match(spec.host, spec.path)
        job = HeldJob(header, spec, route, pages)
        job.confirm_reads()
        self._board.add(job)
        self._log.info(
            "job adopted",
            job=spec.key,
            accepted_by=spec.accepted_by,
            listed=pages.count,
            age_seconds=round(time.time() - spec.submitted_at, 3),
        )
        return True


def _keys(state):
    return {note.job_key for note in state.jobs}
