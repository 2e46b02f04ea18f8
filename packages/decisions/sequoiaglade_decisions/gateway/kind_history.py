"""The documents of one kind and their latest changes, to be handed on to peers.

Load pattern: up to a hundred peers ask twice a second for what changed since the
revision that they know; mostly nothing has.
"""

from collections import deque
from typing import NamedTuple

# Changes that are kept; a peer that needs earlier ones gets all documents.
CHANGES_MAX = 1000


class KindUpdate(NamedTuple):
    """What a peer lacks of a kind, up to a revision of the store.

    With `is_list` the documents in `changes` are all that exist. `changes` has pairs of
    a name and a document, which is None for a removal.
    """

    revision: int
    is_list: bool
    changes: list


class KindHistory:
    """The documents of a kind by name, and changes in order of the store's revisions.

    >>> history = KindHistory()
    >>> history.update_after(None)
    >>> history.note_list({"a": "A1"}, revision=7)
    >>> history.note_changes([("b", "B1"), ("a", None)], revision=9)
    >>> history.update_after(7)
    KindUpdate(revision=9, is_list=False, changes=[('b', 'B1'), ('a', None)])
    >>> history.update_after(5)
    KindUpdate(revision=9, is_list=True, changes=[('b', 'B1')])
    >>> history.update_after(9)
    KindUpdate(revision=9, is_list=False, changes=[])
    """

    def __init__(self):
        self._document_by_name = {}
        self._batches = deque()
        self._count = 0
        # The revision after which all changes are kept.
        self._complete_after = None
        self._revision = None

    def note_list(self, document_by_name, revision):
        """Record all documents at a revision."""
        self._document_by_name = dict(document_by_name)
        self._batches.clear()
        self._count = 0
        self._complete_after = self._revision = revision

    def note_changes(self, changes, revision):
        """Record changes, as in `KindUpdate`, up to a revision."""
        changes = list(changes)
        for name, document in changes:
            if document is None:
                self._document_by_name.pop(name, None)
            else:
                self._document_by_name[name] = document
        if changes:
            self._batches.append((revision, changes))
            self._count += len(changes)
        while self._count > CHANGES_MAX:
            self._complete_after, dropped = self._batches.popleft()
            self._count -= len(dropped)
        self._revision = revision

    def update_after(self, revision):
        """Return the `KindUpdate` for a peer, None before the first list.

        `revision` is the one that it knows, None if it knows none.
        """
        if self._revision is None:
            return None
        if revision is None or revision < self._complete_after:
            return KindUpdate(
                self._revision, True, list(self._document_by_name.items())
            )
        changes = [
            change
            for batch_revision, changes in self._batches
            if batch_revision > revision
            for change in changes
        ]
        return KindUpdate(max(revision, self._revision), False, changes)
