"""Puts a gateway node together and runs it until it is told to stop."""

import contextlib
import random
import time
from typing import Any

import structlog

from sequoiaglade_node.online.hangups import HangupWatcher
from sequoiaglade_node.web import Listener

from .applications import (
    DataApplication,
    DirectoryApplication,
    MetricsApplication,
    ReadinessApplication,
    guarded,
)
from .batch import (
    BatchService,
    ItemRunner,
    JobAdopter,
    JobRegistry,
    JobStorage,
    ResultWriter,
)
from .batch.storage import ENDS_KIND
from .coordinator import Coordinator
from .knowledge import KindWatcher, StoreCache
from .messages import Leave, LiveNodes, View
from .metrics import GatewayMetrics
from .online import BatchPreemptor, OnlineService
from .peers import FleetServicer, Gossip, PeerClient, start_peer_server
from .placing import LoadReporter, Placer

# Callers may keep an address for this many times the told period: the platform's pages.
KEEP_FACTOR = 3
# Time kept for the last steps before the process is killed, in seconds.
EXIT_MARGIN_SECONDS = 0.7
SIDE_THREADS = 4
# Addresses in one answer of the directory: the platform's pages.
ADDRESSES_MAX = 64


class Parts:
    """What the parts of a node share; each is set once while the node starts."""

    settings: Any
    dialect: Any
    store: Any
    coordinator: Any
    store_cache: Any
    hangups: Any
    metrics: Any
    online: Any
    batch: Any
    peers: Any
    placer: Any
    preemptor: Any
    writer: Any


class PeerCalls:
    """Calls of the batch service to peers, and how much of the fleet is heard."""

    def __init__(self, client, gossip):
        self.read_job = client.read_job
        self.read_item = client.read_item
        self.end_job = client.end_job
        self.holds_job = client.holds_job
        self.store_job = client.store_job
        self.live_node_fraction = gossip.live_node_fraction
        self.is_exclusive = gossip.is_exclusive
        self.seconds_since_resume = gossip.seconds_since_resume


