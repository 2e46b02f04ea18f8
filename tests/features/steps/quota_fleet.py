"""A large fleet of coordinators with simulated time, to count admitted requests."""

import heapq
import random
from collections import defaultdict
from types import SimpleNamespace

from sequoiaglade_gateway.access_messages import RequestLimitNamed
from sequoiaglade_gateway.coordinator import Coordinator
from sequoiaglade_gateway.messages import (
    BROKEN,
    DONE,
    BeginRequest,
    CollectLoadReports,
    ConfigurationChanged,
    EndpointsListed,
    GetStatus,
    InFlightRequest,
    LiveNodes,
    PeerStatesReceived,
    PlaceRequest,
    Publish,
    QuotaExceeded,
    RequestEnded,
)
from sequoiaglade_gateway.peers.codec import (
    decode_placement,
    decode_report,
    decode_schedule_request,
    decode_state,
    encode_placement,
    encode_report,
    encode_schedule_request,
    encode_state,
)
from sequoiaglade_gateway.peers.gossip import LARGE_FANOUT, LARGE_ROUND_SECONDS
from sequoiaglade_gateway.peers.limit_codec import (
    decode_permit_request,
    encode_permit_request,
)
from sequoiaglade_gateway.placing import REPORT_INTERVAL_SECONDS, Placer
from sequoiaglade_gateway.settings import GatewaySettings

from sequoiaglade_decisions.gateway import Endpoint, Full, Service, permit_granters

STEP_SECONDS = 0.01
REQUEST_SECONDS = 0.3
SERVICE = "s"
COLD_SECONDS = 600.0


class _Node:
    def __init__(self, fleet, number, incarnation=1):
        self.fleet = fleet
        self.number = number
        self.incarnation = incarnation
        address = f"10.0.0.{number}:7000"
        self.settings = GatewaySettings(
            node_id=f"n{number:02}",
            failure_domain=f"d{number % 4}",
            listen=dict.fromkeys(("data", "readiness", "directory", "peer"), address),
            store={"address": "10.0.1.1:7000"},
            is_first_start=incarnation == 1,
            processor={"share": 1.0, "cores": 2.0 if number % 6 == 0 else 0.5},
            cold_starts=fleet.cold_starts,
            quota_window_seconds=fleet.window_seconds,
        )
        self.address = address
        clock = lambda: fleet.now  # noqa: E731
        self.coordinator = Coordinator(self.settings, incarnation, clock)
        parts = SimpleNamespace(
            settings=self.settings,
            coordinator=self,
            batch=SimpleNamespace(),
            metrics=SimpleNamespace(count=lambda event, outcome: None),
        )
        self.placer = Placer(parts, fleet)
        self.round_at = fleet.now + fleet.random.random() * LARGE_ROUND_SECONDS
        self.ask = self.tell = self.coordinator.on_receive
        self.ask(ConfigurationChanged(fleet.configuration))
        count = fleet.knowing_count
        knows = count is None or number < count
        self.ask(EndpointsListed(fleet.endpoints if knows else fleet.warm_endpoints))

    def digest(self):
        published = self.ask(Publish(0, 0, (), True))
        states = [published.own, *published.others]
        return [decode_state(encode_state(state)) for state in states]

    def run_round(self):
        self.round_at += LARGE_ROUND_SECONDS * (0.8 + 0.4 * self.fleet.random.random())
        live = self.ask(LiveNodes())
        for state in self.fleet.random.sample(live, min(LARGE_FANOUT, len(live))):
            # A node that was killed answers no call.
            if not self.fleet.is_lost(state.peer_address):
                self.exchange(self.fleet.node_by_address[state.peer_address])

    def exchange(self, peer):
        digest, reply = self.digest(), peer.digest()
        peer.ask(PeerStatesReceived(digest))
        self.ask(PeerStatesReceived(reply))

    def send_reports(self):
        for address, report in self.ask(CollectLoadReports()) or ():
            if not self.fleet.is_lost(address):
                received = decode_report(encode_report(report))
                self.fleet.node_by_address[address].placer.receive_report(received)


