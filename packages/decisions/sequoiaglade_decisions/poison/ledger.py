"""Records of endpoint crashes, and the verdicts on requests that follow from them."""

from collections import OrderedDict
from enum import Enum
from typing import NamedTuple

SAME_CRASH_SECONDS = 2.0
CRASHES_TO_QUARANTINE = 2
SUSPICION_SECONDS = 600.0
QUARANTINE_SECONDS = 86_400.0
MAX_SUSPECTS = 4096
MAX_QUARANTINED = 4096
MAX_CLEARED = 8192


class Verdict(Enum):
    """The status of a fingerprint."""

    UNKNOWN = "unknown"
    CLEARED = "cleared"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class Crash(NamedTuple):
    """A crash of an endpoint at the time `at`, with a request in flight."""

    endpoint_id: str
    at: float


class CrashTracker:
    """Crashes by fingerprint, as observed by this node and its peers.

    Each request in flight on a crashed endpoint is suspect. A suspect that ran alone is
    cleared if it was answered and quarantined if its endpoint crashed too. Crashes of
    two endpoints also quarantine a request, since copies of it may run on two endpoints
    before the first of them crashes.

    >>> tracker = CrashTracker()
    >>> tracker.record_crash("f1", Crash("runner-0", 5.0))
    True
    >>> tracker.quarantine_if_proven("f1", 5.0, is_alone=False)
    <Verdict.SUSPECT: 'suspect'>
    >>> tracker.record_crash("f1", Crash("runner-1", 9.0))
    True
    >>> tracker.quarantine_if_proven("f1", 9.0, is_alone=True)
    <Verdict.QUARANTINED: 'quarantined'>
    """

    def __init__(self):
        self._crashes = OrderedDict()
        self._quarantined = OrderedDict()
        self._cleared = OrderedDict()
        self._retracted = OrderedDict()

    def verdict(self, fingerprint):
        """Return the `Verdict` on a fingerprint."""
        if fingerprint in self._quarantined:
            return Verdict.QUARANTINED
        if fingerprint in self._crashes:
            return Verdict.SUSPECT
        if fingerprint in self._cleared:
            return Verdict.CLEARED
        return Verdict.UNKNOWN

    def record_crash(self, fingerprint, crash):
        """Record a crash with the fingerprint in flight; return whether it is new."""
        if fingerprint in self._quarantined:
            return False
        self._cleared.pop(fingerprint, None)
        known = self._crashes.setdefault(fingerprint, [])
        if any(_is_same(crash, other) for other in known):
            return False
        known.append(crash)
        self._crashes.move_to_end(fingerprint)
        _evict_oldest(self._crashes, MAX_SUSPECTS)
        return True

    def quarantine_if_proven(self, fingerprint, now, is_alone):
        """Quarantine a suspect if its crashes are sufficient; return its verdict.

        One crash of a request that ran alone is sufficient, else
        `CRASHES_TO_QUARANTINE`.
        """
        known = self._crashes.get(fingerprint, ())
        if known and (is_alone or len(known) >= CRASHES_TO_QUARANTINE):
            self.quarantine(fingerprint, now)
        return self.verdict(fingerprint)

    def crashes_of(self, fingerprint):
        """Return the recorded crashes of a fingerprint."""
        return tuple(self._crashes.get(fingerprint, ()))

    def clear(self, fingerprint):
        """Record that the request was answered without a crash."""
        if fingerprint in self._quarantined:
            return
        self._crashes.pop(fingerprint, None)
        self._retracted.pop(fingerprint, None)
        self._cleared[fingerprint] = True
        self._cleared.move_to_end(fingerprint)
        _evict_oldest(self._cleared, MAX_CLEARED)

    def retract(self, fingerprint, crash):
        """Remove a crash that was not confirmed; return whether it was removed.

        Only one removal is allowed until the request is cleared. Otherwise an endpoint
        that restarts before it is checked would hide each crash.
        """
        if fingerprint in self._retracted:
            return False
        self._retracted[fingerprint] = True
        _evict_oldest(self._retracted, MAX_CLEARED)
        known = self._crashes.get(fingerprint, [])
        known[:] = [other for other in known if not _is_same(crash, other)]
        if not known:
            self._crashes.pop(fingerprint, None)
        return True

    def quarantine(self, fingerprint, now):
        """Quarantine the fingerprint; return whether it was not quarantined before."""
        is_new = fingerprint not in self._quarantined
        self._cleared.pop(fingerprint, None)
        self._crashes.pop(fingerprint, None)
        self._quarantined.setdefault(fingerprint, now)
        _evict_oldest(self._quarantined, MAX_QUARANTINED)
        return is_new

    def quarantined(self):
        """Return the quarantined fingerprints, the oldest first."""
        return tuple(self._quarantined)

    def suspect_fingerprints(self):
        """Return the suspect fingerprints, the oldest first."""
        return tuple(self._crashes)

    def drop_expired(self, now):
        """Drop expired suspicions and quarantines; return their fingerprints."""
        old = []
        while self._crashes:
            name, crashes = next(iter(self._crashes.items()))
            if now - crashes[-1].at <= SUSPICION_SECONDS:
                break
            del self._crashes[name]
            old.append(name)
        while self._quarantined:
            name, since = next(iter(self._quarantined.items()))
            if now - since <= QUARANTINE_SECONDS:
                break
            del self._quarantined[name]
            old.append(name)
        return old


def _is_same(crash, other):
    is_near = abs(crash.at - other.at) <= SAME_CRASH_SECONDS
    return crash.endpoint_id == other.endpoint_id and is_near


def _evict_oldest(mapping, size):
    while len(mapping) > size:
        mapping.popitem(last=False)
