"""Limits of requests a second that endpoints name in their responses.

Load pattern: endpoints in need name a limit for all nodes together, for some seconds or
minutes, while requests arrive at many times that rate.
"""

from typing import NamedTuple

# Each node learns a limit from the first response that it sees; others are told of it
# for this long, which is several gossip rounds of a large fleet.
NOTICE_SECONDS = 10.0
# Notices that no response has confirmed for this long are dropped: the endpoint has
# left, or no node sends it anything.
RETENTION_SECONDS = 600.0
# Notices kept, the latest ones; a fleet has fewer endpoints.
NOTICES_MAX = 2000


class LimitNotice(NamedTuple):
    """What an endpoint said of its limit, in requests a second; None for no limit.

    `born` is the start time of the endpoint, as in `Endpoint`. `at` is when a response
    said so last; in messages between nodes it is the age of that response instead.
    """

    endpoint_id: str
    born: int
    limit: float | None
    at: float


class RequestLimits:
    """The limits that endpoints name, as seen in responses and told by peers.

    A limit holds for as long as responses name it. It ends with a response without one
    to a request that was sent after the last response with one, since responses to
    earlier requests may have been written before.

    >>> limits = RequestLimits()
    >>> limits.note_response("e-1", born=5, limit=2.5, sent_at=0.9, now=1.0)
    True
    >>> limits.note_response("e-1", born=5, limit=None, sent_at=0.95, now=1.1)
    False
    >>> limits.find("e-1", born=5), limits.find("e-1", born=6)
    (2.5, None)
    >>> limits.note_response("e-1", born=5, limit=None, sent_at=1.2, now=1.3)
    True
    >>> limits.find("e-1", born=5)
    """

    def __init__(self):
        self._notice_by_id = {}
        self._changed_at_by_id = {}

    @property
    def has_any(self):
        """Whether any endpoint may have a limit."""
        return bool(self._notice_by_id)

    def find(self, endpoint_id, born):
        """Return the limit of the endpoint that started at `born`, or None."""
        notice = self._notice_by_id.get(endpoint_id)
        if notice is None or (notice.born and born > notice.born):
            return None
        return notice.limit

    def note_response(self, endpoint_id, born, limit, sent_at, now):
        """Record a response's limit, or None; return whether that is a change.

        `sent_at` is when the request was sent.
        """
        known = self._notice_by_id.get(endpoint_id)
        before = self.find(endpoint_id, born)
        if limit is None and (before is None or sent_at <= known.at):
            return False
        self._store(LimitNotice(endpoint_id, born, limit, now))
        if limit == before:
            return False
        self._changed_at_by_id[endpoint_id] = now
        return True

    def notices(self, now):
        """Return the notices that peers are to be told, with their ages in `at`.

        These are the changes that this node saw itself. What it heard from peers is not
        told again, so that messages don't grow with the fleet.

        >>> limits = RequestLimits()
        >>> limits.note_response("e-1", born=5, limit=2.5, sent_at=0.9, now=1.0)
        True
        >>> limits.notices(now=3.0)
        (LimitNotice(endpoint_id='e-1', born=5, limit=2.5, at=2.0),)
        >>> limits.notices(now=12.0)
        ()
        """
        self._drop_expired(now)
        notices = map(self._notice_by_id.get, self._changed_at_by_id)
        return tuple(notice._replace(at=now - notice.at) for notice in notices)

    def receive(self, notices, now):
        """Merge the notices of a peer's state; return those that changed a limit.

        >>> limits = RequestLimits()
        >>> limits.note_response("e-1", born=5, limit=2.5, sent_at=0.9, now=1.0)
        True
        >>> limits.receive([LimitNotice("e-1", 5, 3.5, at=0.5)], now=1.2)
        []
        >>> len(limits.receive([LimitNotice("e-1", 5, 3.5, at=0.5)], now=2.0))
        1
        """
        changed = []
        for told in notices:
            notice = told._replace(at=now - told.at)
            known = self._notice_by_id.get(notice.endpoint_id)
            if known is not None and (notice.born, notice.at) <= (known.born, known.at):
                continue
            if self.find(notice.endpoint_id, notice.born) != notice.limit:
                changed.append(notice)
                self._changed_at_by_id.pop(notice.endpoint_id, None)
            self._store(notice)
        return changed

    def notice(self, endpoint_id, now):
        """Return what is known of a limited endpoint, with its age in `at`."""
        notice = self._notice_by_id[endpoint_id]
        return notice._replace(at=now - notice.at)

    def limited(self, endpoints):
        """Return the limits of those of a sequence of `Endpoint` with one, by id."""
        if not self._notice_by_id:
            return {}
        limit_by_id = {
            e.endpoint_id: self.find(e.endpoint_id, e.born) for e in endpoints
        }
        return {i: limit for i, limit in limit_by_id.items() if limit is not None}

    def _store(self, notice):
        self._notice_by_id.pop(notice.endpoint_id, None)
        self._notice_by_id[notice.endpoint_id] = notice
        while len(self._notice_by_id) > NOTICES_MAX:
            endpoint_id = next(iter(self._notice_by_id))
            del self._notice_by_id[endpoint_id]
            self._changed_at_by_id.pop(endpoint_id, None)

    def _drop_expired(self, now):
        self._changed_at_by_id = {
            i: at
            for i, at in self._changed_at_by_id.items()
            if now - at <= NOTICE_SECONDS
        }
        self._notice_by_id = {
            i: notice
            for i, notice in self._notice_by_id.items()
            if now - notice.at <= RETENTION_SECONDS
        }
