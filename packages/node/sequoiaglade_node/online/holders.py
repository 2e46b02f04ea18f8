"""Detects whether the process that runs a call has ended."""

from typing import NamedTuple

from sequoiaglade_decisions.outcomes import Failure


class ProcessIdentity(NamedTuple):
    """The process that runs a call."""

    node_id: str
    instance_id: str
    incarnation: int


class ProcessLiveness:
    """Detects ended processes from this node, its peers and the platform.

    `live_peers` returns the newest states of the peers. The platform's list of
    instances is used only if it contains this node's own instance; a list without it
    is outdated.
    """

    def __init__(self, platform, own, live_peers):
        self._platform = platform
        self._own = own
        self._live_peers = live_peers

    def has_ended(self, record):
        """Return whether the record's process is known to have ended."""
        if record.node_id == self._own.node_id:
            return record.incarnation != self._own.incarnation
        for state in self._live_peers():
            if state.node_id == record.node_id:
                return state.incarnation > record.incarnation
        return self._is_unlisted(record.instance_id)

    def _is_unlisted(self, instance_id):
        listed = self._platform.instances()
        if isinstance(listed, Failure):
            return False
        ids = {instance.instance_id for instance in listed}
        return self._own.instance_id in ids and instance_id not in ids
