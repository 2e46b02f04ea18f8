"""Several gateways' batch jobs and gossip in one process, with simulated time.

The gateways' parts are the real ones, without threads: a test calls each step. Network,
store, clocks and the runs of items are simulated.
"""

import contextlib
import io
import json
import random
import time
from types import SimpleNamespace

import structlog
from memory_store import MemoryStore, MemoryStoreAccess
from sequoiaglade_gateway.batch import (
    BatchService,
    JobAdopter,
    JobRegistry,
    JobStorage,
    ResultWriter,
)
from sequoiaglade_gateway.batch.adoption import (
    PEER_DISCOVERY_SECONDS,
    SWEEP_INTERVAL_SECONDS,
)
from sequoiaglade_gateway.coordinator import Coordinator
from sequoiaglade_gateway.interface import ReadItem, ReadJob
from sequoiaglade_gateway.messages import (
    FindRunning,
    Leave,
    LiveNodes,
    PeerStatesReceived,
)
from sequoiaglade_gateway.node import Parts, PeerCalls
from sequoiaglade_gateway.peers import FleetServicer, Gossip, PeerClient
from sequoiaglade_gateway.settings import GatewaySettings

from sequoiaglade_decisions.gateway import (
    FleetConfiguration,
    Item,
    ItemOutcome,
    ResultPages,
    Route,
    RouteKind,
    job_holder,
)
from sequoiaglade_node.web import ClientMemory

HOST, PATH = "batch.example", "/jobs/"
# Interval of a gateway's rounds while time passes.
ROUND_SECONDS = 0.2
# Clocks start late enough that times of 0.0 are long past.
START_SECONDS = 1000.0


class SimulatedPeerClient(PeerClient):
    """Calls the servicers of other gateways directly."""

    def __init__(self, simulation, address):
        super().__init__()
        self._simulation = simulation
        self._own_address = address

    def close_unused(self, used_addresses):
        """Keep nothing open."""

    def _call(self, address, name, request, seconds=0.0, is_quiet=False):
        return self._simulation.call(self._own_address, address, name, request)

    _send = _call


class SequentialPool:
    """An executor that runs each call in the calling thread."""

    def map(self, function, arguments):
        return [function(argument) for argument in arguments]

    def shutdown(self, wait=True):
        """End nothing."""


class DirectCoordinator:
    """Handles the coordinator's messages in the calling thread."""

    def __init__(self, settings, incarnation, clock):
        self._actor = Coordinator(settings, incarnation, clock)

    def ask(self, message):
        return self._actor.on_receive(message)

    tell = ask

    def use_older_release(self):
        """Publish states without the fields of later releases."""
        actor = self._actor
        actor._state = actor._state._replace(protocol_revision=0)


