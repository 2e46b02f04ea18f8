"""The coordinator's part in software versions: who keeps and records them."""

from sequoiaglade_decisions.gateway import stream_keepers

from .version_messages import (
    FindRecentVersions,
    FindRunKeepers,
    FindStreamKeepers,
    RecentServiceVersions,
    StreamKeepers,
    UsableVersions,
    VersionsRecalled,
)


class FleetVersions:
    """Versions of services, and the nodes that keep those of streams.

    The coordinator owns it; it reads the coordinator's directory and nodes.
    """

    def __init__(self, own_state, directory, nodes):
        self._get_own_state = own_state
        self._directory = directory
        self._nodes = nodes
        self._is_history_known = False

    def handle(self, message, now):
        """Handle one of the messages about versions and return its reply."""
        match message:
            case UsableVersions(service):
                return {e.version for e in self._directory.usable(service, now)}
            case FindStreamKeepers():
                return self._find_keepers(message, now)
            case FindRunKeepers():
                return self._find_run_keepers(message, now)
            case FindRecentVersions():
                return self._find_recent(now)
            case VersionsRecalled(versions_by_service):
                for service, versions in versions_by_service.items():
                    self._directory.recall_versions(service, versions, now)
                self._is_history_known = True
                return None

    def _find_run_keepers(self, message, now):
        if len(self._directory.recent_versions(message.service, now)) < 2:
            return {}
        live = self._nodes.live(now)
        return {
            run_id: [
                (state.peer_address, state.incarnation)
                for state in self._keepers(stream_id, live)
            ]
            for run_id, stream_id in message.stream_id_by_run.items()
        }

    def _keepers(self, stream_id, live):
        """Return the states of the peers that keep the version of a stream."""
        state_by_id = {state.node_id: state for state in live}
        ids = [self._get_own_state().node_id, *sorted(state_by_id)]
        keepers = stream_keepers(stream_id, ids, self._nodes.is_large)
        return [state_by_id[name] for name in keepers if name in state_by_id]

    def _find_keepers(self, message, now):
        keepers = self._keepers(message.request_id, self._nodes.live(now))
        return StreamKeepers(
            [state.peer_address for state in keepers],
            self._directory.recent_versions(message.service, now),
            self._directory.is_list_readable,
            self._is_history_known,
        )

    def _find_recent(self, now):
        versions_by_service = {
            service: frozenset(self._directory.recent_versions(service, now))
            for service in self._directory.services()
        }
        own_id = self._get_own_state().node_id
        ids = [s.node_id for s in self._nodes.live(now) if not s.is_leaving]
        return RecentServiceVersions(versions_by_service, own_id <= min([*ids, own_id]))