class QuotaFleet:
    """Nodes that gossip and schedule as a large fleet does; also their peer client.

    Messages between nodes take no time. `admitted_at` has the times of the requests of
    workspace "w" that were sent to an endpoint, `sent_at_by_id` has them by endpoint.
    `limits` are those that endpoints name, in requests a second by id. `cold` is a pair
    of the id of an endpoint that is cold all the time and its `ColdBound`.
    `retry_after` has those of refused requests, in seconds. Only the first
    `knowing_count` nodes read the entry of the cold endpoint, None for all.
    `asked_at` has the times of all requests, `told_by_refused_at` pairs of the time of
    a request beyond the quota and its Retry-After. `window_seconds` is the window of
    the quotas.
    """

    def __init__(
        self,
        node_count,
        rate,
        burst,
        seed=7,
        endpoint_count=60,
        limits=(),
        cold=(None, None),
        knowing_count=None,
        window_seconds=None,
    ):
        self.random = random.Random(seed)
        self.now = 0.0
        self.admitted_at = []
        self.sent_at_by_id = defaultdict(list)
        self.limit_by_id = dict(limits)
        self.asked_count = 0
        self.asked_at = []
        self.told_by_refused_at = []
        self.window_seconds = window_seconds
        self.retry_after = []
        cold_id, bound = cold
        self.cold_starts = None
        services = {}
        if bound is not None:
            self.cold_starts = {"overshoot": bound.overshoot, "slack": bound.slack}
            services = {SERVICE: Service(SERVICE, 0, 0, COLD_SECONDS, bound.rate)}
        self._ends = []
        self._lost_addresses = set()
        workspace = SimpleNamespace(name="w", rate=rate, burst=burst)
        self.configuration = SimpleNamespace(
            version=1,
            workspace_by_name={workspace.name: workspace},
            service_by_name=services,
        )
        self.endpoints = [
            Endpoint(
                f"e{number}",
                SERVICE,
                "",
                f"d{number % 4}",
                8,
                revision=1,
                cold_seconds=COLD_SECONDS if f"e{number}" == cold_id else 0.0,
            )
            for number in range(endpoint_count)
        ]
        self.knowing_count = knowing_count
        self.warm_endpoints = [e._replace(cold_seconds=0.0) for e in self.endpoints]
        self._cold_endpoints = [
            e._replace(cold_seconds=COLD_SECONDS, revision=2) if e[0] == cold_id else e
            for e in self.endpoints
        ]
        self.nodes = [_Node(self, number) for number in range(node_count)]
        self.node_by_address = {node.address: node for node in self.nodes}
        states = [node.digest()[0] for node in self.nodes]
        for node in self.nodes:
            node.ask(PeerStatesReceived(states))

    def is_lost(self, address):
        """Return whether the node at an address was killed."""
        return address in self._lost_addresses

    def kill_scheduler(self):
        """Kill the node that schedules the endpoints."""
        lost = self._schedulers()
        self._lost_addresses |= {node.address for node in lost}
        self.nodes = [node for node in self.nodes if node not in lost]

    def restart_scheduler(self):
        """Replace the node that schedules the endpoints by a new incarnation of it."""
        for node in self._schedulers():
            successor = _Node(self, node.number, node.incarnation + 1)
            self.nodes[self.nodes.index(node)] = successor
            self.node_by_address[node.address] = successor
            self._ends = [row for row in self._ends if row[2] is not node]
            heapq.heapify(self._ends)

    def restart_all(self, seconds):
        """Kill all nodes; new incarnations of them start after some time."""
        self.now += seconds
        self._ends = []
        self.nodes = [
            _Node(self, node.number, node.incarnation + 1) for node in self.nodes
        ]
        self.node_by_address = {node.address: node for node in self.nodes}
        states = [node.digest()[0] for node in self.nodes]
        for node in self.nodes:
            node.ask(PeerStatesReceived(states))

    def play(self, requests_per_second, until):
        """Send requests at a mean rate to random nodes until a time."""
        next_at = self.now
        report_at = self.now
        while self.now < until:
            self.now += STEP_SECONDS
            while self._ends and self._ends[0][0] <= self.now:
                _, _, node, endpoint_id = heapq.heappop(self._ends)
                node.tell(RequestEnded(endpoint_id, False, DONE))
            for node in self.nodes:
                if self.now >= node.round_at:
                    node.run_round()
            if self.now >= report_at:
                report_at += REPORT_INTERVAL_SECONDS
                for node in self.nodes:
                    node.send_reports()
            while next_at < self.now:
                next_at += self.random.expovariate(requests_per_second)
                self._send_request(self.random.choice(self.nodes))

    def schedule(self, address, query, place):
        """Ask the scheduler at an address, as `PeerClient.schedule` does."""
        if self.is_lost(address):
            return None
        request = decode_schedule_request(encode_schedule_request(query, place))
        placement = self.node_by_address[address].placer.schedule(request)
        return decode_placement(encode_placement(placement))

    def take_permit(self, address, notice, is_batch, cold=None):
        """Ask the node at an address, as `PeerClient.take_permit` does."""
        if self.is_lost(address):
            return None
        take = decode_permit_request(encode_permit_request(notice, is_batch, cold))
        return self.node_by_address[address].placer.grant_permit(take)

    def granter(self, endpoint_id):
        """Return the node that grants the permits for an endpoint in a small fleet."""
        ids = [node.settings.node_id for node in self.nodes]
        first = permit_granters(endpoint_id, ids)[0]
        return next(node for node in self.nodes if node.settings.node_id == first)

    def tell_cold(self, node):
        """Let a node read the entry of the cold endpoint."""
        node.ask(EndpointsListed(self._cold_endpoints))

    def fail_at(self, node, endpoint_id):
        """Let a request of a node break its connection to an endpoint."""
        node.ask(BeginRequest(PlaceRequest(SERVICE, endpoint_id), endpoint_id))
        node.tell(RequestEnded(endpoint_id, False, BROKEN))

    def send_at(self, node):
        """Send a request at a node; it ends at once."""
        self._send_request(node)
        while self._ends:
            _, _, sender, endpoint_id = heapq.heappop(self._ends)
            sender.tell(RequestEnded(endpoint_id, False, DONE))

    def _schedulers(self):
        ids = self.nodes[0].ask(GetStatus())["scheduler_by_group"].values()
        return [node for node in self.nodes if node.settings.node_id in ids]

    def _send_request(self, node):
        self.asked_count += 1
        self.asked_at.append(self.now)
        request_id = str(self.asked_count)
        place = PlaceRequest(SERVICE, request_id, workspace="w")
        placed = node.placer.place(place)
        if isinstance(placed, InFlightRequest):
            self.admitted_at.append(self.now)
            endpoint_id = placed.endpoint.endpoint_id
            self.sent_at_by_id[endpoint_id].append(self.now)
            limit = self.limit_by_id.get(endpoint_id)
            if limit is not None:
                node.tell(RequestLimitNamed(endpoint_id, 0, limit, self.now))
            end = self.now + REQUEST_SECONDS
            row = (end, self.asked_count, node, endpoint_id)
            heapq.heappush(self._ends, row)
        elif isinstance(placed, Full):
            self.retry_after.append(placed.retry_after)
        elif isinstance(placed, QuotaExceeded):
            self.told_by_refused_at.append((self.now, placed.retry_after))
