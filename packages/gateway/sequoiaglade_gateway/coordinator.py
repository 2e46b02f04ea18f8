"""The actor that owns what a node knows of endpoints, peers, quotas and loads."""

import time

import pykka
import structlog

from sequoiaglade_decisions.gateway import (
    DEFAULT_SLOTS,
    RESERVE_SLOTS,
    EndpointDirectory,
    EndpointLoads,
    FleetQuotas,
    Full,
    NodeState,
    NodeTable,
    Placed,
    Quarantine,
    Scheduled,
    batch_allowance,
    batch_targets,
)

from . import messages
from .messages import (
    Admit,
    AskScheduler,
    BatchPeers,
    BatchShare,
    Begin,
    Configured,
    EndpointChanged,
    EndpointsListed,
    EventIntervalObserved,
    Heard,
    HeardShare,
    HearReport,
    InFlightRequest,
    KnownNodes,
    Leave,
    ListReachable,
    LiveNodes,
    PlaceRequest,
    Publish,
    Published,
    Quarantined,
    QuotaExceeded,
    RequestEnded,
    Schedule,
    TakeReports,
    View,
)
from .scheduling import FleetScheduling

# States of peers heard in this time are passed on to others, in seconds.
RELAY_SECONDS = 1.0
# In a small fleet, where each node hears of all others directly, what others told is
# passed on with each n-th message only, for those that are cut apart.
RELAY_EACH = 8
# In a large fleet a state leaves out the workspaces without a request in this time, in
# seconds; a node that missed a round hears of them in the next.
ADMITTED_SECONDS = 5.0


