"""The snapshot in force, which requests read without calling an actor."""

import time
from typing import Any, NamedTuple

from sequoiaglade_decisions.configuration import (
    EMPTY_REVISION,
    EMPTY_ROOT,
    EMPTY_SNAPSHOT,
    Revision,
    Root,
    Snapshot,
)
from sequoiaglade_decisions.keys import authenticate
from sequoiaglade_decisions.outcomes import Refusal, RefusalCode

RETRY_AFTER_SECONDS = 1.0


class Held(NamedTuple):
    """A revision with its root and its snapshot."""

    root: Root
    revision: Revision
    snapshot: Snapshot


class RevisionInForce(NamedTuple):
    """The revision in force and until when it may be served, replaced together."""

    held: Held
    serve_until: float


EMPTY_HELD = Held(EMPTY_ROOT, EMPTY_REVISION, EMPTY_SNAPSHOT)


class SnapshotHolder:
    """Stores the revision in force and until when requests with a key may be served.

    `other_entry` returns the address of another node for refused callers.
    """

    def __init__(self, clock=time.monotonic):
        self.standing = RevisionInForce(EMPTY_HELD, float("-inf"))
        self.other_entry: Any = lambda: None
        self._clock = clock

    @property
    def held(self):
        """The `Held` in force."""
        return self.standing.held

    @property
    def current(self):
        """The snapshot in force."""
        return self.held.snapshot

    def authenticate(self, header):
        """Return the `Caller` whose key is in the header, or a `Refusal`.

        Without recent evidence that the snapshot is the newest, keys may have been
        revoked or created without this node's knowledge.
        """
        standing = self.standing
        refusal = self._unconfirmed_refusal(standing, "which keys are valid")
        return refusal or authenticate(header, standing.held.snapshot)

    def missing_refusal(self, reason):
        """Return the `Refusal` for something that is not in the snapshot.

        It is final only if the snapshot is known to be the newest.
        """
        refusal = self._unconfirmed_refusal(self.standing, "what there is")
        return refusal or Refusal(RefusalCode.NOT_FOUND, reason)

    def _unconfirmed_refusal(self, standing, what):
        if self._clock() <= standing.serve_until:
            return None
        return Refusal(
            RefusalCode.NOT_CONFIRMED,
            f"this node can't confirm {what}",
            RETRY_AFTER_SECONDS,
            entry=self.other_entry(),
        )
