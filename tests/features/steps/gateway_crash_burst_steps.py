"""Steps that drive a gateway's decisions through random bursts of crashes."""

from behave import then
from hypothesis import given as forall
from hypothesis import seed, settings
from hypothesis import strategies as st
from sequoiaglade_gateway.coordinator import Coordinator
from sequoiaglade_gateway.messages import (
    BROKEN,
    NOT_SENT,
    BatchShare,
    BeginRequest,
    CollectLoadReports,
    EndpointsListed,
    FindSchedulers,
    InFlightRequest,
    PeerStatesReceived,
    PlaceRequest,
    RequestEnded,
    Schedule,
)
from sequoiaglade_gateway.settings import GatewaySettings, Listeners

from sequoiaglade_decisions.gateway import (
    RESERVE_SLOTS,
    Batch,
    Endpoint,
    Item,
    ItemOutcome,
    JobSpec,
    NodeState,
    Scheduled,
)

SERVICE = "s"
ATTEMPTS = 3
SLOTS = 4
LARGE_FLEET_PEERS = 13
_ADDRESS = "127.0.0.1:1"


class _Node:
    """A coordinator with one job, whose clock and endpoints the test controls."""

    def __init__(self, item_count, endpoint_count, is_large):
        self.now = 100.0
        listen = dict.fromkeys(Listeners.model_fields, _ADDRESS)
        parts = GatewaySettings(
            node_id="n", failure_domain="d", listen=listen, store={"address": _ADDRESS}
        )
        self.coordinator = Coordinator(parts, 1, clock=lambda: self.now)
        self.peer_count = LARGE_FLEET_PEERS if is_large else 0
        self.sequence = 0
        self.endpoints = [
            Endpoint(f"e{n}", SERVICE, "", "d", SLOTS) for n in range(endpoint_count)
        ]
        self.ask(EndpointsListed(self.endpoints))
        items = tuple(Item(f"i{n}", "/x", (), b"", 1) for n in range(item_count))
        spec = JobSpec("j", "w", "h", "/x", 0.0, "n", items)
        self.batch = Batch(spec, due=18.0)
        self.endpoint_by_item = {}

    def ask(self, message):
        return self.coordinator.on_receive(message)

    def advance(self, seconds):
        """Report loads to the scheduler, let time pass, and hear from the peers."""
        self.ask(CollectLoadReports())
        self.now += seconds
        self.sequence += 1
        # Too few cores to schedule, so that this node is the scheduler.
        states = [
            NodeState(f"p{n}", 1, self.sequence, cores=0.1)
            for n in range(self.peer_count)
        ]
        self.ask(PeerStatesReceived(states))

    def start_item(self):
        """Start an item if there is a slot; return whether one started."""
        progress = self.batch.start_next(self.now)
        if progress is None:
            return False
        item_id = progress.item.item_id
        placed = self._place(PlaceRequest(SERVICE, item_id, is_batch=True))
        if not isinstance(placed, InFlightRequest):
            self._finish(item_id, ItemOutcome.STOPPED)
            return False
        self.endpoint_by_item[item_id] = placed.endpoint.endpoint_id
        return True

    def _place(self, place):
        query = self.ask(FindSchedulers(place.service, place.spread))
        if query is None:
            return self.ask(place)
        schedule = Schedule(query.report, place, query.group, query.group_count)
        placement, _ = self.ask(schedule)
        if isinstance(placement, Scheduled):
            return self.ask(BeginRequest(place, placement.endpoint_id))
        return placement

    def crash(self, endpoint_id):
        """Break the items at an endpoint, and an online request that runs there."""
        online = self._place(PlaceRequest(SERVICE, "online"))
        if isinstance(online, InFlightRequest):
            online_id = online.endpoint.endpoint_id
            self.ask(RequestEnded(online_id, False, BROKEN, "fingerprint"))
        for item_id, found in list(self.endpoint_by_item.items()):
            if found == endpoint_id:
                self._end(item_id, ItemOutcome.BROKEN, BROKEN)

    def refuse_connections(self, endpoint_id):
        """End the items at an endpoint as if no connection had been possible."""
        for item_id, found in list(self.endpoint_by_item.items()):
            if found == endpoint_id:
                self._end(item_id, ItemOutcome.STOPPED, NOT_SENT)

    def _end(self, item_id, item_outcome, outcome):
        endpoint_id = self.endpoint_by_item.pop(item_id)
        self.ask(RequestEnded(endpoint_id, True, outcome))
        self._finish(item_id, item_outcome)

    def _finish(self, item_id, item_outcome):
        self.batch.finish(item_id, item_outcome, ATTEMPTS, self.now)


@then(
    "{calm:d} seconds after any of {count:d} bursts of crashes all items can be started"
)
def check_bursts(context, calm, count):
    event = st.tuples(
        st.floats(0.0, 1.0),
        st.sampled_from(("start", "crash", "refuse")),
        st.integers(0, 3),
    )

    @seed(1)
    @settings(max_examples=count, deadline=None, database=None)
    @forall(
        st.integers(1, 8),
        st.integers(1, 4),
        st.booleans(),
        st.lists(event, max_size=40),
    )
    def check(item_count, endpoint_count, is_large, events):
        node = _Node(item_count, endpoint_count, is_large)
        for seconds, kind, number in events:
            node.advance(seconds)
            endpoint_id = f"e{number % endpoint_count}"
            match kind:
                case "start":
                    while node.start_item():
                        pass
                case "crash":
                    node.crash(endpoint_id)
                case "refuse":
                    node.refuse_connections(endpoint_id)
        for endpoint in node.endpoints:
            node.crash(endpoint.endpoint_id)
        node.advance(calm)
        free = endpoint_count * (SLOTS - RESERVE_SLOTS)
        expected = min(item_count, free)
        assert node.batch.unfinished_count == item_count
        assert node.ask(BatchShare(SERVICE, item_count)) >= expected
        while node.start_item():
            pass
        assert len(node.endpoint_by_item) == expected, node.endpoint_by_item

    check()
