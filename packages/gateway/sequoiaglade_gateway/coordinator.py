"""The actor that owns a node's state of endpoints, peers, quotas and loads."""

import time

import pykka

from sequoiaglade_decisions.gateway import (
    DEFAULT_SLOTS,
    PROTOCOL_REVISION,
    EndpointDirectory,
    EndpointLoads,
    NodeState,
    NodeTable,
    Scheduled,
    batch_allowance,
    batch_targets,
    running_nodes,
)

from . import messages
from .access_messages import (
    ColdResponse,
    ConnectionTried,
    FindAnyEndpoint,
    FindEndpoint,
    FindForwarders,
    FindPermitGranters,
    PermitDenied,
    RequestLimitNamed,
    TakePermit,
)
from .admission import FleetAdmission
from .crash_blame import CrashBlame
from .endpoint_pacing import FleetPacing
from .evacuation_messages import (
    EvacuationChanged,
    EvacuationsListed,
    FindEvacuated,
    IsEvacuated,
)
from .evacuations import FleetEvacuations
from .messages import (
    AcceptsRequests,
    BatchPeers,
    BatchShare,
    BeginRequest,
    CollectLoadReports,
    ConfigurationChanged,
    EndpointAnswered,
    EndpointChanged,
    EndpointLeaving,
    EndpointListReachable,
    EndpointSilent,
    EndpointsListed,
    EventIntervalObserved,
    FindPartRefusal,
    FindRunning,
    FindSchedulers,
    FindStoreFollowers,
    FindTokenKeepers,
    GetStatus,
    HolderPeers,
    IsQuarantined,
    Leave,
    LiveNodeFraction,
    LiveNodes,
    LoadReportReceived,
    PartsAnswered,
    PeerStatesReceived,
    PlaceRequest,
    PossibleHolders,
    Publish,
    Published,
    RequestEnded,
    RunningNodes,
    Schedule,
)
from .pace_messages import FirstEventObserved, WorkTimeNamed
from .reach import FleetReach
from .regions import FleetRegions
from .request_limits import FleetRequestLimits
from .requests_in_flight import RequestsInFlight
from .scheduling import FleetScheduling
from .store_followers import FleetStoreFollowers
from .token_keepers import FleetTokenKeepers
from .version_messages import (
    FindRecentVersions,
    FindRunKeepers,
    FindStreamKeepers,
    UsableVersions,
    VersionsRecalled,
)
from .versions import FleetVersions

# States of peers that arrived within this time are relayed to others.
RELAY_MAX_AGE_SECONDS = 1.0
# The same in a large fleet: the longest interval of a node's rounds, which includes the
# time-out of a call, so that each state is relayed in one of them at least.
RELAY_MAX_AGE_SECONDS_LARGE = 1.6
# In a small fleet each node exchanges states with all others directly, so that only
# each n-th message relays the states of others, for nodes that can't reach each other.
MESSAGES_PER_RELAY = 8
# In a large fleet a state omits the workspaces without a request within this time; a
# node that missed a round receives their counts in a later one.
ADMITTED_WINDOW_SECONDS = 5.0
# In a large fleet replies repeat a state that is younger than this, so that peers
# decode and merge about one state a second of each node.
REPUBLISH_SECONDS = 0.5


