"""Assembles a gateway node and runs it until it is asked to stop."""

import contextlib
import time
from typing import Any

import structlog

from sequoiaglade_decisions.memory import budget_bytes
from sequoiaglade_node.web import ClientMemory, HangupWatcher, Listener

from .applications import (
    DataApplication,
    DirectoryApplication,
    MetricsApplication,
    ReadinessApplication,
    catch_errors,
)
from .batch import (
    BatchService,
    ItemRunner,
    JobAdopter,
    JobEnds,
    JobRegistry,
    JobStorage,
    PeerEnds,
    ResultWriter,
)
from .batch.storage import ENDS_KIND
from .bounded_reads import ResponseMemory
from .coordinator import Coordinator
from .directory import Directory
from .forwarding import EndpointPaths, Forwarder
from .messages import GetStatus, Leave, LiveNodes
from .metrics import GatewayMetrics
from .online import (
    BatchPreemptor,
    OnlineService,
    StreamDirectory,
    StreamNotes,
    VersionHistory,
)
from .own_memory import resident_bytes, return_large_blocks
from .peers import FleetServicer, Gossip, PeerClient, start_peer_server
from .placing import LoadReporter, Placer
from .store_cache import (
    ConfigurationReader,
    EvacuationCache,
    KindWatcher,
    StoreCache,
    StoreContactKeeper,
    StoreRelay,
    StoreUpdates,
    guards_of,
)
from .store_calls import CountedStore

# The platform allows callers to keep an address for this multiple of the directory's
# time to live.
ADDRESS_TTL_FACTOR = 3
# Reserved for the last steps of a drain before the process is killed.
EXIT_MARGIN_SECONDS = 0.7
AUXILIARY_THREADS = 4
# Pause of the watch of evacuations after a change. A change has to be in force at all
# nodes within a second, in which the nodes that rely on others ask twice.
EVACUATION_COALESCE_SECONDS = 0.1


class Parts:
    """References that the parts of a node share; each is set once at the start."""

    settings: Any
    dialect: Any
    store: Any
    store_contact: Any
    coordinator: Any
    store_cache: Any
    configuration_reader: Any
    hangups: Any
    response_memory: Any
    client_memory: Any
    metrics: Any
    online: Any
    paths: Any
    batch: Any
    job_ends: Any
    peers: Any
    placer: Any
    preemptor: Any
    streams: Any
    writer: Any


class PeerCalls:
    """The peer calls and the state of gossip that batch jobs use."""

    def __init__(self, client, gossip):
        self.read_job = client.read_job
        self.read_item = client.read_item
        self.end_job = client.end_job
        self.find_ends = client.find_ends
        self.holds_job = client.holds_job
        self.store_job = client.store_job
        self.note_job = client.note_job
        self.reserve_tokens = client.reserve_tokens
        self.release_tokens = client.release_tokens
        self.poll_store = client.poll_store
        self.live_node_fraction = gossip.live_node_fraction
        self.contact_since = gossip.contact_since
        self.seconds_since_resume = gossip.seconds_since_resume


