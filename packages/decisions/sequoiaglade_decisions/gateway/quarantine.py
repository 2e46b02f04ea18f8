"""Quarantine of requests that crash the endpoints that run them."""

# The platform's documentation tolerates three crashes; a limit of two allows for
# reports of crashes that arrive late.
CRASH_LIMIT = 2
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
    """

    def __init__(self):
        self._crashed_at_by_endpoint = {}
        self._local_crashes = set()

    def note_crash(self, fingerprint, endpoint_key, now, is_local=False):
        """Count a crash; `endpoint_key` identifies the endpoint and its start time."""
        if is_local:
            self._local_crashes.add((fingerprint, endpoint_key))
        crashes = self._crashed_at_by_endpoint.setdefault(fingerprint, {})
        crashes.setdefault(endpoint_key, now)

    def is_quarantined(self, fingerprint, now):
        """Return whether the request must not run again."""
        crashes = self._crashed_at_by_endpoint.get(fingerprint, {})
        recent = [at for at in crashes.values() if now - at < QUARANTINE_SECONDS]
        return len(recent) >= CRASH_LIMIT

    def crashes(self, now):
        """Return triples of fingerprint, endpoint key and age in seconds to gossip."""
        self._drop_expired(now)
        return [
            (fingerprint, key, now - at)
            for fingerprint, key in sorted(self._local_crashes)
            if now - (at := self._crashed_at_by_endpoint[fingerprint][key])
            < (
                QUARANTINE_SECONDS
                if self.is_quarantined(fingerprint, now)
                else CRASH_GOSSIP_SECONDS
            )
        ]

    def _drop_expired(self, now):
        """Drop crashes older than `QUARANTINE_SECONDS`."""
        for fingerprint, crashes in list(self._crashed_at_by_endpoint.items()):
            for key, at in list(crashes.items()):
                if now - at >= QUARANTINE_SECONDS:
                    del crashes[key]
                    self._local_crashes.discard((fingerprint, key))
            if not crashes:
                del self._crashed_at_by_endpoint[fingerprint]
