"""Evidence of whether the store answers, and whether open connections to it pass data.

The load pattern: the store answers nothing for seconds, and each watch of each node
asks it again and again. While calls show that, one cheap probe at a time asks for all
watches of a node.
"""

import math
from enum import Enum
from typing import NamedTuple

# A probe is due once nothing has proved the connections sound for this long.
PROBE_INTERVAL_SECONDS = 3.0
# Shortest time between two probes, and between two renewals of all connections.
PROBE_PAUSE_SECONDS = 1.0
RENEWAL_PAUSE_SECONDS = 3.0
# A call that waited less before it timed out may only have met a slow store.
SILENCE_SECONDS = 0.9
# How long an unanswered call shows that the store is silent. It is longer than a probe
# that times out, so that the evidence lasts as long as the silence.
EVIDENCE_SECONDS = 1.5


class StoreCall(NamedTuple):
    """A call that the store answered, or that timed out on an open connection.

    `connected_at` is when its connection was opened. `is_probe` is whether the call was
    made on the connection that is kept for probes.
    """

    connected_at: float
    sent_at: float
    ended_at: float
    is_answered: bool
    is_probe: bool = False


class ContactStep(Enum):
    """What to do about the connections to the store."""

    WAIT = "wait"
    PROBE = "probe"
    RENEW = "renew"


class StoreContact:
    """Decides when to probe the connections to the store and when to renew them.

    Connections may fall silent all at once, and a watch that waits can't tell silence
    from a lack of changes. An answer proves the connections sound if its own one was
    open when they were last proved sound. An answer on a newer connection proves
    nothing of the older ones. Probes are made on one connection that is kept open.

    >>> contact = StoreContact()
    >>> contact.next_step(10.0)
    (<ContactStep.PROBE: 'probe'>, 3.0)
    >>> contact.note_call(StoreCall(10.0, 10.0, 10.1, True, is_probe=True))
    >>> contact.note_call(StoreCall(9.0, 9.0, 12.0, True))
    >>> contact.note_call(StoreCall(14.0, 14.0, 14.1, True))
    >>> contact.next_step(14.5)
    (<ContactStep.WAIT: 'wait'>, 0.5)
    >>> contact.next_step(15.0)
    (<ContactStep.PROBE: 'probe'>, 3.0)
    >>> contact.note_call(StoreCall(10.0, 15.0, 16.0, False, is_probe=True))
    >>> contact.next_step(16.0)
    (<ContactStep.RENEW: 'renew'>, 0.0)
    >>> contact.next_step(16.0)
    (<ContactStep.PROBE: 'probe'>, 3.0)

    A call that was sent after the last answer and timed out shows that the store is
    silent, until any call is answered. The next probe is due soon then.

    >>> contact.is_silent(16.0)
    True
    >>> contact.note_call(StoreCall(16.0, 16.0, 16.1, True, is_probe=True))
    >>> contact.is_silent(16.1)
    False
    """

    def __init__(self, interval_seconds=PROBE_INTERVAL_SECONDS):
        self._interval_seconds = interval_seconds
        self._proved_at = None
        self._probed_at = None
        self._renewed_at = None
        # When to renew the connections, because a call was not answered.
        self._renewal_due_at = math.inf
        self._is_probe_wanted = True
        self._answered_at = -math.inf
        # When the last call ended that was not answered though it was sent after the
        # last answer.
        self._silent_at = -math.inf

    def note_call(self, call):
        """Record a `StoreCall`."""
        if not call.is_answered:
            self._note_unanswered(call)
            return
        self._answered_at = max(call.ended_at, self._answered_at)
        self._silent_at = -math.inf
        if not self._is_outdated(call) and (call.is_probe or self._proves_others(call)):
            self._proved_at = max(call.ended_at, self._proved_at or call.ended_at)
            self._is_probe_wanted = False

    def next_step(self, now):
        """Return the `ContactStep` to take now, and the seconds until the next look.

        The step counts as taken.
        """
        if self._renewal_due_at <= now:
            self.note_renewal(now)
            return ContactStep.RENEW, 0.0
        due_at = self._probe_due_at(now)
        if due_at > now:
            return ContactStep.WAIT, min(due_at, self._renewal_due_at) - now
        self._probed_at = now
        self._is_probe_wanted = False
        return ContactStep.PROBE, self._interval_seconds

    def note_renewal(self, now):
        """Record that all connections are renewed now."""
        self._renewal_due_at = math.inf
        self._is_probe_wanted = True
        self._probed_at = self._proved_at = None
        self._renewed_at = now

    def is_silent(self, now):
        """Return whether unanswered calls show that the store answers nothing."""
        return now - self._silent_at < EVIDENCE_SECONDS

    def _probe_due_at(self, now):
        if self._is_probe_wanted or self.is_silent(now):
            return (
                now
                if self._probed_at is None
                else self._probed_at + PROBE_PAUSE_SECONDS
            )
        times = [at for at in (self._proved_at, self._probed_at) if at is not None]
        return max(times, default=now) + self._interval_seconds

    def _note_unanswered(self, call):
        has_waited = call.ended_at - call.sent_at >= SILENCE_SECONDS
        if has_waited and call.sent_at >= self._answered_at:
            self._silent_at = max(call.ended_at, self._silent_at)
        if self._is_outdated(call):
            return
        if not has_waited:
            self._is_probe_wanted = True
        else:
            # Watches that wait may have been lost with a call right after a renewal.
            earliest_at = (self._renewed_at or -math.inf) + RENEWAL_PAUSE_SECONDS
            due_at = max(call.ended_at, earliest_at)
            self._renewal_due_at = min(due_at, self._renewal_due_at)

    def _is_outdated(self, call):
        """Whether the call was sent before the connections were renewed."""
        return self._renewed_at is not None and call.sent_at < self._renewed_at

    def _proves_others(self, call):
        return self._proved_at is not None and call.connected_at <= self._proved_at