class GatewayNode:
    """A running gateway node; a context manager that starts and stops its parts."""

    def __init__(self, settings, dialect, store):
        self._parts = Parts()
        self._parts.settings = settings
        self._parts.dialect = dialect
        self._parts.store = store
        self._stack = contextlib.ExitStack()
        self._is_leaving = False
        self._listeners = []

    def __enter__(self):
        with contextlib.ExitStack() as stack:
            self._start_coordinator(stack)
            self._start_batch(stack)
            self._start_watchers(stack)
            self._start_listeners(stack)
            self._stack = stack.pop_all()
        self._parts.metrics.load_soon()
        settings = self._parts.settings
        structlog.get_logger().info(
            "node started",
            failure_domain=settings.failure_domain,
            listen=settings.listen.model_dump(),
            first_start=settings.is_first_start,
        )
        return self

    def __exit__(self, *exc_info):
        self._stack.close()
        structlog.get_logger().info("node stopped")

    def drain(self):
        """Drain the node: take no new callers or jobs, and finish what runs.

        Connections are accepted until the addresses that callers hold have expired.
        Batch items that don't finish in time are stopped; peers adopt their jobs.
        """
        started_at = time.monotonic()
        settings = self._parts.settings
        kill_at = started_at + settings.grace_seconds - EXIT_MARGIN_SECONDS
        structlog.get_logger().info("node draining")
        self._is_leaving = True
        self._parts.coordinator.tell(Leave())
        self._runner.is_leaving = True
        self._job_adopter.is_leaving = True
        data = self._listeners[0]
        data.close_after_answers()
        expired_at = started_at + ADDRESS_TTL_FACTOR * settings.directory_seconds
        time.sleep(max(0.0, min(expired_at, kill_at) - time.monotonic()))
        data.stop_accepting()
        self._finish_items(kill_at)
        data.wait_until_idle(kill_at)
        self._forwarder.wait_until_idle(kill_at)
        self._writer.write_waiting()
        self._parts.coordinator.tell(Leave(is_gone=True))
        self._gossip.run_round(len(self._live_nodes()))

    def reload(self, settings):
        """Apply the settings that can change while the node runs, the seeds."""
        before = self._parts.settings
        self._parts.settings = before.model_copy(update={"seeds": settings.seeds})
        structlog.get_logger().info("settings reloaded", seeds=list(settings.seeds))

    def _finish_items(self, kill_at):
        while self._runner.running_count and time.monotonic() < kill_at - 0.5:
            time.sleep(0.05)
        self._runner.stop_all()

    def _start_coordinator(self, stack):
        parts = self._parts
        incarnation = int(time.time() * 1000)
        parts.metrics = stack.enter_context(
            GatewayMetrics(parts.settings.node_id, parts.settings.metrics is not None)
        )
        actor = Coordinator.start(
            parts.settings, incarnation, count=parts.metrics.count
        )
        stack.callback(actor.stop, block=False)
        parts.coordinator = actor
        parts.store = CountedStore(parts.store, parts.metrics)
        parts.store_contact = StoreContactKeeper(parts.store, parts.metrics)
        evacuations = None
        if parts.settings.evacuations:
            evacuations = EvacuationCache(actor, parts.metrics)
        parts.store_cache = StoreCache(parts.dialect, actor, evacuations)
        parts.metrics.observe_configuration(lambda: parts.store_cache.version)
        parts.configuration_reader = stack.enter_context(
            ConfigurationReader(
                parts.store, parts.dialect.kinds.configuration, parts.store_cache
            )
        )
        parts.response_memory = ResponseMemory()
        return_large_blocks()
        total = budget_bytes(parts.settings.memory_mb, resident_bytes())
        parts.client_memory = ClientMemory(total, parts.metrics.count)
        parts.hangups = stack.enter_context(HangupWatcher())

    def _start_batch(self, stack):
        parts = self._parts
        registry = self._job_registry = JobRegistry()
        storage = JobStorage(parts.store, parts.settings.store.value_bytes)
        # `JobEnds` decides by `read_now` what may still be sent.
        self._ends_watcher = KindWatcher(
            parts.store,
            ENDS_KIND,
            self._on_job_ends_listed,
            self._on_job_end_changed,
            may_be_outdated=True,
            is_store_silent=parts.store_contact.is_store_silent,
        )
        parts.job_ends = JobEnds(
            registry, parts.metrics, self._ends_watcher.read_now, PeerEnds(parts).read
        )
        self._runner = ItemRunner(parts, registry)
        self._job_adopter = JobAdopter(parts, registry, storage)
        self._writer = parts.writer = ResultWriter(registry, storage)
        parts.batch = BatchService(
            parts, registry, storage, self._runner, self._job_adopter
        )
        client = stack.enter_context(PeerClient())
        parts.placer = Placer(parts, client)
        parts.paths = EndpointPaths(parts, client)
        self._forwarder = Forwarder(parts)
        history = VersionHistory(parts)
        self._updates = StoreUpdates()
        parts.streams = StreamDirectory(parts, client, history.read)
        self._gossip = Gossip(
            parts, client, registry, self._runner, self._job_adopter.wake
        )
        parts.peers = PeerCalls(client, self._gossip)
        servicer = FleetServicer(
            self._gossip,
            parts.store_cache,
            registry,
            parts.batch,
            parts.job_ends,
            parts.placer,
            parts.streams,
            self._forwarder,
            self._updates,
        )
        start_peer_server(stack, parts.settings.listen.peer, servicer)
        parts.preemptor = BatchPreemptor(parts, client.request_preemption)
        for thread in (
            history,
            StreamNotes(parts.streams),
            parts.paths,
            parts.preemptor,
            self._gossip,
            self._runner,
            self._writer,
            self._job_adopter,
            LoadReporter(parts, client),
        ):
            stack.enter_context(thread)

    def _start_watchers(self, stack):
        parts = self._parts
        cache = parts.store_cache
        kinds = parts.dialect.kinds
        contact = parts.store_contact
        configuration_watcher = KindWatcher(
            parts.store,
            kinds.configuration,
            cache.on_configurations_listed,
            cache.on_configuration_changed,
            is_store_silent=contact.is_store_silent,
            keeps_history=True,
        )
        endpoint_watcher = KindWatcher(
            parts.store,
            kinds.endpoints,
            cache.on_endpoints_listed,
            cache.on_endpoint_changed,
            cache.on_endpoints_reachable,
            is_store_silent=contact.is_store_silent,
            keeps_history=True,
        )
        watchers = [configuration_watcher, endpoint_watcher]
        optional_watchers = []
        if cache.evacuations is not None:
            evacuation_watcher = KindWatcher(
                parts.store,
                kinds.evacuations,
                cache.evacuations.on_listed,
                cache.evacuations.on_changed,
                is_store_silent=contact.is_store_silent,
                keeps_history=True,
                coalesce_seconds=EVACUATION_COALESCE_SECONDS,
            )
            optional_watchers = [evacuation_watcher]
        guards = []
        for watcher in (*watchers, *optional_watchers):
            self._updates.add(watcher)
            guards += guards_of(parts.store, watcher, contact, parts.metrics)
        self._relay = StoreRelay(
            parts.coordinator,
            watchers,
            parts.peers.poll_store,
            parts.metrics,
            optional_watchers,
        )
        for thread in (
            *watchers,
            *optional_watchers,
            self._ends_watcher,
            # Ends are confirmed by `JobEnds` instead.
            *guards,
            contact,
            self._relay,
        ):
            stack.enter_context(thread)

    def _on_job_ends_listed(self, documents):
        for document in documents:
            self._parts.batch.note_end(document.name)

    def _on_job_end_changed(self, change):
        if change.document is not None:
            self._parts.batch.note_end(change.name)

    def _start_listeners(self, stack):
        parts = self._parts
        settings = parts.settings
        parts.online = OnlineService(parts)
        listen, limits = settings.listen, settings.limits
        data = DataApplication(parts.online)
        readiness = ReadinessApplication(parts.dialect, self._is_ready)
        addresses = Directory(parts, self._is_ready)
        parts.metrics.observe_directory(lambda: addresses.address_count)
        directory = DirectoryApplication(
            parts.dialect, addresses.addresses, settings.directory_seconds
        )
        metrics = MetricsApplication(parts.metrics, self._status)
        for application, address, threads in (
            (data, listen.data, limits.data_threads),
            (readiness, listen.readiness, AUXILIARY_THREADS),
            (directory, listen.directory, AUXILIARY_THREADS),
            (metrics, settings.metrics, 1),
        ):
            if address is None:
                continue
            listener = Listener(
                catch_errors(application),
                address,
                threads,
                limits,
                parts.dialect.read_deadline,
                parts.client_memory,
            )
            self._listeners.append(stack.enter_context(listener))

    def _status(self):
        status = self._parts.coordinator.ask(GetStatus())
        cache = self._parts.store_cache
        return {
            **status,
            "is_ready": self._is_ready(),
            "is_store_reachable": cache.is_store_reachable,
            "is_store_relayed": self._relay.is_relied_on,
            "jobs": [job._asdict() for job in self._job_registry.summaries()],
        }

    def _is_ready(self):
        return not self._is_leaving and self._parts.store_cache.is_complete

    def _live_nodes(self):
        return self._parts.coordinator.ask(LiveNodes())
