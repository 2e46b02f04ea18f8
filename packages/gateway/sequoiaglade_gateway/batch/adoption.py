"""Takes over jobs that no node holds any more."""

import queue
import threading
import time

import structlog

from sequoiaglade_decisions.gateway import Orphans, ResultPages, job_holder
from sequoiaglade_decisions.outcomes import Failure
from sequoiaglade_node.threads import OwnedThread

from ..messages import LiveNodes
from .board import HeldJob

# A node meets its peers within this time of its start, in seconds.
MEET_SECONDS = 1.0
# Pause between looks at all jobs by the node with the lowest id, in seconds. It finds
# jobs whose holder ended right after it had accepted them.
SWEEP_SECONDS = 4.0
# Pause after the store failed, in seconds.
RETRY_SECONDS = 0.5
# Pause until a job that was found stored is looked for again, in seconds.
EXPECTED_PAUSE_SECONDS = 0.7


class Adoption(OwnedThread):
    """One thread that looks for jobs without a holder; a context manager."""

    def __init__(self, parts, board, storage):
        super().__init__("adoption")
        self._parts = parts
        self._board = board
        self._storage = storage
        self._wanted = threading.Event()
        self._found = queue.SimpleQueue()
        self._orphans = Orphans(parts.settings.node_id)
        self._log = structlog.get_logger()
        self.ended_keys = set()
        self.is_leaving = False

    def look(self):
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
            if self._parts.peers.seconds_awake() < MEET_SECONDS:
                # After a freeze all peers look lost until they are heard again.
                self._stopped.wait(MEET_SECONDS)
            if is_due and not self.is_leaving:
                is_due = not self._adopt_orphans()
            if is_due:
                self._stopped.wait(RETRY_SECONDS)
                continue
            if self._orphans.expects:
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
            self._orphans.expect(self._found.get(), time.monotonic())
        headers = self._storage.list_headers()
        if isinstance(headers, Failure):
            self._log.info("jobs not listed", reason=headers.reason)
            return False
        live = self._live()
        own_id = self._parts.settings.node_id
        keys_by_node = {s.node_id: {note.job_key for note in s.jobs} for s in live}
        keys_by_node[own_id] = {job.key for job in self._board.jobs()}
        ids = sorted([own_id, *(s.node_id for s in live if not s.is_leaving)])
        header_by_key = {
            header.spec.key: header
            for header in headers
            if not header.is_finished and header.spec.key not in self.ended_keys
        }
        accepted_by_key = {k: h.spec.accepted_by for k, h in header_by_key.items()}
        chosen = self._orphans.choose(
            accepted_by_key, keys_by_node, ids, time.monotonic()
        )
        asked = [s for s in live if not s.is_gone]
        return all(
            [
                self.adopt(header_by_key[key])
                for key in chosen
                if not self._is_held_by_peer(header_by_key[key].spec, asked, ids)
            ]
        )

    def _is_held_by_peer(self, spec, states, ids):
        """Ask the nodes that may hold a job: in a large fleet their news is late."""
        likely = {spec.accepted_by, job_holder(spec.key, None, {}, ids)}
        for state in states:
            if state.node_id not in likely:
                continue
            if self._parts.peers.holds_job(state.peer_address, spec.key):
                self._log.info("job held by a peer", job=spec.key, peer=state.node_id)
                return True
        return False

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
        configuration = self._parts.knowledge.configuration
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