class Coordinator(pykka.ThreadingActor):
    """Owner of the decision machines; every message is answered in microseconds."""

    use_daemon_thread = True

    def __init__(self, settings, incarnation, clock=time.monotonic):
        super().__init__()
        self._settings = settings
        self._clock = clock
        self._log = structlog.get_logger()
        self._directory = EndpointDirectory()
        self._loads = EndpointLoads(settings.failure_domain)
        self._quotas = FleetQuotas(settings.is_first_start)
        self._quarantine = Quarantine()
        self._nodes = NodeTable(settings.node_id)
        self._configured = (None, None)
        self._state = NodeState(
            node_id=settings.node_id,
            incarnation=incarnation,
            sequence=0,
            data_address=settings.listen.data,
            peer_address=settings.listen.peer,
            failure_domain=settings.failure_domain,
            cores=settings.processor.share * settings.processor.cores,
        )
        self._scheduling = FleetScheduling(
            lambda: self._state, self._directory, self._nodes, self._loads
        )

    def on_receive(self, message):
        """Answer one of the messages of this module."""
        now = self._clock()
        match message:
            case Admit():
                return self._admit(message, now)
            case PlaceRequest():
                return self._place(message, now)
            case AskScheduler(service, spread):
                return self._scheduling.question(service, spread, now)
            case Schedule():
                return self._schedule(message, now)
            case Begin():
                return self._begin_scheduled(message, now)
            case TakeReports():
                return self._scheduling.reports(now)
            case HearReport(report):
                return self._scheduling.hear(report, now)
            case RequestEnded():
                return self._end(message, now)
            case EventIntervalObserved(endpoint_id, seconds):
                self._scheduling.note_end(endpoint_id, "", seconds)
                return self._loads.health.note_pace(endpoint_id, seconds)
            case Publish():
                return self._publish(message, now)
            case Heard(states):
                return self._hear(states, now)
            case BatchPeers(endpoint_id):
                return self._batch_peers(endpoint_id, now)
            case LiveNodes(within):
                return self._nodes.live(now, within)
            case KnownNodes():
                return [state.node_id for state in self._nodes.known(now)]
            case HeardShare():
                return self._share(now)
            case BatchShare():
                return self._batch_share(message, now)
            case Configured(configuration):
                return self._configure(configuration, now)
            case EndpointsListed(endpoints):
                return self._directory.replace(endpoints, now)
            case EndpointChanged(endpoint_id, None):
                return self._directory.remove(endpoint_id, now)
            case EndpointChanged(_, endpoint):
                return self._directory.put(endpoint)
            case ListReachable(True):
                return self._directory.note_recovery(now)
            case ListReachable(False):
                return self._directory.note_outage()
            case Leave(is_gone):
                self._state = self._state._replace(is_leaving=True, is_gone=is_gone)
                return None
            case View():
                return self._view(now)

    def _admit(self, message, now):
        if self._quarantine.is_quarantined(message.fingerprint, now):
            return Quarantined()
        if message.workspace is None:
            return None
        share = self._share(now)
        wait = self._quotas.take(message.workspace, now, share)
        return None if wait is None else QuotaExceeded(wait, share)

    def _share(self, now):
        least = 1 + sum(s != self._settings.listen.peer for s in self._settings.seeds)
        return self._nodes.quota_share(now, least)

    def _place(self, message, now):
        if message.is_batch:
            return self._place_batch(message, now)
        endpoints = self._directory.usable(message.service, now)
        choice = self._loads.choose(
            endpoints, now, message.spread, message.excluded, message.headroom
        )
        match choice:
            case Full():
                return choice
            case Placed(endpoint_id, preempts):
                return self._begin(endpoint_id, preempts, False, now)

    def _place_batch(self, message, now):
        endpoints = self._directory.usable(message.service, now)
        endpoint_id = self._loads.choose_for_batch(
            endpoints, now, RESERVE_SLOTS, message.spread
        )
        if endpoint_id is None:
            return None
        return self._begin(endpoint_id, False, True, now)

    def _schedule(self, message, now):
        """Return the placement, and the peer address of a node that is to yield."""
        placement = self._scheduling.schedule(message, now)
        address = None
        if isinstance(placement, Scheduled) and placement.preempted_node is not None:
            state = self._nodes.state(placement.preempted_node)
            address = state.peer_address if state else self._settings.listen.peer
        return placement, address

    def _begin_scheduled(self, message, now):
        endpoint = self._directory.get(message.endpoint_id, now)
        if endpoint is None or endpoint.is_draining:
            return None
        is_batch = message.place.is_batch
        return self._begin(message.endpoint_id, False, is_batch, now)

    def _batch_peers(self, endpoint_id, now):
        if self._nodes.is_large:
            return []
        states = map(self._nodes.state, self._loads.batch_nodes(endpoint_id, now))
        return [state.peer_address for state in states if state is not None]

    def _begin(self, endpoint_id, preempts, is_batch, now):
        self._loads.begin(endpoint_id, is_batch)
        self._scheduling.note_begin()
        in_flight = sum(self._loads.counts(endpoint_id, now))
        endpoint = self._directory.get(endpoint_id, now)
        return InFlightRequest(endpoint, preempts, in_flight)

    def _end(self, message, now):
        endpoint_id = message.endpoint_id
        self._loads.end(endpoint_id, message.is_batch)
        self._scheduling.note_end(endpoint_id, message.outcome)
        match message.outcome:
            case messages.DONE:
                self._loads.health.note_success(endpoint_id)
            case messages.NOT_SENT:
                self._note_failure(endpoint_id, now)
            case messages.REFUSED:
                self._loads.health.note_full(endpoint_id, now)
            case messages.BROKEN:
                self._note_failure(endpoint_id, now)
                self._note_crash(message, now)

    def _note_failure(self, endpoint_id, now):
        self._loads.health.note_failure(endpoint_id, now)
        self._log.info("endpoint avoided", endpoint_id=endpoint_id)

    def _note_crash(self, message, now):
        if not message.fingerprint:
            return
        endpoint = self._directory.get(message.endpoint_id, now)
        born = endpoint.born if endpoint else 0
        key = f"{message.endpoint_id}/{born}"
        self._quarantine.note_crash(message.fingerprint, key, now, is_local=True)

    def _configure(self, configuration, now):
        self._configured = (configuration.version, now)
        self._state = self._state._replace(configuration_version=configuration.version)
        self._quotas.configure(
            {
                w.name: (w.rate, w.burst)
                for w in configuration.workspace_by_name.values()
            },
            now,
        )

    def _publish(self, message, now):
        is_large = self._loads.is_fleet_large = self._nodes.is_large
        admitted = self._quotas.admitted()
        if is_large and self._state.sequence % RELAY_EACH:
            admitted = self._quotas.admitted_since(now, ADMITTED_SECONDS)
        self._state = self._state._replace(
            sequence=self._state.sequence + 1,
            load_by_endpoint=self._loads.own(),
            admitted_by_workspace=admitted,
            batch_backlog=message.batch_backlog,
            batch_running=message.batch_running,
            jobs=message.jobs,
            is_store_reachable=message.is_store_reachable,
            crashes=tuple(self._quarantine.crashes(now)),
        )
        others = []
        if is_large or self._state.sequence % RELAY_EACH == 0:
            others = self._nodes.heard_within(now, RELAY_SECONDS)
        is_busy = self._loads.is_busy(now)
        return Published(self._state, others, is_busy, is_large)

    def _hear(self, states, now):
        """Take states; return those that were news."""
        news = []
        for state in states:
            if not self._nodes.observe_state(state, now):
                continue
            news.append(state)
            share = self._share(now)
            self._loads.update_peer(state.node_id, state.load_by_endpoint, now)
            self._quotas.update_peer(
                state.node_id,
                state.incarnation,
                state.admitted_by_workspace,
                now,
                share,
            )
            for fingerprint, key, age in state.crashes:
                self._quarantine.note_crash(fingerprint, key, now - age)
        return news

    def _batch_share(self, message, now):
        if self._nodes.is_large:
            # Each item is placed by a scheduler, which knows what is free.
            return message.backlog
        free_by_endpoint = {}
        for endpoint in self._directory.usable(message.service, now):
            if self._loads.health.is_available(endpoint.endpoint_id, now):
                online, _ = self._loads.counts(endpoint.endpoint_id, now)
                free = (endpoint.slots or DEFAULT_SLOTS) - online
                free_by_endpoint[endpoint.endpoint_id] = free
        backlog_by_node = {s.node_id: s.batch_backlog for s in self._nodes.live(now)}
        backlog_by_node[self._settings.node_id] = message.backlog
        targets = batch_targets(batch_allowance(free_by_endpoint), backlog_by_node)
        return targets[self._settings.node_id]

    def _view(self, now):
        version, taken_at = self._configured
        return {
            "configuration": {
                "version": version,
                "age_seconds": None if version is None else round(now - taken_at, 3),
            },
            "endpoints": [e._asdict() for e in self._directory.endpoints()],
            "in_flight_by_endpoint": self._loads.own(),
            "scheduler_by_group": self._scheduling.schedulers(now),
            "peers": [s.node_id for s in self._nodes.live(now)],
            "quota_share": self._share(now),
            "rate_burst_level_by_workspace": self._quotas.levels(),
        }
