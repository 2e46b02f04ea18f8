"""Choice of the nodes that remove the announcement of a dead node."""

import hashlib

REMOVE_AFTER_SECONDS = 30.0
REMOVERS_PER_NODE = 2


def is_remover(node_id, dead_id, live_ids):
    """Return whether `node_id` is one of the `REMOVERS_PER_NODE` for `dead_id`.

    >>> nodes = ("a", "b", "c", "d")
    >>> sum(is_remover(node, "x", nodes) for node in nodes)
    2
    """
    ranked = sorted({node_id, *live_ids}, key=lambda name: _rank(name, dead_id))
    return node_id in ranked[:REMOVERS_PER_NODE]


def _rank(node_id, dead_id):
    return hashlib.sha256(f"{node_id}/{dead_id}".encode()).digest()
