"""Callers' requests about batch jobs: submission, reads and the end of a job."""

import random
import threading
import time

import structlog

from sequoiaglade_decisions.gateway import (
    JobSpec,
    ResultPages,
    bounded_results,
    encode_json,
    job_key,
)
from sequoiaglade_decisions.memory import decode_bytes
from sequoiaglade_decisions.outcomes import Failure, FailureCode
from sequoiaglade_node.web import Response, json_response

from ..interface import EndJob, ReadItem, ReadJob
from ..messages import LiveNodes
from ..online.refusals import (
    MEMORY_RETRY_AFTER_SECONDS,
    GatewayRefusal,
    refusal_response,
)
from ..peers.codec import decode_job
from ..regions import JobHomes
from .bodies import ItemBodies, find_holder
from .registry import HeldJob
from .storage import JobHeader
from .token_limits import TokenLimits

# Bytes of the results in one response; the platform's documentation allows a megabyte.
RESULTS_BYTES_MAX = 990_000
# Retry-After of a request that was refused because the store is unavailable.
STORE_RETRY_AFTER_SECONDS = 0.5
# A write whose answer was lost is retried for this long. Callers of batch jobs wait
# about four seconds.
LOST_ANSWER_RETRY_SECONDS = 2.5
LOST_ANSWER_PAUSE_SECONDS = 0.1
# Number of peers that are asked in turn to store a job.
STORING_PEERS_MAX = 2
# Jobs of this size are decoded without a wait for others; at 30 times as much, all
# threads that decode one take a small part of the memory.
SMALL_JOB_BYTES = 16_384
# Submissions wait for the decoding of others for this long.
DECODE_WAIT_SECONDS = 2.0
JOB_REFUSAL = "the memory for jobs is used up"
# Maximum number of jobs whose results or headers are cached for reads.
CACHED_JOBS_MAX = 64


