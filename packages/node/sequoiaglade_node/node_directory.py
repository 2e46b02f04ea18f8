"""The directory of announced nodes, and the node addresses offered to callers."""

import json
import random

from sequoiaglade_decisions.membership import Entry, choose_entries
from sequoiaglade_decisions.outcomes import Failure, FailureCode

from .threads import OwnedThread
from .web import json_response

NODE_KIND = "nodes"
WATCH_SECONDS = 20.0
RETRY_SECONDS = 1.0
RELIST_SECONDS = 300.0


class NodeDirectory(OwnedThread):
    """Announces this node in the platform and follows the announced nodes.

    The list is read at the start and every `RELIST_SECONDS`; between the reads a watch
    returns the changes. `listeners` are called with the ids of the announced nodes
    after each change. A context manager that owns the watching thread.
    """

    def __init__(self, platform, settings):
        super().__init__("nodes", join_seconds=0.0)
        self._platform = platform
        self._settings = settings
        self._value_by_id = {}
        self._since = 0
        self._is_announced = False
        self.is_withdrawn = False
        self.listeners = []

    def refresh(self):
        """Read the announcements of all nodes; return None or a `Failure`."""
        found = self._platform.list(NODE_KIND)
        if isinstance(found, Failure):
            return found
        values = [json.loads(stored.value) for stored in found]
        self._value_by_id = {value["node_id"]: value for value in values}
        self._since = max([self._since, *(stored.version for stored in found)])
        self._notify_listeners()
        return None

    def withdraw(self):
        """Remove this node's announcement permanently."""
        self.is_withdrawn = True
        self.remove(self._settings.node_id)

    def remove(self, node_id):
        """Remove a node's announcement, unless it changes at the same time."""
        found = self._platform.get(NODE_KIND, node_id)
        if not isinstance(found, Failure):
            self._platform.delete(NODE_KIND, node_id, found.version)

    def peer_address_by_id(self):
        """Return the peer addresses of the other announced nodes by node id."""
        own = self._settings.node_id
        values = dict(self._value_by_id)
        return {i: value["peer"] for i, value in values.items() if i != own}

    def peer_addresses(self):
        """Return the peer addresses of the other nodes by node id.

        An address in the settings that no announced node has is its own id.
        """
        own = self._settings
        known = self.peer_address_by_id()
        announced = {*known.values(), own.listen.peer, own.advertised.peer}
        extra = {a: a for a in own.peers if a not in announced}
        return known | extra

    def node_ids(self):
        """Return the ids of the announced nodes."""
        return list(self._value_by_id)

    def entries(self, unusable_ids):
        """Return the `Entry` of each announced node that is not in `unusable_ids`."""
        values = dict(self._value_by_id)
        return [
            Entry(node_id, value["failure_domain"], value["data"], value["control"])
            for node_id, value in sorted(values.items())
            if node_id not in unusable_ids
        ]

    def _run(self):
        is_listed = False
        waited = 0.0
        while not self._stopped.is_set():
            if not is_listed or waited > RELIST_SECONDS * random.uniform(0.8, 1.2):
                is_listed = self.refresh() is None
                waited = 0.0
            self._announce_if_needed()
            found = self._platform.watch(NODE_KIND, self._since, WATCH_SECONDS)
            waited += WATCH_SECONDS
            if isinstance(found, Failure):
                self._stopped.wait(RETRY_SECONDS)
                continue
            is_listed = is_listed and self._apply_changes(found)

    def _apply_changes(self, found):
        changes, version = found
        for change in changes:
            if not self._apply_change(change):
                return False
        self._since = version
        if changes:
            self._notify_listeners()
        return True

    def _apply_change(self, change):
        stored = self._platform.get(NODE_KIND, change.name)
        match stored:
            case Failure(code=FailureCode.NOT_FOUND):
                self._value_by_id.pop(change.name, None)
                if change.name == self._settings.node_id:
                    self._is_announced = False
            case Failure():
                return False
            case _ if stored.version >= change.version:
                self._value_by_id[change.name] = json.loads(stored.value)
        return True

    def _announce_if_needed(self):
        if self._is_announced or self.is_withdrawn:
            return
        self._is_announced = self._announce() is None
        if self.is_withdrawn:
            self.remove(self._settings.node_id)

    def _announce(self):
        settings = self._settings
        value = {
            "node_id": settings.node_id,
            "failure_domain": settings.failure_domain,
            **settings.advertised.model_dump(),
        }
        found = self._platform.get(NODE_KIND, settings.node_id)
        data = json.dumps(value).encode()
        if isinstance(found, Failure):
            written = self._platform.create(NODE_KIND, settings.node_id, data)
        else:
            written = self._platform.update(
                NODE_KIND, settings.node_id, data, found.version
            )
        return written if isinstance(written, Failure) else None

    def _notify_listeners(self):
        for listener in self.listeners:
            listener(self.node_ids())


class EntrySelector:
    """Selects the entries, that is the node addresses, offered to callers."""

    def __init__(self, settings, directory, membership):
        self._settings = settings
        self._directory = directory
        self._membership = membership
        self._random = random.Random()

    def choose(self):
        """Return the entries for a caller, those of this failure domain first."""
        usable = self._directory.entries(self._unusable_ids())
        return choose_entries(usable, self._settings.failure_domain, self._random)

    def other_address(self):
        """Return the address of another node, or None."""
        own = self._settings.node_id
        others = [entry for entry in self.choose() if entry.node_id != own]
        return "http://" + others[0].data if others else None

    def respond(self, request):
        """Return the `Response` that lists the entries."""
        entries = [
            {
                "url": "http://" + entry.data,
                "control_url": "http://" + entry.control,
                "failure_domain": entry.failure_domain,
            }
            for entry in self.choose()
        ]
        keep_seconds = self._settings.keep_seconds
        headers = [("Cache-Control", f"max-age={int(keep_seconds)}")]
        body = {"entries": entries, "keep_seconds": keep_seconds}
        return json_response(200, body, headers)

    def _unusable_ids(self):
        unusable = self._membership.unusable().get()
        if self._directory.is_withdrawn:
            return unusable | {self._settings.node_id}
        return unusable
