"""Which nodes of a large fleet follow the store, and whom the others ask for changes.

Load pattern: 14 to 400 nodes follow the same few kinds of documents, and each call to
the store has a price. A few nodes of each failure domain follow the store. The others
ask these in turn, so that one whose watch has fallen silent delays a change by one
question only.
"""

from .hashing import stable_hash

FOLLOWERS_PER_DOMAIN = 3
# Interval of a node's questions. A change has to be known everywhere within 2 seconds,
# also if the next follower in turn does not answer.
POLL_SECONDS = 0.5
# A node follows the store itself once no follower that does has answered for this long.
FALLBACK_SECONDS = 1.5
# It ends that once followers have answered all the while. A node that has just started
# relies on the first answer: each of many endpoints that register at a fleet's start
# would take a call of each node.
RETURN_SECONDS = 3.0
# A follower without a sound answer is left out for this time while others have some.
LEFT_OUT_SECONDS = 2.0


def store_followers(domain, states):
    """Return the states of the nodes that follow the store for a failure domain.

    All nodes with the same view of the fleet compute the same ones.

    >>> from sequoiaglade_decisions.gateway import NodeState
    >>> states = [NodeState(f"n{n}", 1, 1, failure_domain="d") for n in range(9)]
    >>> first = store_followers("d", states)
    >>> len(first), store_followers("e", states)
    (3, [])
    >>> store_followers("d", [s for s in states if s != first[0]])[:2] == first[1:]
    True
    """
    local = [s for s in states if s.failure_domain == domain and not s.is_leaving]
    local.sort(key=lambda state: stable_hash("follower", domain, state.node_id))
    return local[:FOLLOWERS_PER_DOMAIN]


class FollowerContact:
    """Whether followers' answers replace this node's own watches.

    An answer is sound if the follower's own watches are. In each round followers are
    asked until one answer is sound; a round without one ends the reliance at once.

    >>> contact = FollowerContact()
    >>> contact.note_answer(contact.choose(["a", "b"], 10.0), True, 10.0)
    >>> contact.is_sufficient(10.0), contact.is_sufficient(11.6)
    (True, False)
    >>> for at in (12.0, 13.5, 15.0):
    ...     contact.note_answer(contact.choose(["a", "b"], at), True, at)
    ...     print(contact.is_sufficient(at))
    False
    False
    True
    """

    def __init__(self):
        self._number = 0
        self._left_out_at = {}
        self._sound_since = None
        self._sound_at = None
        self._is_relied_on = False
        self._was_relied_on = False

    def choose(self, addresses, now):
        """Return the address to ask next."""
        self._left_out_at = {
            address: at
            for address, at in self._left_out_at.items()
            if now - at < LEFT_OUT_SECONDS
        }
        candidates = [a for a in addresses if a not in self._left_out_at]
        candidates = candidates or list(addresses)
        self._number += 1
        return candidates[(self._number - 1) % len(candidates)]

    def note_answer(self, address, is_sound, now):
        """Record whether a follower's answer is sound; one that is lost is not."""
        if not is_sound:
            self._left_out_at[address] = now
            return
        if self._sound_at is None or now - self._sound_at > FALLBACK_SECONDS:
            self._sound_since = now
        self._sound_at = now

    def note_lost(self):
        """Record that a round had no sound answer."""
        self._sound_at = None

    def is_sufficient(self, now):
        """Return whether this node needs no watches of its own."""
        is_recent = (
            self._sound_at is not None and now - self._sound_at <= FALLBACK_SECONDS
        )
        if not is_recent:
            self._is_relied_on = False
        elif not self._was_relied_on or now - self._sound_since >= RETURN_SECONDS:
            self._is_relied_on = self._was_relied_on = True
        return self._is_relied_on