class BatchService:
    """Accepts jobs, and answers reads of jobs that any node accepted."""

    def __init__(self, parts, registry, storage, runner, adopter):
        self._parts = parts
        self._registry = registry
        self._storage = storage
        self._runner = runner
        self._adopter = adopter
        self._homes = JobHomes(parts)
        self._bodies = ItemBodies(parts, registry, storage, self._header_of)
        self.give_body = self._bodies.give
        self._limits = TokenLimits(parts, registry, storage)
        self.note_headers = self._limits.note_headers
        self.reserve_for_peer = self._limits.answer_peer
        self._cache_lock = threading.Lock()
        self._decode_lock = threading.Lock()
        self._pages_by_key = {}
        self._header_by_key = {}
        self._log = structlog.get_logger()

    def preempt(self, endpoint_id):
        """Stop an item at an endpoint to free a slot; return whether one ran there."""
        return self._runner.preempt(endpoint_id)

    def submit(self, call, request, route, workspace):
        """Return the `Response` to the submission of a job."""
        steps = _StepTimes(request.arrived_at)
        steps.end("arrival")
        response = self._submit(call, request, route, workspace, steps)
        self._log.info(
            "submission answered",
            request_id=call.request_id,
            status=response.status,
            **steps.milliseconds_by_step,
        )
        return response

    def _submit(self, call, request, route, workspace, steps):
        items = self._read_items(request)
        if items is None:
            refusal = GatewayRefusal(503, JOB_REFUSAL, MEMORY_RETRY_AFTER_SECONDS)
            return self._refuse(call, refusal)
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
            return self._accept(spec, "known")
        oversize = self._storage.oversize(spec)
        if oversize is not None:
            return self._refuse(call, GatewayRefusal(413, oversize))
        steps.end("read")
        admission = self._limits.take(spec, route)
        steps.end("check")
        if isinstance(admission, GatewayRefusal):
            return self._refuse(call, admission)
        response = self._store_job(call, spec, route, admission.is_new)
        steps.end("store")
        if response.status == 202:
            self._limits.tell_peers(spec, route)
            steps.end("tell")
        return response

    def handle(self, batch_call, call, request, configuration):
        """Return the `Response` to a read of a job or to a call that ends it."""
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
                return self._read_results(call, key, after)
            case ReadItem(_, item_id):
                return self._read_item(call, key, item_id)
            case EndJob():
                return self._end_job(call, key)

    def _read_items(self, request):
        """Return the items of a submission, its error as text, or None without memory.

        One large job is read and decoded at a time: decoding takes up to 30 times a
        job's bytes, and several threads decode no faster than one.
        """
        memory = self._parts.client_memory
        if 0 < request.content_length <= SMALL_JOB_BYTES:
            return self._parts.dialect.read_items(request.stream.read())
        if not self._decode_lock.acquire(timeout=DECODE_WAIT_SECONDS):
            memory.report("refused", JOB_REFUSAL)
            return None
        try:
            if not request.may_read_body():
                return None
            # The bytes are not needed beside the text.
            text = request.stream.read().decode("utf-8-sig", "replace")
            size = decode_bytes(text)
            with memory.working(size, beside=2 * len(text)) as is_held:
                if is_held:
                    return self._parts.dialect.read_items(text)
            memory.report("refused", JOB_REFUSAL, bytes=size)
            return None
        finally:
            self._decode_lock.release()

    def _is_known(self, key):
        return self._registry.get(key) is not None or self._peer_of(key) is not None

    def _store_job(self, call, spec, route, is_reserved):
        """Store a job, here or by a peer, until it is known whether it is stored.

        If not, its tokens are given back if they were reserved for this call.
        """
        give_up_at = time.monotonic() + LOST_ANSWER_RETRY_SECONDS
        may_be_stored = False
        while True:
            failure = self._store_once(spec, route)
            if failure is None:
                return self._accept(spec, "stored")
            if failure.code is FailureCode.CONFLICT:
                # A write whose answer was lost may have stored the job; then no node
                # holds it.
                self._adopter.note_unheld(spec.key)
                return self._accept(spec, "stored before")
            may_be_stored = may_be_stored or failure.code is FailureCode.UNKNOWN
            if not may_be_stored:
                if is_reserved:
                    self._limits.give_back(spec, route)
                refusal = GatewayRefusal(503, failure.reason, STORE_RETRY_AFTER_SECONDS)
                return self._refuse(call, refusal)
            if time.monotonic() > give_up_at:
                return self._refuse(call, GatewayRefusal(504, failure.reason))
            time.sleep(LOST_ANSWER_PAUSE_SECONDS)

    def _store_once(self, spec, route):
        """Store a job by this node, else by a peer; return None or a `Failure`."""
        failure = None
        may_be_stored = False
        is_reachable = self._parts.store_cache.is_store_reachable
        if is_reachable and self._limits.confirm(spec, route):
            failure = self._store_locally(spec, route)
            if failure is None or failure.code is FailureCode.CONFLICT:
                return failure
            may_be_stored = failure.code is FailureCode.UNKNOWN
        for address in self._peers_to_store(spec):
            failure = self._parts.peers.store_job(address, spec)
            if failure is None or failure.code is FailureCode.CONFLICT:
                return failure
            may_be_stored = may_be_stored or failure.code is FailureCode.UNKNOWN
        reason = failure.reason if failure else "no node can reach the store"
        code = FailureCode.UNKNOWN if may_be_stored else FailureCode.UNAVAILABLE
        return Failure(code, reason)

    def _peers_to_store(self, spec):
        live = self._parts.coordinator.ask(LiveNodes())
        peers = [s for s in live if s.is_store_reachable and not s.is_leaving]
        peers = self._homes.allowed_peers(spec, peers)
        random.shuffle(peers)
        return [state.peer_address for state in peers[:STORING_PEERS_MAX]]

    def _store_locally(self, spec, route):
        accepted_at = self._registry.clock()
        done = self._storage.write_job(spec)
        if isinstance(done, Failure):
            return done
        sizes = tuple(len(item.body) for item in spec.items)
        header = JobHeader(spec, sizes, False, done.revision)
        self._registry.add(HeldJob(header, spec, route, accepted_at=accepted_at))
        return None

    def store_for_peer(self, message):
        """Store and hold a job for a peer; return None or a `Failure`."""
        spec = decode_job(message, self._parts.settings.node_id)
        configuration = self._parts.store_cache.configuration
        route = configuration and configuration.match(spec.host, spec.path)
        if route is None:
            reason = f"no route of host {spec.host!r} matches path {spec.path!r}"
            return Failure(FailureCode.UNAVAILABLE, reason)
        if not self._homes.is_home(spec):
            reason = f"job {spec.key} may not be stored by a node of this region"
            self._log.info("job of peer refused", job=spec.key, reason=reason)
            return Failure(FailureCode.UNAVAILABLE, reason)
        admission = self._limits.take(spec, route)
        if isinstance(admission, GatewayRefusal):
            return Failure(FailureCode.UNAVAILABLE, admission.reason)
        failure = self._store_locally(spec, route)
        is_stored = failure is None or failure.code is not FailureCode.UNAVAILABLE
        if admission.is_new and not is_stored:
            self._limits.give_back(spec, route)
        return failure

    def _accept(self, spec, how):
        self._log.info(
            "job accepted", job=spec.key, items=len(spec.items), how=how, path=spec.path
        )
        self._parts.metrics.count("job accepted", how)
        return json_response(202, {})

    def _read_results(self, call, key, after):
        source = "this node"
        window = self.held_window(key, after)
        if window is None:
            source = "holder"
            window = self._read_from_peer(key, after)
        if window is None:
            source = "store"
            window = self._read_from_store(key, after)
        if isinstance(window, Failure):
            return self._refuse_after_failure(call, key, window)
        total, results = window
        self._log.info(
            "results read", job=key, after=after, count=len(results), source=source
        )
        self._parts.metrics.count("results read", source)
        body = encode_json(self._parts.dialect.results_body(total, after, results))
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        return Response(200, headers, [body])

    def held_window(self, key, after):
        """Return the number of items and the results from `after`; None if not held.

        Another node may have listed more results if this one was partitioned or has an
        unanswered write. In that case the store is asked first, and None is returned if
        it fails.
        """
        job = self._registry.get(key)
        if job is None:
            return None
        if job.is_current(self._parts.peers.contact_since()):
            self._parts.metrics.count("held results read", "memory")
        else:
            self._parts.metrics.count("held results read", "store")
            failure = self._refresh_results(job)
            if failure is not None:
                return None
        return self._registry.window(key, after, RESULTS_BYTES_MAX)

    def _refresh_results(self, job):
        pages = ResultPages()
        began_at = self._registry.clock()
        with self._registry.lock:
            pages.merge(job.pages)
        failure = self._storage.read_pages(job.key, pages)
        if failure is not None:
            return failure
        with self._registry.lock:
            job.pages.merge(pages)
            job.batch.note_listed(job.pages.results)
            job.validity.note_confirmed(began_at)
        return None

    def _read_from_peer(self, key, after):
        address = self._peer_of(key)
        return address and self._ask_holder(address, key, after)

    def _ask_holder(self, address, key, after):
        window = self._parts.peers.read_job(address, key, after)
        if window is None:
            return None
        # Peers that run another release have other bounds.
        total, results = window
        return total, bounded_results(results, RESULTS_BYTES_MAX)

    def _read_from_store(self, key, after):
        header = self._header_of(key)
        if isinstance(header, Failure):
            return header
        # In a large fleet the gossip about a job's holder arrives late. The holder is
        # most often the node that accepted the job.
        address = self._address_of(header.spec.accepted_by)
        window = address and self._ask_holder(address, key, after)
        if window:
            return window
        pages = ResultPages()
        with self._cache_lock:
            pages.merge(self._pages_by_key.get(key, pages))
        if pages.count < len(header.spec.items):
            failure = self._storage.read_pages(key, pages)
            if failure is not None:
                return failure
            with self._cache_lock:
                if len(self._pages_by_key) > CACHED_JOBS_MAX:
                    self._pages_by_key.clear()
                cached = self._pages_by_key.setdefault(key, ResultPages())
                cached.merge(pages)
        return len(header.spec.items), pages.window(after, RESULTS_BYTES_MAX)

    def _header_of(self, key):
        header = self._header_by_key.get(key)
        if header is None:
            header = self._storage.read_header(key)
            if not isinstance(header, Failure):
                if len(self._header_by_key) > CACHED_JOBS_MAX:
                    self._header_by_key.clear()
                self._header_by_key[key] = header
        return header

    def _read_item(self, call, key, item_id):
        body = self._bodies.read(key, item_id)
        if isinstance(body, Failure):
            return self._refuse_after_failure(call, key, body)
        headers = [
            ("Content-Type", "application/octet-stream"),
            ("Content-Length", str(len(body))),
        ]
        return Response(200, headers, [body])

    def _end_job(self, call, key):
        if not self._is_known(key):
            header = self._header_of(key)
            if isinstance(header, Failure):
                return self._refuse_after_failure(call, key, header)
        give_up_at = time.monotonic() + LOST_ANSWER_RETRY_SECONDS
        may_be_written = False
        while (failure := self._storage.write_end(key)) is not None:
            if failure.code is not FailureCode.UNAVAILABLE:
                may_be_written = True
            if time.monotonic() > give_up_at:
                if may_be_written:
                    return self._refuse(call, GatewayRefusal(504, failure.reason))
                return self._refuse_after_failure(call, key, failure)
            time.sleep(LOST_ANSWER_PAUSE_SECONDS)
        self.note_end(key)
        for address in self._holder_addresses(key):
            self._parts.peers.end_job(address, key)
        return json_response(200, {})

    def note_end(self, key):
        """Stop the items of a job whose end is recorded in the store."""
        self._adopter.note_end(key)
        if self._registry.end(key):
            self._log.info("job ended", job=key)
            self._runner.stop_job(key)

    def _peer_of(self, key):
        """Return the peer address of the node that holds a job, or None."""
        found = find_holder(self._parts, key)
        return found and found[0].peer_address

    def _holder_addresses(self, key):
        """Return the peer addresses of the nodes that hold or may hold a job.

        In a large fleet the gossip about a job's holder arrives late. The holder is
        most often the node that accepted the job.
        """
        header = self._header_by_key.get(key)
        accepted_by = header and header.spec.accepted_by
        return [
            state.peer_address
            for state in self._parts.coordinator.ask(LiveNodes())
            if state.node_id == accepted_by
            or any(summary.job_key == key for summary in state.jobs)
        ]

    def _address_of(self, node_id):
        """Return the peer address of a live node, or None."""
        for state in self._parts.coordinator.ask(LiveNodes()):
            if state.node_id == node_id:
                return state.peer_address
        return None

    def _refuse_after_failure(self, call, key, failure):
        if failure.code is FailureCode.NOT_FOUND:
            return self._refuse(call, GatewayRefusal(404, f"no batch job {key}"))
        refusal = GatewayRefusal(503, failure.reason, STORE_RETRY_AFTER_SECONDS)
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
        return refusal_response(refusal)


class _StepTimes:
    """The milliseconds that each step of a submission took, since its arrival."""

    def __init__(self, arrived_at):
        self._ended_at = arrived_at
        self.milliseconds_by_step = {}

    def end(self, step):
        """Record the end of a step, which began at the end of the one before."""
        now = time.monotonic()
        elapsed = round((now - self._ended_at) * 1000)
        self.milliseconds_by_step[f"{step}_ms"] = elapsed
        self._ended_at = now
