"""Takes over jobs that no node holds any more."""

import threading
import time

import structlog

from sequoiaglade_decisions.gateway import ResultPages, job_holder
from sequoiaglade_decisions.outcomes import Failure
from sequoiaglade_node.threads import OwnedThread

from ..coordinator import LiveNodes
from .board import held_job

# A node meets its peers within this time of its start, in seconds.
MEET_SECONDS = 1.0
# Pause between looks at all jobs by the node with the lowest id, in seconds. It finds
# jobs whose holder ended right after it had accepted them.
SWEEP_SECONDS = 6.0
# Pause after the store failed, in seconds.
RETRY_SECONDS = 0.5


class Adoption(OwnedThread):
    """One thread that looks for jobs without a holder; a context manager."""

    def __init__(self, parts, board, storage):
        super().__init__("adoption")
        self._parts = parts
        self._board = board
        self._storage = storage
        self._wanted = threading.Event()
        self._log = structlog.get_logger()
        self.ended_keys = set()
        self.is_leaving = False

    def look(self):
        """Look soon for jobs without a holder: a node left or was lost."""
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
            if is_due and not self.is_leaving:
                is_due = not self._adopt_orphans()
            if is_due:
                self._stopped.wait(RETRY_SECONDS)
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
        headers = self._storage.list_headers()
        if isinstance(headers, Failure):
            self._log.info("jobs not listed", reason=headers.reason)
            return False
        live = self._live()
        own_id = self._parts.settings.node_id
        keys_by_node = {s.node_id: {note.job_key for note in s.jobs} for s in live}
        keys_by_node[own_id] = {job.key for job in self._board.jobs()}
        ids = sorted([own_id, *(s.node_id for s in live if not s.is_leaving)])
        held = set().union(*keys_by_node.values())
        done = True
        for header in headers:
            key = header.spec.key
            if header.is_finished or key in held or key in self.ended_keys:
                continue
            holder = job_holder(key, header.spec.accepted_by, keys_by_node, ids)
            if holder == own_id:
                done = self.adopt(header) and done
        return done

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
        self._board.add(held_job(header, spec, route, pages))
        self._log.info(
            "job adopted",
            job=spec.key,
            accepted_by=spec.accepted_by,
            listed=pages.count,
            age_seconds=round(time.time() - spec.submitted_at, 3),
        )
        return True
