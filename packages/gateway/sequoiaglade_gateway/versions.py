"""The coordinator's part in software versions: who keeps and records them."""

from sequoiaglade_decisions.gateway import stream_keepers

from .version_messages import (
    FindRecentVersions,
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
            case FindRecentVersions():
                return self._find_recent(now)
            case VersionsRecalled(versions_by_service):
                for service, versions in versions_by_service.items():
                    self._directory.recall_versions(service, versions, now)
                self._is_history_known = True
                return None

    def _find_keepers(self, message, now):
        live = {state.node_id: state for state in self._nodes.live(now)}
        ids = [self._get_own_state().node_id, *sorted(live)]
        keepers = stream_keepers(message.request_id, ids, self._nodes.is_large)
        return StreamKeepers(
            [live[n].peer_address for n in keepers if n in live],
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