class SimulatedGateway:
    """A gateway's parts for batch jobs and gossip.

    `is_running` is False while it is suspended or frozen. Its steady clock stands while
    it is suspended, its boot clock never does.
    """

    def __init__(self, simulation, name, seeds, seconds_behind=0.0):
        self.name = name
        self._seconds_behind = seconds_behind
        self.address = f"{name}:1"
        self._simulation = simulation
        self.is_running = True
        self.is_suspended = False
        self.suspended_seconds = 0.0
        self.store = MemoryStoreAccess(simulation.store, lambda: simulation.now)
        parts = self._make_parts(simulation, seeds)
        runner = SimpleNamespace(running_count=0, stop_job=lambda key: None)
        clock = self._steady_seconds
        self.registry = JobRegistry(lambda: simulation.now)
        storage = JobStorage(self.store, parts.settings.store.value_bytes)
        self.adopter = JobAdopter(parts, self.registry, storage, clock)
        self.writer = ResultWriter(self.registry, storage)
        self.batch = BatchService(parts, self.registry, storage, runner, self.adopter)
        parts.batch = self.batch
        client = SimulatedPeerClient(simulation, self.address)
        self.gossip = Gossip(
            parts,
            client,
            self.registry,
            runner,
            self.note_peer_lost,
            lambda: simulation.now,
            SequentialPool(),
        )
        parts.peers = PeerCalls(client, self.gossip)
        self.servicer = FleetServicer(
            self.gossip,
            parts.store_cache,
            self.registry,
            self.batch,
            None,
            None,
            None,
            forwarder=None,
            updates=None,
        )
        self._parts = parts
        self._is_adoption_due = True
        self._swept_at = simulation.now

    def _make_parts(self, simulation, seeds):
        parts = Parts()
        listen = dict.fromkeys(("data", "readiness", "directory"), "127.0.0.1:1")
        parts.settings = GatewaySettings(
            node_id=self.name,
            failure_domain=simulation.domain_by_name.get(self.name, "d"),
            listen={**listen, "peer": self.address},
            store={"address": "127.0.0.1:2"},
            seeds=seeds,
            region_by_failure_domain=simulation.region_by_domain,
        )
        incarnation = int((simulation.now - self._seconds_behind) * 1000)
        parts.coordinator = DirectCoordinator(
            parts.settings, incarnation, self._steady_seconds
        )
        parts.client_memory = ClientMemory(100_000_000)
        parts.dialect = SimpleNamespace(
            read_items=lambda body: simulation.items,
            results_body=lambda total, after, results: {
                "total": total,
                "results": [list(result) for result in results],
            },
        )
        parts.metrics = SimpleNamespace(count=lambda event, outcome: None)
        parts.store_cache = SimpleNamespace(
            configuration=simulation.configuration,
            version=0,
            is_store_reachable=True,
            lacks_evacuations=False,
        )
        return parts

    @property
    def store_cache(self):
        """The gateway's local copy of the store."""
        return self._parts.store_cache

    def use_store_cache(self, make_cache):
        """Use the cache that a function makes with the coordinator."""
        self._parts.store_cache = make_cache(self._parts.coordinator)
        self.servicer = FleetServicer(
            self.gossip,
            self.store_cache,
            self.registry,
            self.batch,
            None,
            None,
            None,
            forwarder=None,
            updates=None,
        )

    def leave(self):
        """Begin a regular stop, as a gateway does that was asked to."""
        self._parts.coordinator.ask(Leave())

    def use_older_release(self):
        """Act as a release that decides on jobs by itself and keeps no tokens."""
        self._parts.coordinator.use_older_release()

    def _steady_seconds(self):
        return self._simulation.now - self.suspended_seconds

    def note_states(self, states):
        """Learn of the states of further peers."""
        self._parts.coordinator.ask(PeerStatesReceived(states))

    def known_peers(self):
        """Return the names of the peers that this gateway takes for live, sorted."""
        live = self._parts.coordinator.ask(LiveNodes())
        return sorted(state.node_id for state in live)

    def submit(self, job_id):
        """Submit a job of the simulation's items, which is accepted."""
        response = self.send_job(job_id)
        assert response.status == 202, response

    def send_job(self, job_id):
        """Return the response to a job of the simulation's items."""
        call = SimpleNamespace(request_id=job_id, host=HOST, path=PATH + job_id)
        request = SimpleNamespace(
            stream=io.BytesIO(),
            arrived_at=time.monotonic(),
            may_read_body=lambda: True,
            content_length=0,
        )
        with self._simulation.acting(self):
            return self.batch.submit(call, request, self._simulation.route, None)

    def read(self, job_id):
        """Return the results as lists; None if the read is refused for now."""
        call = SimpleNamespace(request_id="r", key=None, path=PATH + job_id)
        with self._simulation.acting(self):
            response = self.batch.handle(
                ReadJob(job_id, 0), call, None, self._simulation.configuration
            )
        if response.status == 503:
            return None
        assert response.status == 200, response
        return json.loads(b"".join(response.body))["results"]

    def holds(self, key):
        """Return whether this gateway holds a job."""
        return self.registry.get(key) is not None

    def finish_item(self, key):
        """Finish the next item of a job that this gateway holds, if there is one."""
        job = self.registry.get(key)
        row = job and job.batch.start_next(self._steady_seconds())
        if row is not None:
            item_id = row.item.item_id
            job.batch.add_event(item_id, 1, f"{item_id} at {self.name}")
            job.batch.finish(item_id, ItemOutcome.DONE, 3, self._steady_seconds())

    def write(self):
        """Write the finished results."""
        with self._simulation.acting(self):
            self.writer.write_waiting()

    def run_round(self):
        """Run a gossip round."""
        with self._simulation.acting(self):
            self.gossip.run_due_round()

    def note_peer_lost(self):
        """Look for jobs without a holder in the next step."""
        self._is_adoption_due = True

    def run_adoption(self):
        """Look for jobs without a holder, if that is due."""
        if self.gossip.seconds_since_resume() < PEER_DISCOVERY_SECONDS:
            return
        with self._simulation.acting(self):
            if self._simulation.now - self._swept_at >= SWEEP_INTERVAL_SECONDS:
                self._swept_at = self._simulation.now
                if self.adopter.is_sweeper():
                    self._is_adoption_due = True
            if self._is_adoption_due:
                self._is_adoption_due = not self.adopter.adopt_orphans()

    def body(self, job_id, item_id):
        """Return the response to a read of an item's body."""
        call = SimpleNamespace(request_id="r", key=None, path=PATH + job_id)
        with self._simulation.acting(self):
            return self.batch.handle(
                ReadItem(job_id, item_id), call, None, self._simulation.configuration
            )

    def running(self):
        """Return the `RunningNodes` that this gateway's directory goes by."""
        return self._parts.coordinator.ask(FindRunning())


