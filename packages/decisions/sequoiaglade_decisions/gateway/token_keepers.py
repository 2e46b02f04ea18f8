"""Nodes that keep the waiting tokens of a workspace, in a large fleet.

Load pattern: a few submissions a second, each at any of 14 to 400 nodes, while nodes
start, leave, fall silent and are cut off from each other. One node decides on all jobs
of a workspace, so that a submission costs the same in a fleet of any size.
"""

from typing import NamedTuple

from .hashing import stable_hash

# The first one decides. The others are told of accepted jobs, and decide if it doesn't.
KEEPERS = 3
# Calls about one job: two for other views of the fleet or last resorts.
ASKS_MAX = KEEPERS + 2
# With less than this fraction of the known nodes live, others may accept jobs unheard;
# the stored jobs are read before each decision.
COMPLETE_SHARE = 0.9
# The others do not look for the jobs of a part of the fleet of at most this fraction,
# the rest to 1.0, which therefore accepts none.
MINORITY_SHARE = 0.1


class KeeperAsk(NamedTuple):
    """The node to ask next, by its peer address.

    `tried` are the addresses that were asked before or do not respond. An ask
    `is_last_resort` when no keeper is settled.
    """

    address: str
    tried: tuple[str, ...] = ()
    is_last_resort: bool = False


class KeeperAnswer(NamedTuple):
    """A node's answer; `is_accepted` is None if it does not decide.

    `is_new` as in `Admission`. `keepers` are the addresses that the node takes for the
    workspace's keepers.
    """

    is_accepted: bool | None
    is_new: bool = False
    keepers: tuple[str, ...] = ()


def token_keepers(workspace, node_ids):
    """Return the ids of the nodes that keep a workspace's tokens, the first first.

    All nodes with the same view of the fleet compute the same ones. If one is lost the
    next one takes over.

    >>> token_keepers("w", "abcd") == token_keepers("w", "dcba")
    True
    >>> first, *others = token_keepers("w", "abcd")
    >>> token_keepers("w", set("abcd") - {first})[:2] == others
    True
    """
    ranked = sorted(node_ids, key=lambda i: stable_hash("tokens", workspace, i))
    return ranked[:KEEPERS]


def may_decide(own_address, keepers, ask, is_settled, share):
    """Return whether a node decides on a job that it was asked about.

    `keepers` are those by its own view, `share` is the fraction of the known nodes that
    it takes for live. A node that has just started, or leaves, knows too little: those
    that took it for no keeper may still ask the former one.

    >>> ask = KeeperAsk("b", tried=("a",))
    >>> may_decide("b", ("a", "b"), ask, is_settled=True, share=1.0)
    True
    >>> may_decide("b", ("c", "b"), ask, is_settled=True, share=1.0)
    False
    >>> may_decide("b", ("a", "b"), ask, is_settled=False, share=1.0)
    False
    >>> last = ask._replace(is_last_resort=True)
    >>> may_decide("b", ("a", "b"), last, is_settled=False, share=1.0)
    True
    >>> [may_decide("b", ("b",), last, True, share) for share in (3 / 30, 4 / 30)]
    [False, True]
    """
    if own_address not in keepers or share <= MINORITY_SHARE:
        return False
    if ask.is_last_resort:
        return True
    before = keepers[: keepers.index(own_address)]
    return is_settled and set(before) <= set(ask.tried)


class KeeperSearch:
    """The asks about one job, until a keeper decides.

    `keepers` are the addresses by the asking node's view. A node with another view
    names its own ones. Those that are `unresponsive` are asked after all others.

    >>> search = KeeperSearch(["a", "b"])
    >>> ask = search.next_ask()
    >>> search.note(ask, None)
    >>> ask = search.next_ask()
    >>> ask
    KeeperAsk(address='b', tried=('a',), is_last_resort=False)
    >>> search.note(ask, KeeperAnswer(None, keepers=("c", "a")))
    >>> ask = search.next_ask()
    >>> ask.address
    'c'
    >>> search.note(ask, KeeperAnswer(True, True))
    >>> search.answer, search.unanswered
    (KeeperAnswer(is_accepted=True, is_new=True, keepers=()), ['a'])
    """

    def __init__(self, keepers, unresponsive=()):
        self._tried = [a for a in keepers if a in unresponsive]
        self._queue = [a for a in keepers if a not in unresponsive] + self._tried
        self._undecided = []
        self._asks_left = ASKS_MAX
        self.answer = None
        self.unanswered = []

    def next_ask(self):
        """Return the next `KeeperAsk`, or None if no keeper is left."""
        if not self._asks_left:
            return None
        self._asks_left -= 1
        if self._queue:
            return KeeperAsk(self._queue.pop(0), tuple(self._tried))
        if self._undecided:
            return KeeperAsk(self._undecided.pop(0), tuple(self._tried), True)
        return None

    def note(self, ask, answer):
        """Record the `KeeperAnswer` to an ask, None if there was none."""
        if ask.address not in self._tried:
            self._tried.append(ask.address)
        if answer is None:
            self.unanswered.append(ask.address)
            return
        if answer.is_accepted is not None:
            self.answer = answer
            return
        if ask.address in answer.keepers and not ask.is_last_resort:
            self._undecided.append(ask.address)
        known = {*self._tried, *self._queue}
        # The named ones that rank before this node first.
        self._queue[:0] = [a for a in answer.keepers if a not in known]
