"""The coordinator's part in quotas: whether a request may start, and each node's part.

Nodes count each other's admitted requests, so that a workspace's quota holds in all.
"""

from sequoiaglade_decisions.gateway import FleetQuotas, stable_hash

from .messages import QuotaExceeded

# The share of the quotas is computed anew after this time, a small part of the time
# after which a peer counts as lost.
SHARE_SECONDS = 0.1
# `stable_hash` is below it.
HASH_LIMIT = 2**32


class FleetAdmission:
    """The coordinator's `FleetQuotas`, and the fraction of them that may be used.

    That is the fraction of the known nodes that are live. The coordinator owns it; it
    reads the coordinator's nodes.
    """

    def __init__(self, settings, nodes, now):
        self._settings = settings
        self._nodes = nodes
        self.quotas = FleetQuotas(
            settings.is_first_start, settings.quota_window_seconds, now
        )
        self._share = 1.0
        self._share_expires_at = 0.0

    def share(self, now):
        """Return the fraction that may be used, not older than `SHARE_SECONDS`."""
        if now >= self._share_expires_at:
            return self.renew_share(now)
        return self._share

    def renew_share(self, now):
        """Compute the fraction that may be used anew, and return it."""
        seeds = self._settings.seeds
        least = 1 + sum(seed != self._settings.listen.peer for seed in seeds)
        self._share = self._nodes.quota_share(now, least)
        self._share_expires_at = now + SHARE_SECONDS
        return self._share

    def configure(self, configuration, now):
        """Take over the rates and bursts of the workspaces of a configuration."""
        self.quotas.configure(
            {
                w.name: (w.rate, w.burst)
                for w in configuration.workspace_by_name.values()
            },
            now,
        )

    def check(self, place, now, group_count=None):
        """Return `QuotaExceeded` if a request has to wait for its quota, or None.

        `group_count` is the number of schedulers that decide, None if all nodes do.
        """
        if place.workspace is None or place.is_admitted:
            return None
        share = self.share(now)
        if self.quotas.seconds_until_admission(place.workspace, now, share) is None:
            return None
        sharers = group_count or 1 + len(self._nodes.live(now))
        position = stable_hash("told", place.spread) / HASH_LIMIT
        seconds = self.quotas.refuse(place.workspace, now, share, sharers, position)
        return QuotaExceeded(seconds, share)

    def note_admitted(self, place, now):
        """Count a request of this node, unless its `PlaceRequest` has no workspace."""
        if place.workspace is not None:
            self.quotas.note_admitted(place.workspace, now, self.share(now))

    def note_peer_admitted(self, report, workspace, now):
        """Count a request that this node has placed for the peer of a `LoadReport`."""
        incarnation, _ = report.number
        self.quotas.note_peer_admitted(
            report.node_id, incarnation, workspace, now, self.share(now)
        )

    def receive_report(self, report, now):
        """Update a peer's counts from its `LoadReport`, which omits some workspaces."""
        incarnation, _ = report.number
        self.quotas.update_peer(
            report.node_id,
            incarnation,
            report.admitted_by_workspace,
            now,
            self.share(now),
            is_complete=False,
        )

    def receive_state(self, state, now):
        """Update a peer's counts from its `NodeState`."""
        self.quotas.update_peer(
            state.node_id,
            state.incarnation,
            state.admitted_by_workspace,
            now,
            self.share(now),
            state.is_admitted_complete,
        )
