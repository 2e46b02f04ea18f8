"""Tells peers what changed in the kinds of documents that this node watches."""


class StoreUpdates:
    """The watchers whose kinds peers may ask for, by kind."""

    def __init__(self):
        self._watcher_by_kind = {}

    def add(self, watcher):
        """Answer peers for the kind of a `KindWatcher` that keeps its history."""
        self._watcher_by_kind[watcher.kind] = watcher

    def after(self, revision_by_kind):
        """Return whether this node follows the store, and `KindUpdate` by kind.

        `revision_by_kind` has what the peer knows. A node that is told of changes by
        others does not follow the store: two of these would confirm each other.
        """
        update_by_kind = {}
        for kind, revision in revision_by_kind.items():
            watcher = self._watcher_by_kind.get(kind)
            update = watcher and watcher.update_after(revision)
            if update is not None:
                update_by_kind[kind] = update
        return len(update_by_kind) == len(revision_by_kind), update_by_kind