class Coordinator(pykka.ThreadingActor):
    """Owns the decision logic of a gateway; handles each message in microseconds."""

    use_daemon_thread = True

    def __init__(self, settings, incarnation, clock=time.monotonic, count=None):
        super().__init__()
        self._settings = settings
        self._clock = clock
        self._directory = EndpointDirectory(settings.drain_milliseconds / 1000)
        self._pacing = FleetPacing(settings.endpoint_pacing, count)
        self._loads = EndpointLoads(settings.failure_domain, self._pacing.paces)
        self._nodes = NodeTable(settings.node_id)
        self._admission = FleetAdmission(settings, self._nodes, clock())
        self._regions = FleetRegions(settings)
        self._reach = FleetReach(self._directory, self._nodes, self._regions)
        self._versions = FleetVersions(
            lambda: self._state, self._directory, self._nodes
        )
        self._blame = CrashBlame(settings.node_id, self._directory, self._nodes)
        self._published_at = float("-inf")
        self._active_configuration = (None, None)
        self._state = NodeState(
            node_id=settings.node_id,
            incarnation=incarnation,
            sequence=0,
            data_address=settings.listen.data,
            peer_address=settings.listen.peer,
            failure_domain=settings.failure_domain,
            cores=settings.processor.share * settings.processor.cores,
            protocol_revision=PROTOCOL_REVISION,
        )
        self._scheduling = FleetScheduling(
            lambda: self._state,
            self._directory,
            self._nodes,
            self._loads,
            self._admission.quotas,
            self._pacing.paces,
            self._regions,
        )
        self._limits = FleetRequestLimits(
            settings,
            lambda: self._state,
            self._directory,
            self._nodes,
            self._scheduling,
            self._admission.share,
        )
        self._requests = RequestsInFlight(
            settings,
            self._directory,
            self._regions,
            self._loads,
            self._pacing,
            self._scheduling,
            self._limits,
            self._admission,
            self._blame,
        )
        self._evacuations = FleetEvacuations(
            settings, self._directory, self._nodes, self._pacing.note_return
        )
        self._followers = FleetStoreFollowers(lambda: self._state, self._nodes)
        self._keepers = FleetTokenKeepers(
            lambda: self._state,
            self._nodes,
            self._limits.is_settled,
            self._admission.share,
        )

    def on_receive(self, message):
        """Handle one of the messages of `messages` and return its reply."""
        now = self._clock()
        match message:
            case IsQuarantined(fingerprint):
                return self._blame.is_quarantined(fingerprint, now)
            case FindPartRefusal():
                return self._blame.find_part_refusal(message, now)
            case EndpointAnswered(endpoint_id, _, sent_at):
                if not self._reach.is_cut_off:
                    self._limits.cold.note_own_answer(endpoint_id, sent_at, now)
                return self._blame.note_endpoint_answer(message)
            case PartsAnswered():
                return self._blame.note_answer(message, now)
            case PlaceRequest():
                return self._requests.place(message, now)
            case FindSchedulers(service, spread):
                return self._scheduling.find_schedulers(service, spread, now)
            case Schedule():
                return self._schedule(message, now)
            case BeginRequest():
                return self._requests.begin_scheduled(message, now)
            case FindStoreFollowers():
                return self._followers.find(now)
            case FindTokenKeepers(workspace):
                return self._keepers.find(workspace, now)
            case CollectLoadReports():
                self._pacing.log_changes(now)
                return self._scheduling.collect_reports(now)
            case LoadReportReceived(report):
                return self._receive_report(report, now)
            case RequestEnded():
                return self._requests.end(message, now)
            case AcceptsRequests(endpoint_id, regions):
                return self._requests.accepts(endpoint_id, regions, now)
            case EndpointLeaving(endpoint_id, born):
                return self._directory.note_leaving(endpoint_id, born, now)
            case (
                RequestLimitNamed()
                | FindPermitGranters()
                | TakePermit()
                | PermitDenied()
                | ColdResponse()
            ):
                return self._limits.handle(message, now)
            case FindEndpoint(endpoint_id):
                return self._requests.find_endpoint(endpoint_id, now)
            case FindForwarders() | FindAnyEndpoint() | ConnectionTried():
                return self._reach.handle(message, now)
            case FirstEventObserved() | WorkTimeNamed():
                return self._pacing.handle(message, now, self._loads, self._scheduling)
            case EndpointSilent(endpoint_id):
                self._pacing.paces.note_silence(endpoint_id, now)
                self._scheduling.note_end(endpoint_id, messages.SILENT)
                return self._loads.health.note_silence(endpoint_id, now)
            case EventIntervalObserved(endpoint_id, seconds):
                ratio = self._loads.health.interval_ratio(seconds)
                self._pacing.paces.note_interval(endpoint_id, ratio, now)
                self._scheduling.note_end(endpoint_id, "", seconds)
                return self._loads.health.note_pace(endpoint_id, seconds)
            case (
                UsableVersions()
                | FindRunKeepers()
                | FindStreamKeepers()
                | FindRecentVersions()
                | VersionsRecalled()
            ):
                return self._versions.handle(message, now)
            case Publish():
                return self._publish(message, now)
            case PeerStatesReceived(states, age_by_id):
                return self._receive_states(states, age_by_id, now)
            case BatchPeers(endpoint_id):
                return self._batch_peers(endpoint_id, now)
            case LiveNodes(within):
                return self._nodes.live(now, within)
            case FindRunning():
                stable_seconds = self._settings.stable_milliseconds / 1000
                return RunningNodes(*running_nodes(self._nodes, now, stable_seconds))
            case PossibleHolders():
                known = [s.node_id for s in self._nodes.possible_holders(now)]
                lost, share = self._nodes.lost(now), self._nodes.heard_share(now)
                return HolderPeers(known, lost, share)
            case LiveNodeFraction():
                return self._admission.share(now)
            case BatchShare():
                return self._batch_share(message, now)
            case ConfigurationChanged(configuration):
                return self._configure(configuration, now)
            case EndpointsListed(endpoints):
                self._pacing.note_list(endpoints, now)
                self._limits.cold.note_entries(endpoints, now)
                self._directory.replace(endpoints, now)
                return self._evacuations.note_endpoints_listed(now)
            case (
                EvacuationsListed()
                | EvacuationChanged()
                | IsEvacuated()
                | FindEvacuated()
            ):
                return self._evacuations.handle(message, now)
            case EndpointChanged(endpoint_id, None):
                self._pacing.paces.note_unlisted(endpoint_id)
                self._pacing.paces.forget_unlisted(self._directory.endpoints())
                return self._directory.remove(endpoint_id, now)
            case EndpointChanged(_, endpoint):
                self._pacing.note_endpoint(endpoint, now)
                self._limits.cold.note_entries([endpoint], now)
                return self._directory.put(endpoint, now)
            case EndpointListReachable(True):
                return self._directory.note_recovery(now)
            case EndpointListReachable(False):
                return self._directory.note_outage()
            case Leave(is_gone):
                self._state = self._state._replace(is_leaving=True, is_gone=is_gone)
                self._published_at = float("-inf")
                return None
            case GetStatus():
                return self._status(now)

    def _schedule(self, message, now):
        """Place a request as a scheduler, without a count among this node's requests.

        Return the placement, and the peer address of the node to be preempted.
        """
        report, workspace = message.report, message.place.workspace
        self._receive_report(report, now)
        refusal = self._admission.check(message.place, now, message.group_count)
        if refusal is not None:
            return refusal, None
        placement = self._scheduling.schedule(message, now, self._limits)
        is_peer = report.node_id != self._settings.node_id
        if isinstance(placement, Scheduled) and workspace is not None and is_peer:
            self._admission.note_peer_admitted(report, workspace, now)
        address = None
        if isinstance(placement, Scheduled) and placement.preempted_node is not None:
            state = self._nodes.state(placement.preempted_node)
            address = state.peer_address if state else self._settings.listen.peer
        return placement, address

    def _receive_report(self, report, now):
        self._scheduling.receive_report(report, now)
        if report.node_id != self._settings.node_id:
            for result in report.results:
                self._limits.note_result(result, now)
            self._admission.receive_report(report, now)

    def _batch_peers(self, endpoint_id, now):
        if self._nodes.is_large:
            return []
        states = map(self._nodes.state, self._loads.batch_nodes(endpoint_id, now))
        return [state.peer_address for state in states if state is not None]

    def _configure(self, configuration, now):
        self._active_configuration = (configuration.version, now)
        self._state = self._state._replace(configuration_version=self._told_version)
        self._limits.cold.configure(configuration.service_by_name)
        self._admission.configure(configuration, now)

    @property
    def _told_version(self):
        """The configuration version for peers; they name no node without one."""
        version, _ = self._active_configuration
        return version if version and self._evacuations.is_known else 0

    def _publish(self, message, now):
        is_large = self._loads.is_fleet_large = self._nodes.is_large
        if not (is_large and self._is_published(message, now)):
            self._renew_state(message, is_large, now)
        others = []
        if is_large or self._state.sequence % MESSAGES_PER_RELAY == 0:
            others = self._nodes.heard_within(now, relay_seconds(is_large))
        others += self._nodes.later_starts(*message.recipient)
        is_busy = self._loads.is_busy(now)
        age_by_id = {}
        if is_large:
            age_by_id = self._nodes.ages(others, now)
        return Published(self._state, others, is_busy, is_large, age_by_id)

    def _is_published(self, message, now):
        """Return whether the own state was published lately, for a reply to a peer."""
        recipient_id, _ = message.recipient
        keys = {job.job_key for job in message.jobs}
        return (
            recipient_id
            and now - self._published_at < REPUBLISH_SECONDS
            and self._state.is_store_reachable == message.is_store_reachable
            and {job.job_key for job in self._state.jobs} == keys
        )

    def _renew_state(self, message, is_large, now):
        self._published_at = now
        quotas = self._admission.quotas
        admitted = quotas.admitted()
        is_admitted_complete = not (
            is_large and self._state.sequence % MESSAGES_PER_RELAY
        )
        if not is_admitted_complete:
            admitted = quotas.admitted_since(now, ADMITTED_WINDOW_SECONDS)
        state = self._state._replace(
            sequence=self._state.sequence + 1,
            configuration_version=self._told_version,
            load_by_endpoint=self._loads.own(),
            admitted_by_workspace=admitted,
            is_admitted_complete=is_admitted_complete,
            batch_backlog=message.batch_backlog,
            batch_running=message.batch_running,
            jobs=message.jobs,
            is_store_reachable=message.is_store_reachable,
            request_limits=self._limits.notices(now),
            cold_endpoints=self._limits.cold_reports(now),
            is_cut_off=self._reach.is_cut_off,
            paces=() if is_large else self._pacing.paces.shared(now),
        )
        self._state = self._blame.add_to(state, now)

    def _receive_states(self, states, age_by_id, now):
        """Merge states that a peer sent; return those that are new."""
        new_states = []
        self._state = self._nodes.renewed(self._state, states)
        for state in states:
            age = age_by_id.get(state.node_id, 0.0)
            if not self._nodes.observe_state(state, now, age):
                continue
            new_states.append(state)
            self._loads.update_peer(state.node_id, state.load_by_endpoint, now)
            self._admission.receive_state(state, now)
            self._blame.receive(state, now)
            if state.request_limits or state.cold_endpoints:
                self._limits.receive(state, now)
            if state.paces:
                self._pacing.paces.adopt(state.paces, now)
        return new_states

    def _batch_share(self, message, now):
        if self._nodes.is_large:
            # Schedulers place each item and count the free slots.
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

    def _status(self, now):
        version, set_at = self._active_configuration
        return {
            "configuration": {
                "version": version,
                "age_seconds": None if version is None else round(now - set_at, 3),
            },
            "endpoints": [e._asdict() for e in self._directory.endpoints()],
            "request_limit_by_endpoint": self._limits.limited(),
            "pace_limit_by_endpoint": self._pacing.paces.status(now),
            "cold_endpoints": self._limits.cold.status(
                self._directory.endpoints(), now
            ),
            "in_flight_by_endpoint": self._loads.own(),
            "scheduler_by_group": self._scheduling.schedulers(now),
            "is_cut_off": self._reach.is_cut_off,
            "peers": [s.node_id for s in self._nodes.live(now)],
            # Renewed, so that it is that of the nodes that are shown beside it.
            "quota_share": self._admission.renew_share(now),
            "rate_burst_level_by_workspace": self._admission.quotas.levels(),
            "refused_prompt_parts": self._blame.status(now),
            "evacuations": self._evacuations.status(now),
        }


def relay_seconds(is_large):
    """Return for how long states are relayed after their arrival."""
    return RELAY_MAX_AGE_SECONDS_LARGE if is_large else RELAY_MAX_AGE_SECONDS