class GatewayNode:
    """All parts of a running gateway; a context manager that starts and stops them."""

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
            self._start_decisions(stack)
            self._start_batch(stack)
            self._start_watches(stack)
            self._start_listeners(stack)
            self._stack = stack.pop_all()
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
        """Leave: take no new callers and jobs, finish what runs, hand over the rest."""
        started_at = time.monotonic()
        settings = self._parts.settings
        kill_at = started_at + settings.grace_seconds - EXIT_MARGIN_SECONDS
        structlog.get_logger().info("node leaves")
        self._is_leaving = True
        self._parts.coordinator.tell(Leave())
        self._runner.is_leaving = True
        self._adoption.is_leaving = True
        data = self._listeners[0]
        data.close_after_answers()
        kept = started_at + KEEP_FACTOR * settings.directory_seconds
        time.sleep(max(0.0, min(kept, kill_at) - time.monotonic()))
        data.stop_accepting()
        self._finish_items(kill_at)
        data.wait_until_idle(kill_at)
        self._writer.write_waiting()
        self._parts.coordinator.tell(Leave(is_gone=True))
        self._gossip.run_round(len(self._live()))

    def reload(self, settings):
        """Take changed settings as far as they can change while the node runs."""
        before = self._parts.settings
        self._parts.settings = before.model_copy(update={"seeds": settings.seeds})
        structlog.get_logger().info("settings reloaded", seeds=list(settings.seeds))

    def _finish_items(self, kill_at):
        while self._runner.running_count and time.monotonic() < kill_at - 0.5:
            time.sleep(0.05)
        self._runner.stop_all()

    def _start_decisions(self, stack):
        parts = self._parts
        incarnation = int(time.time() * 1000)
        actor = Coordinator.start(parts.settings, incarnation)
        stack.callback(actor.stop, block=False)
        parts.coordinator = actor
        parts.store_cache = StoreCache(parts.dialect, actor)
        parts.metrics = stack.enter_context(GatewayMetrics(parts.settings.node_id))
        parts.hangups = stack.enter_context(HangupWatcher())

    def _start_batch(self, stack):
        parts = self._parts
        board = self._board = JobRegistry()
        storage = JobStorage(parts.store, parts.settings.store.value_bytes)
        self._runner = ItemRunner(parts, board)
        self._adoption = JobAdopter(parts, board, storage)
        self._writer = parts.writer = ResultWriter(board, storage)
        parts.batch = BatchService(parts, board, storage, self._runner, self._adoption)
        client = stack.enter_context(PeerClient())
        parts.placer = Placer(parts, client)
        self._gossip = Gossip(parts, client, board, self._runner, self._adoption.wake)
        parts.peers = PeerCalls(client, self._gossip)
        servicer = FleetServicer(
            self._gossip, parts.store_cache, board, parts.batch, parts.placer
        )
        start_peer_server(stack, parts.settings.listen.peer, servicer)
        parts.preemptor = BatchPreemptor(parts, client.ask_to_yield)
        for thread in (
            parts.preemptor,
            self._gossip,
            self._runner,
            self._writer,
            self._adoption,
            LoadReporter(parts, client),
        ):
            stack.enter_context(thread)

    def _start_watches(self, stack):
        parts = self._parts
        knowledge = parts.store_cache
        kinds = parts.dialect.kinds
        watchers = (
            KindWatcher(
                parts.store,
                kinds.configuration,
                knowledge.configurations_listed,
                knowledge.configuration_changed,
            ),
            KindWatcher(
                parts.store,
                kinds.endpoints,
                knowledge.endpoints_listed,
                knowledge.endpoint_changed,
                knowledge.endpoints_reachable,
            ),
            KindWatcher(parts.store, ENDS_KIND, self._ends_listed, self._ends_changed),
        )
        for watcher in watchers:
            stack.enter_context(watcher)

    def _ends_listed(self, documents):
        for document in documents:
            self._parts.batch.note_end(document.name)

    def _ends_changed(self, change):
        if change.document is not None:
            self._parts.batch.note_end(change.name)

    def _start_listeners(self, stack):
        parts = self._parts
        settings = parts.settings
        parts.online = OnlineService(parts)
        listen, limits = settings.listen, settings.limits
        data = DataApplication(parts.online)
        readiness = ReadinessApplication(parts.dialect, self._is_ready)
        directory = DirectoryApplication(
            parts.dialect, self._addresses, settings.directory_seconds
        )
        metrics = MetricsApplication(parts.metrics, self._status)
        for application, address, threads in (
            (data, listen.data, limits.data_threads),
            (readiness, listen.readiness, SIDE_THREADS),
            (directory, listen.directory, SIDE_THREADS),
            (metrics, settings.metrics, 1),
        ):
            if address is None:
                continue
            listener = Listener(guarded(application), address, threads, limits)
            self._listeners.append(stack.enter_context(listener))

    def _status(self):
        view = self._parts.coordinator.ask(View())
        knowledge = self._parts.store_cache
        return {
            **view,
            "is_ready": self._is_ready(),
            "is_store_reachable": knowledge.is_store_reachable,
            "jobs": [note._asdict() for note in self._board.summaries()],
        }

    def _is_ready(self):
        return not self._is_leaving and self._parts.store_cache.is_complete

    def _live(self):
        return self._parts.coordinator.ask(LiveNodes())

    def _addresses(self):
        addresses = [
            state.data_address
            for state in self._live()
            if not state.is_leaving and state.configuration_version
        ]
        if self._is_ready():
            addresses.append(self._parts.settings.listen.data)
        if len(addresses) > ADDRESSES_MAX:
            addresses = random.sample(addresses, ADDRESSES_MAX)
        return sorted(addresses)
