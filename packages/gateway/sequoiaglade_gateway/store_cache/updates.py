"""Tells peers what changed in the kinds of documents that this node watches."""


class StoreUpdates:
    """The watchers whose kinds peers may ask for, by kind."""

    def __init__(self):
        self._watcher_by_kind = {}

    def add(self, watcher):
        """Answer peers for the kind of a `KindWatcher` that keeps its history."""
        self._watcher_by_kind[watcher.kind] = watcher

    def after(self, revision_by_kind, optional_revision_by_kind=()):
        """Return whether this node follows the store, and `KindUpdate` by kind.

        The first is False if the store does not answer it, and None if it has not
        listed all kinds yet or is told of changes by others: two of these would confirm
        each other. `revision_by_kind` has what the peer knows. Of the optional kinds
        those that this node does not follow are left out, and change nothing else.
        """
        update_by_kind = {}
        is_following = True
        for kind, revision in revision_by_kind.items():
            watcher = self._watcher_by_kind.get(kind)
            if watcher is None or watcher.is_relayed or watcher.revision is None:
                return None, {}
            update = watcher.update_after(revision)
            if update is None:
                is_following = False
            else:
                update_by_kind[kind] = update
        return is_following, update_by_kind | self._optional_after(
            dict(optional_revision_by_kind)
        )

    def _optional_after(self, revision_by_kind):
        update_by_kind = {}
        for kind, revision in revision_by_kind.items():
            watcher = self._watcher_by_kind.get(kind)
            if watcher is None or watcher.is_relayed or watcher.revision is None:
                continue
            update = watcher.update_after(revision)
            if update is not None:
                update_by_kind[kind] = update
        return update_by_kind
