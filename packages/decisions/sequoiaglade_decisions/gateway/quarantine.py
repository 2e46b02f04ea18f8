"""Quarantine of requests that crash the endpoints that run them."""

# The platform's documentation tolerates three crashes; a limit of two allows for
# reports of crashes that arrive late.
CRASH_LIMIT = 2
# The limit with breaks of responses that had begun. A request that crashes endpoints
# does so at the begin; streams that it breaks, or that endpoints cut, have begun. The
# platform's documentation tolerates three runs after the third crash.
BEGUN_CRASH_LIMIT = 5
# A quarantined request is refused for this long after its last crash.
QUARANTINE_SECONDS = 120.0
# Crashes of requests that are not quarantined are gossiped for this long. By then all
# nodes have received them, and the loss of an endpoint causes one crash per request.
CRASH_GOSSIP_SECONDS = 10.0


class Quarantine:
    """Counts the endpoints that crashed while running a request, by its fingerprint.

    A caller may send a crashing request repeatedly, and to any node. A request counts
    each crash of an endpoint at most once, so that an endpoint that fails for another
    reason does not quarantine its requests. A node gossips only the crashes that it
    observed itself: if all nodes relayed them, a burst of crashes would fill every
    message.

    >>> quarantine = Quarantine()
    >>> quarantine.note_crash("f", "e-1", now=0.0)
    >>> quarantine.is_quarantined("f", now=1.0)
    False
    >>> quarantine.note_crash("f", "e-2", now=1.0)
    >>> quarantine.is_quarantined("f", now=2.0)
    True
    >>> quarantine.note_crash("stream", "e-1", now=0.0, has_begun=True)
    >>> quarantine.note_crash("stream", "e-2", now=1.0, has_begun=True)
    >>> quarantine.is_quarantined("stream", now=2.0)
    False
    """

    def __init__(self):
        # Pairs of the time and whether the response had begun, by endpoint key.
        self._crash_by_endpoint = {}
        self._local_crashes = set()

    def note_crash(
        self, fingerprint, endpoint_key, now, has_begun=False, is_local=False
    ):
        """Count a crash; `endpoint_key` identifies the endpoint and its start time.

        `has_begun` is whether events of the response had arrived.
        """
        if is_local:
            self._local_crashes.add((fingerprint, endpoint_key))
        crashes = self._crash_by_endpoint.setdefault(fingerprint, {})
        crashes.setdefault(endpoint_key, (now, has_begun))

    def withdraw(self, fingerprint, endpoint_key):
        """Forget a break that turned out to be no crash.

        >>> quarantine = Quarantine()
        >>> quarantine.note_crash("f", "e-1", now=0.0)
        >>> quarantine.note_crash("f", "e-2", now=1.0)
        >>> quarantine.withdraw("f", "e-1")
        >>> quarantine.is_quarantined("f", now=2.0)
        False
        """
        crashes = self._crash_by_endpoint.get(fingerprint, {})
        crashes.pop(endpoint_key, None)
        if not crashes:
            self._crash_by_endpoint.pop(fingerprint, None)
        self._local_crashes.discard((fingerprint, endpoint_key))

    def is_quarantined(self, fingerprint, now):
        """Return whether the request must not run again."""
        crashes = self._crash_by_endpoint.get(fingerprint, {}).values()
        recent = [begun for at, begun in crashes if now - at < QUARANTINE_SECONDS]
        return recent.count(False) >= CRASH_LIMIT or len(recent) >= BEGUN_CRASH_LIMIT

    def crashes(self, now):
        """Return the crashes to gossip.

        Each has its fingerprint, endpoint key, age in seconds and `has_begun`.
        """
        self._drop_expired(now)
        rows = [(f, k, *self._crash_by_endpoint[f][k]) for f, k in self._local_crashes]
        return [
            (fingerprint, key, now - at, has_begun)
            for fingerprint, key, at, has_begun in sorted(rows)
            if now - at
            < (
                QUARANTINE_SECONDS
                if self.is_quarantined(fingerprint, now)
                else CRASH_GOSSIP_SECONDS
            )
        ]

    def _drop_expired(self, now):
        """Drop crashes older than `QUARANTINE_SECONDS`."""
        for fingerprint, crashes in list(self._crash_by_endpoint.items()):
            for key, (at, _) in list(crashes.items()):
                if now - at >= QUARANTINE_SECONDS:
                    del crashes[key]
                    self._local_crashes.discard((fingerprint, key))
            if not crashes:
                del self._crash_by_endpoint[fingerprint]
