"""Requests that crash the endpoints that run them."""

# The platform's pages tolerate three crashes; two leave room for news that is late.
CRASH_LIMIT = 2
# A quarantined request is refused for this long after its last crash, in seconds.
QUARANTINE_SECONDS = 120.0
# A crash of a request that is not quarantined is told for this long, in seconds: news
# is with all nodes by then, and an endpoint's loss leaves a crash for each request.
TELL_SECONDS = 10.0


class Quarantine:
    """Counts endpoints that broke off while they ran a request, by its fingerprint.

    Answers the load pattern of a caller that sends a crashing request again and again,
    at any node. A request counts an endpoint's crash at most once, so that an endpoint
    that dies for another reason makes none of its requests suspect for long. A node
    tells only of crashes that it saw itself: told on by all that hear of them, those of
    one bad minute would fill every message.

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
        self._seen_here = set()

    def note_crash(self, fingerprint, endpoint_key, now, is_local=False):
        """Count a crash; `endpoint_key` names the endpoint and its start."""
        if is_local:
            self._seen_here.add((fingerprint, endpoint_key))
        crashes = self._crashed_at_by_endpoint.setdefault(fingerprint, {})
        crashes.setdefault(endpoint_key, now)

    def is_quarantined(self, fingerprint, now):
        """Return whether the request is not to be run again."""
        crashes = self._crashed_at_by_endpoint.get(fingerprint, {})
        recent = [at for at in crashes.values() if now - at < QUARANTINE_SECONDS]
        return len(recent) >= CRASH_LIMIT

    def crashes(self, now):
        """Return triples of fingerprint, endpoint key and age, to tell peers."""
        self._forget(now)
        return [
            (fingerprint, key, now - at)
            for fingerprint, key in sorted(self._seen_here)
            if now - (at := self._crashed_at_by_endpoint[fingerprint][key])
            < (
                QUARANTINE_SECONDS
                if self.is_quarantined(fingerprint, now)
                else TELL_SECONDS
            )
        ]

    def _forget(self, now):
        """Drop what is too old to matter."""
        for fingerprint, crashes in list(self._crashed_at_by_endpoint.items()):
            for key, at in list(crashes.items()):
                if now - at >= QUARANTINE_SECONDS:
                    del crashes[key]
                    self._seen_here.discard((fingerprint, key))
            if not crashes:
                del self._crashed_at_by_endpoint[fingerprint]