class HolderSimulation:
    """Gateways by name, their store and network; a context manager.

    `trace` has what the gateways logged, as triples of time, gateway and event. Calls
    from one gateway to another fail if the pair of their names is in `cut_pairs`; the
    reply is lost if the pair is in `lost_replies`. `calls` has the calls that reached a
    gateway, as triples of caller, callee and name, `body_requests` the requests of
    those that read a body.
    """

    def __init__(
        self,
        names,
        item_count=5,
        waiting_tokens=0,
        domain_by_name=None,
        region_by_domain=None,
    ):
        self.now = START_SECONDS
        self.region_by_domain = region_by_domain or {}
        self.domain_by_name = domain_by_name or {}
        self.store = MemoryStore()
        self.route = Route(
            "jobs",
            HOST,
            PATH,
            RouteKind.BATCH,
            (("s", 1),),
            4.0,
            0.4,
            due_seconds=18.0,
            waiting_tokens=waiting_tokens,
        )
        self.configuration = FleetConfiguration(1, (self.route,), (), ())
        self.items = tuple(
            Item(f"i-{number}", PATH, (), b"body", 100) for number in range(item_count)
        )
        self.cut_pairs = set()
        self.lost_replies = set()
        self.trace = []
        self.calls = []
        self.body_requests = []
        self.gateway_by_name = {}
        self._acting = ""
        self._stack = contextlib.ExitStack()
        self._names = list(names)

    def __enter__(self):
        random.seed(1)
        configuration = structlog.get_config()
        self._stack.callback(structlog.configure, **configuration)
        structlog.configure(processors=[self._record])
        for name in self._names:
            self.add(name)
        return self

    def __exit__(self, *exc_info):
        self._stack.close()

    def add(self, name, seconds_behind=0.0):
        """Start a gateway, in place of the one of this name if there is one.

        Its time of day is `seconds_behind`.
        """
        seeds = tuple(f"{seed}:1" for seed in self._names)
        gateway = SimulatedGateway(self, name, seeds, seconds_behind)
        self.gateway_by_name[name] = gateway
        return gateway

    def configure(self, homes, other_homes=()):
        """Let jobs have these homes by a newer configuration, at all gateways.

        `other_homes` are those of another route.
        """
        self.route = self.route._replace(regions=frozenset(homes))
        other = self.route._replace(
            name="other", prefix="/other/", regions=frozenset(other_homes)
        )
        version = self.configuration.version + 1
        self.configuration = FleetConfiguration(version, (self.route, other), (), ())
        for gateway in self.gateway_by_name.values():
            gateway.store_cache.configuration = self.configuration

    def holders(self, key):
        """Return the running gateways that hold a job."""
        return [gateway for gateway in self.running() if gateway.holds(key)]

    def stored_results(self, key):
        """Return what a gateway without contact to any peer reads, as lists."""
        pages = ResultPages()
        JobStorage(self.store, 0).read_pages(key, pages)
        return [list(result) for result in pages.results]

    def running(self):
        """Return the gateways that run."""
        return [g for g in self.gateway_by_name.values() if g.is_running]

    @contextlib.contextmanager
    def acting(self, gateway):
        """Attribute log entries to a gateway."""
        previous, self._acting = self._acting, gateway.name
        try:
            yield
        finally:
            self._acting = previous

    def call(self, source, target, name, request):
        """Return the reply of a peer call, or None if it failed."""
        caller = self.gateway_by_name[source.partition(":")[0]]
        called = self.gateway_by_name.get(target.partition(":")[0])
        pair = caller.name, target.partition(":")[0]
        if called is None or not called.is_running or pair in self.cut_pairs:
            return None
        self.calls.append((*pair, name))
        if name == "ReadItem":
            self.body_requests.append(request)
        # As gRPC has it: the address of the caller's connection.
        context = SimpleNamespace(peer=lambda: f"ipv4:{caller.name}:50123")
        with self.acting(called):
            reply = getattr(called.servicer, name)(request, context)
        return None if pair in self.lost_replies else reply

    def cut(self, name, others=None):
        """Let all calls between a gateway and others fail."""
        for other in self.gateway_by_name if others is None else others:
            self.cut_pairs |= {(name, other), (other, name)}

    def heal(self, name, others=None):
        """Let calls between a gateway and others succeed again."""
        for other in self.gateway_by_name if others is None else others:
            self.cut_pairs -= {(name, other), (other, name)}

    def suspend(self, name, is_frozen=False):
        """Let a gateway do nothing; its steady clock goes on if it is frozen."""
        gateway = self.gateway_by_name[name]
        gateway.is_running = False
        gateway.is_suspended = not is_frozen

    def resume(self, name):
        """Let a gateway go on."""
        gateway = self.gateway_by_name[name]
        gateway.is_running, gateway.is_suspended = True, False

    def pass_time(self, seconds):
        """Advance the time without any step of a gateway."""
        self.now += seconds
        for gateway in self.gateway_by_name.values():
            if gateway.is_suspended:
                gateway.suspended_seconds += seconds
        self.store.apply_due(self.now)

    def run(self, seconds, round_seconds=ROUND_SECONDS):
        """Advance the time while all gateways gossip and look for jobs."""
        for _ in range(round(seconds / round_seconds)):
            self.pass_time(round_seconds)
            for gateway in self.running():
                gateway.run_round()
                gateway.run_adoption()

    def note(self, *step):
        """Add a step of the test to the trace."""
        self._append("--- " + " ".join(map(str, step)), {})

    def _record(self, logger, method, entry):
        self._append(entry.pop("event"), entry)
        raise structlog.DropEvent

    def _append(self, event, entry):
        at = round(self.now - START_SECONDS, 2)
        self.trace.append((at, self._acting, event, entry))

    def trace_text(self):
        """Return the trace, a line an event."""
        return "\n".join(
            f"{at:7.2f} {name or '-'} {event} "
            + " ".join(f"{k}={v}" for k, v in entry.items())
            for at, name, event, entry in self.trace
        )


def job_id_for(adopter, survivors):
    """Return the id of a job that `adopter` takes over of the surviving gateways."""
    numbers = range(10_000)
    ids = (f"job-{number}" for number in numbers)
    return next(
        job_id
        for job_id in ids
        if job_holder(f".{job_id}", None, {}, survivors) == adopter
    )
