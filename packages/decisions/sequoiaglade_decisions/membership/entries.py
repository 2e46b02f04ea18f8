"""Choice of the node addresses that a caller is given."""

from typing import NamedTuple

MAX_ENTRIES = 8
OTHER_DOMAIN_ENTRIES = 2


class Entry(NamedTuple):
    """A node with its addresses for requests and for operators."""

    node_id: str
    failure_domain: str
    data: str
    control: str


def choose_entries(entries, failure_domain, rng):
    """Return up to `MAX_ENTRIES` entries, those of the failure domain first.

    Entries of other domains follow, in case the entire domain fails. The order within
    each part is random, so that callers are spread over the nodes.

    >>> import random
    >>> near, far = Entry("a", "d1", "", ""), Entry("b", "d2", "", "")
    >>> [entry.node_id for entry in choose_entries([far, near], "d1", random.Random(1))]
    ['a', 'b']
    """
    near = [entry for entry in entries if entry.failure_domain == failure_domain]
    far = [entry for entry in entries if entry.failure_domain != failure_domain]
    kept_far = min(len(far), max(OTHER_DOMAIN_ENTRIES, MAX_ENTRIES - len(near)))
    chosen = rng.sample(near, min(len(near), MAX_ENTRIES - kept_far))
    return chosen + rng.sample(far, kept_far)
