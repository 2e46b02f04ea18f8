"""Callers' calls about batch jobs."""

import random
import time

import structlog

from sequoiaglade_decisions.gateway import JobSpec, ResultPages, job_key
from sequoiaglade_decisions.outcomes import Failure, FailureCode
from sequoiaglade_node.web import Response, json_response

from ..interface import EndJob, ReadItem, ReadJob
from ..messages import LiveNodes
from ..online.refusals import GatewayRefusal, refusal_answer
from ..peers.codec import decode_job
from .board import HeldJob
from .storage import Header

# Characters of output in one answer; the pages of the platform allow a megabyte.
WINDOW_CHARACTERS = 400_000
# A caller that was refused for want of the store may return after this, in seconds.
STORE_RETRY_SECONDS = 0.5
# A workspace with too many waiting tokens may return after this, in seconds: some
# items are finished by then.
FULL_RETRY_SECONDS = 1.0
# A write whose answer was lost is settled within this time, in seconds; callers of
# batch jobs wait about four.
SETTLE_SECONDS = 2.5
SETTLE_PAUSE_SECONDS = 0.1
# Peers that are asked to store a job in turn.
STORING_PEERS = 2
# Jobs of other nodes whose listed results are kept at hand.
KEPT_PAGES = 64


class BatchService:
    """Accepts jobs, and answers reads of jobs that any node accepted."""

    def __init__(self, parts, board, storage, runner, adoption):
        self._parts = parts
        self._board = board
        self._storage = storage
        self._runner = runner
        self._adoption = adoption
        self._pages_by_key = {}
        self._header_by_key = {}
        self._log = structlog.get_logger()

    def preempt(self, endpoint_id):
        """Stop an item at an endpoint, to make room; return whether one ran there."""
        return self._runner.preempt(endpoint_id)

    def submit(self, call, request, route, workspace):
        """Return the `Response` to the submission of a job."""
        items = self._parts.dialect.read_items(request.stream.read())
        if not isinstance(items, tuple):
            return self._refuse(call, GatewayRefusal(400, items))
        name = workspace.name if workspace else ""
        spec = JobSpec(
            job_id=call.request_id,
            workspace=name,
            host=call.host,
            path=call.path,
            submitted_at=time.time(),
            accepted_by=self._parts.settings.node_id,
            items=items,
        )
        if self._is_known(spec.key):
            return self._accepted(spec, "known")
        if self._is_over_limit(spec, route):
            reason = f"over {route.waiting_tokens} tokens of {name!r} would wait"
            return self._refuse(call, GatewayRefusal(429, reason, FULL_RETRY_SECONDS))
        return self._store(call, spec, route)

    def handle(self, batch_call, call, request, configuration):
        """Return the `Response` to a read or an end of a job."""
        workspace = ""
        if configuration.has_workspaces:
            found = configuration.workspace_of(call.key)
            if found is None:
                refusal = GatewayRefusal(401, "the key belongs to no workspace")
                return self._refuse(call, refusal)
            workspace = found.name
        key = job_key(workspace, batch_call.job_id)
        match batch_call:
            case ReadJob(_, after):
                return self._read(call, key, after)
            case ReadItem(_, item_id):
                return self._read_item(call, key, item_id)
            case EndJob():
                return self._end(call, key)

    def _is_known(self, key):
        return self._board.get(key) is not None or self._peer_of(key) is not None

    def _is_over_limit(self, spec, route):
        limit = route.waiting_tokens
        if not limit:
            return False
        live = self._parts.coordinator.ask(LiveNodes())
        waiting = self._board.waiting_tokens(spec.workspace, route.name)
        waiting += sum(
            note.waiting_tokens
            for state in live
            for note in state.jobs
            if (note.workspace, note.route) == (spec.workspace, route.name)
        )
        room = (limit - waiting) * self._parts.peers.live_node_fraction()
        return sum(item.tokens for item in spec.items) > room

    def _store(self, call, spec, route):
        """Store a job here or through peers, until it is known whether it is stored."""
        give_up_at = time.monotonic() + SETTLE_SECONDS
        may_be_stored = False
        while True:
            failure = self._store_once(spec, route)
            if failure is None:
                return self._accepted(spec, "stored")
            if failure.code is FailureCode.CONFLICT:
                # Perhaps by a write whose answer was lost, so that nobody holds it.
                self._adoption.expect(spec.key)
                return self._accepted(spec, "stored before")
            may_be_stored = may_be_stored or failure.code is FailureCode.UNKNOWN
            if not may_be_stored:
                refusal = GatewayRefusal(503, failure.reason, STORE_RETRY_SECONDS)
                return self._refuse(call, refusal)
            if time.monotonic() > give_up_at:
                return self._refuse(call, GatewayRefusal(504, failure.reason))
            time.sleep(SETTLE_PAUSE_SECONDS)

    def _store_once(self, spec, route):
        """Try this node's path to the store, then a peer's; return as `_store_here`."""
        failure = None
        may_be_stored = False
        if self._parts.store_cache.is_store_reachable:
            failure = self._store_here(spec, route)
            if failure is None or failure.code is FailureCode.CONFLICT:
                return failure
            may_be_stored = failure.code is FailureCode.UNKNOWN
        for address in self._storing_peers():
            failure = self._parts.peers.store_job(address, spec)
            if failure is None or failure.code is FailureCode.CONFLICT:
                return failure
            may_be_stored = may_be_stored or failure.code is FailureCode.UNKNOWN
        reason = failure.reason if failure else "no node reaches the store"
        code = FailureCode.UNKNOWN if may_be_stored else FailureCode.UNAVAILABLE
        return Failure(code, reason)

    def _storing_peers(self):
        live = self._parts.coordinator.ask(LiveNodes())
        peers = [s for s in live if s.is_store_reachable and not s.is_leaving]
        random.shuffle(peers)
        return [state.peer_address for state in peers[:STORING_PEERS]]

    def _store_here(self, spec, route):
        done = self._storage.write_job(spec)
        if isinstance(done, Failure):
            return done
        sizes = tuple(len(item.body) for item in spec.items)
        header = Header(spec, sizes, False, done.revision)
        self._board.add(HeldJob(header, spec, route))
        return None

    def store_for_peer(self, message):
        """Store and hold a job for a peer; return None or a `Failure`."""
        spec = decode_job(message, self._parts.settings.node_id)
        configuration = self._parts.store_cache.configuration
        route = configuration and configuration.match(spec.host, spec.path)
        if route is None:
            reason = f"no route of host {spec.host!r} begins path {spec.path!r}"
            return Failure(FailureCode.UNAVAILABLE, reason)
        return self._store_here(spec, route)

    def _accepted(self, spec, how):
        self._log.info(
            "job accepted", job=spec.key, items=len(spec.items), how=how, path=spec.path
        )
        self._parts.metrics.count("job accepted", how)
        return json_response(202, {})

    def _read(self, call, key, after):
        window = self.held_window(key, after)
        if window is None:
            window = self._read_from_peer(key, after)
        if window is None:
            window = self._read_from_store(key, after)
        if isinstance(window, Failure):
            return self._unread(call, key, window)
        total, results = window
        body = self._parts.dialect.results_body(total, after, results)
        return json_response(200, body)

    def held_window(self, key, after):
        """Return the total and the results of a held job from `after`, else None.

        Another node may have listed more if this one was out of touch or a write of
        its own is unanswered: the store is asked then.
        """
        job = self._board.get(key)
        if job is None:
            return None
        is_sure = job.is_settled and time.monotonic() > job.confirm_until
        if not is_sure or not self._parts.peers.is_exclusive():
            failure = self._refresh(job)
            if failure is not None:
                return None
        return self._board.window(key, after, WINDOW_CHARACTERS)

    def _refresh(self, job):
        pages = ResultPages()
        with self._board.lock:
            for number, page in enumerate(job.pages.pages()):
                pages.put(number, *page)
        failure = self._storage.read_pages(job.key, pages)
        if failure is not None:
            return failure
        with self._board.lock:
            for number, page in enumerate(pages.pages()):
                job.pages.put(number, *page)
            job.batch.note_listed(job.pages.results)
        return None

    def _read_from_peer(self, key, after):
        address = self._peer_of(key)
        return address and self._parts.peers.read_job(address, key, after)

    def _read_from_store(self, key, after):
        header = self._header_of(key)
        if isinstance(header, Failure):
            return header
        # News of who holds a job is late in a large fleet; most often it is this node.
        address = self._address_of(header.spec.accepted_by)
        window = address and self._parts.peers.read_job(address, key, after)
        if window:
            return window
        if len(self._pages_by_key) > KEPT_PAGES:
            self._pages_by_key.clear()
        pages = self._pages_by_key.setdefault(key, ResultPages())
        if pages.count < len(header.spec.items):
            failure = self._storage.read_pages(key, pages)
            if failure is not None:
                return failure
        return len(header.spec.items), pages.window(after, WINDOW_CHARACTERS)

    def _header_of(self, key):
        header = self._header_by_key.get(key)
        if header is None:
            header = self._storage.read_header(key)
            if not isinstance(header, Failure):
                if len(self._header_by_key) > KEPT_PAGES:
                    self._header_by_key.clear()
                self._header_by_key[key] = header
        return header

    def _read_item(self, call, key, item_id):
        body = self._board.body(key, item_id)
        if body is None and (address := self._peer_of(key)):
            body = self._parts.peers.read_item(address, key, item_id)
        if body is None:
            body = self._body_from_store(key, item_id)
        if isinstance(body, Failure):
            return self._unread(call, key, body)
        headers = [
            ("Content-Type", "application/octet-stream"),
            ("Content-Length", str(len(body))),
        ]
        return Response(200, headers, [body])

    def _body_from_store(self, key, item_id):
        header = self._header_of(key)
        if isinstance(header, Failure):
            return header
        spec = self._storage.with_bodies(header)
        if isinstance(spec, Failure):
            return spec
        for item in spec.items:
            if item.item_id == item_id:
                return item.body
        return Failure(FailureCode.NOT_FOUND, f"{key} has no item {item_id!r}")

    def _end(self, call, key):
        if not self._is_known(key):
            header = self._header_of(key)
            if isinstance(header, Failure):
                return self._unread(call, key, header)
        give_up_at = time.monotonic() + SETTLE_SECONDS
        while (failure := self._storage.write_end(key)) is not None:
            if time.monotonic() > give_up_at:
                return self._unread(call, key, failure)
            time.sleep(SETTLE_PAUSE_SECONDS)
        self.note_end(key)
        address = self._peer_of(key)
        if address:
            self._parts.peers.end_job(address, key)
        return json_response(200, {})

    def note_end(self, key):
        """Stop a job's items; its end stands in the store."""
        self._adoption.note_end(key)
        if self._board.end(key):
            self._log.info("job ended", job=key)
            self._runner.stop_job(key)

    def _peer_of(self, key):
        """Return the peer address of the node that holds a job, or None."""
        for state in self._parts.coordinator.ask(LiveNodes()):
            if any(note.job_key == key for note in state.jobs):
                return state.peer_address
        return None

    def _address_of(self, node_id):
        """Return the peer address of a live peer, or None."""
        for state in self._parts.coordinator.ask(LiveNodes()):
            if state.node_id == node_id:
                return state.peer_address
        return None

    def _unread(self, call, key, failure):
        if failure.code is FailureCode.NOT_FOUND:
            return self._refuse(call, GatewayRefusal(404, f"no batch job {key}"))
        refusal = GatewayRefusal(503, failure.reason, STORE_RETRY_SECONDS)
        return self._refuse(call, refusal)

    def _refuse(self, call, refusal):
        self._log.info(
            "batch call refused",
            request_id=call.request_id,
            target=call.path,
            status=refusal.status,
            reason=refusal.reason,
        )
        self._parts.metrics.count("refused", str(refusal.status))
        return refusal_answer(refusal)
