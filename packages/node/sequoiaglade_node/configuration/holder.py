"""The snapshot in force, which requests read without calling an actor."""

import math
import threading
import time
from typing import Any, NamedTuple

import structlog

from sequoiaglade_decisions.configuration import (
    CONFIRM_WAIT_SECONDS,
    EMPTY_REVISION,
    EMPTY_ROOT,
    EMPTY_SNAPSHOT,
    EVIDENCE_LIFETIME_SECONDS,
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
    """The revision in force and until when it may be served, replaced together.

    `read_at` is the time at which the newest read that has ended began.
    """

    held: Held
    serve_until: float
    read_at: float

    def awaits_read(self, now):
        """Whether the revision can't be served `now` but a read may change that."""
        return self.read_at < self.serve_until < now


EMPTY_HELD = Held(EMPTY_ROOT, EMPTY_REVISION, EMPTY_SNAPSHOT)


class SnapshotHolder:
    """Stores the revision in force and until when requests with a key may be served.

    `other_entry` returns the address of another node for refused callers.
    """

    def __init__(self, clock=time.monotonic, wait_seconds=CONFIRM_WAIT_SECONDS):
        self.standing = RevisionInForce(EMPTY_HELD, float("-inf"), float("-inf"))
        self.other_entry: Any = lambda: None
        self._clock = clock
        self._wait_seconds = wait_seconds
        self._replaced = threading.Condition()
        self._logged_until = None

    @property
    def held(self):
        """The `Held` in force."""
        return self.standing.held

    @property
    def current(self):
        """The snapshot in force."""
        return self.held.snapshot

    def replace(self, standing):
        """Put a `RevisionInForce` in the place of the previous one."""
        with self._replaced:
            self.standing = standing
            self._replaced.notify_all()

    def await_confirmation(self, header):
        """Wait for the read that is due if the revision can't be served with a key.

        Return at once without a `header` with a key, and at the latest after
        `wait_seconds`.
        """
        if header is None or not self.standing.awaits_read(self._clock()):
            return
        with self._replaced:
            self._replaced.wait_for(
                lambda: not self.standing.awaits_read(self._clock()),
                self._wait_seconds,
            )

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
        now = self._clock()
        if now <= standing.serve_until:
            return None
        self._log_once(standing, now)
        return Refusal(
            RefusalCode.NOT_CONFIRMED,
            f"this node can't confirm {what}",
            RETRY_AFTER_SECONDS,
            entry=self.other_entry(),
        )

    def _log_once(self, standing, now):
        """Log the first refusal since the evidence ran out; ages are in seconds."""
        if self._logged_until == standing.serve_until:
            return
        self._logged_until = standing.serve_until
        structlog.get_logger().warning(
            "revision not confirmed, refusing keys",
            revision=standing.held.root.number,
            evidence_age=_age(now, standing.serve_until - EVIDENCE_LIFETIME_SECONDS),
            read_age=_age(now, standing.read_at),
        )


def _age(now, time):
    """Return the age in seconds, or None for what has not happened yet."""
    return None if math.isinf(time) else round(now - time, 3)
