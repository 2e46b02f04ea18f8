"""Breaks of responses at endpoints that go on to answer, which are no crashes.

Load pattern: endpoints cut many responses for some seconds, by a regular close or a
reset, and stay up; all nodes send requests to them meanwhile.
"""

from collections import OrderedDict, deque

# Streams that a crash breaks are noticed within a few milliseconds of each other; an
# attempt that was sent this long after a break was not begun before it.
MARGIN_SECONDS = 0.05
# A crashed endpoint is back after some seconds, perhaps with its id and address. An
# attempt that was sent earlier than this after a break reached the same start.
SAME_START_SECONDS = 1.0
# Answers of an endpoint within this time of the last one that was kept are not kept.
SPACING_SECONDS = 0.1
ANSWERS_KEPT = 32
BREAKS_MAX = 2048
# Survived breaks are gossiped, and breaks wait for an answer, for this long.
GOSSIP_SECONDS = 10.0
GOSSIPED_MAX = 32
# Peers report a break that was survived for longer than it is gossiped that it was.
SURVIVED_SECONDS = 30.0


class SurvivedBreaks:
    """Tells breaks at endpoints that crashed from those at endpoints that stay up.

    A break is a pair of an endpoint key, which stands for one start of an endpoint, and
    the fingerprint of the request. It is survived if the endpoint answers an attempt
    that was sent soon after it; a crashed endpoint would still be down.

    >>> breaks = SurvivedBreaks()
    >>> breaks.add("e-1/5", "f", at=1.0)
    True
    >>> breaks.note_answer("e-1/5", sent_at=0.9), breaks.note_answer("e-1/5", 2.5)
    ([], [])
    >>> breaks.note_answer("e-1/5", sent_at=1.3)
    [('e-1/5', 'f')]

    A peer may report it again.

    >>> breaks.add("e-1/5", "f", at=1.1)
    False
    """

    def __init__(self):
        self._answers_by_key = {}
        self._requests_by_key = OrderedDict()
        self._survived_at = OrderedDict()

    def add(self, endpoint_key, request, at):
        """Add a break; return whether it may be a crash."""
        if (endpoint_key, request) in self._survived_at:
            return False
        if any(_is_after(sent, at) for sent in self._answers(endpoint_key)):
            self._survive(endpoint_key, request, at)
            return False
        requests = self._requests_by_key.setdefault(endpoint_key, {})
        requests.setdefault(request, at)
        self._requests_by_key.move_to_end(endpoint_key)
        while len(self._requests_by_key) > BREAKS_MAX:
            self._requests_by_key.popitem(last=False)
        return True

    def note_answer(self, endpoint_key, sent_at):
        """Note the head of an answer to an attempt; return the breaks it disproves."""
        answers = self._answers_by_key.setdefault(
            endpoint_key, deque(maxlen=ANSWERS_KEPT)
        )
        if not answers or sent_at >= answers[-1] + SPACING_SECONDS:
            answers.append(sent_at)
        requests = self._requests_by_key.get(endpoint_key, {})
        survived = [r for r, at in requests.items() if _is_after(sent_at, at)]
        for request in survived:
            del requests[request]
            self._survive(endpoint_key, request, sent_at)
        return [(endpoint_key, request) for request in survived]

    def merge(self, pairs, now):
        """Add breaks that a peer found survived; return those that are news."""
        news = [pair for pair in pairs if pair not in self._survived_at]
        for endpoint_key, request in news:
            self._requests_by_key.get(endpoint_key, {}).pop(request, None)
            self._survived_at[endpoint_key, request] = (now, False)
        self._trim()
        return news

    def records(self, now):
        """Return the survived breaks to gossip, those that this node found."""
        self._drop_expired(now)
        recent = [
            pair
            for pair, (at, is_own) in self._survived_at.items()
            if is_own and now - at < GOSSIP_SECONDS
        ]
        return recent[-GOSSIPED_MAX:]

    def _answers(self, endpoint_key):
        return self._answers_by_key.get(endpoint_key, ())

    def _survive(self, endpoint_key, request, at):
        self._survived_at[endpoint_key, request] = (at, True)
        self._trim()

    def _trim(self):
        while len(self._survived_at) > BREAKS_MAX:
            self._survived_at.popitem(last=False)

    def _drop_expired(self, now):
        for pair, (at, _) in list(self._survived_at.items()):
            if now - at >= SURVIVED_SECONDS:
                del self._survived_at[pair]
        for key, requests in list(self._requests_by_key.items()):
            for request, at in list(requests.items()):
                if now - at >= GOSSIP_SECONDS:
                    del requests[request]
            if not requests:
                del self._requests_by_key[key]
        for key, answers in list(self._answers_by_key.items()):
            if now - answers[-1] >= SURVIVED_SECONDS:
                del self._answers_by_key[key]


def _is_after(sent_at, broke_at):
    return MARGIN_SECONDS <= sent_at - broke_at <= SAME_START_SECONDS
