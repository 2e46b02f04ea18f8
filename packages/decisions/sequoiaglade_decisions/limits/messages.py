"""Messages between nodes about limits."""

from typing import NamedTuple


class Nonce(NamedTuple):
    """Time of a poll on the pool node's own clock, quoted by the answers to it."""

    incarnation: int
    issued_at: float


class Poll(NamedTuple):
    """Request of a pool node to a peer to lease it the peer's slots in `groups`.

    `peer` and `entry` are the sender's addresses for nodes and for callers. A
    `leaving` node is no longer a pool node.
    """

    sender: str
    peer: str
    entry: str
    nonce: Nonce
    groups: tuple[int, ...]
    leaving: bool = False


class Cession(NamedTuple):
    """Answer to a `Poll`: the sender leases `slots` in `groups` to the nonce's issuer.

    The lease expires `term` seconds after the nonce was issued. `settled` returns
    grants, as pairs of grant id and number of unspent tokens.
    """

    sender: str
    nonce: Nonce
    groups: tuple[int, ...]
    slots: int
    term: float
    settled: tuple[tuple[int, int], ...] = ()


class GrantRequest(NamedTuple):
    """Request to a pool node for up to `wanted` tokens of a workspace.

    With 0 wanted, the message only returns the `settled` grants, given as in
    `Cession`. A token admits one request.
    """

    sender: str
    workspace: str
    wanted: int
    settled: tuple[tuple[int, int], ...] = ()


class PoolGrant(NamedTuple):
    """Answer to a `GrantRequest`; without `tokens`, retry after `retry_after` seconds.

    A grant with `settle_at_once` set is settled as soon as it is spent, since it holds
    up other grants while it counts as outstanding. A node that is not the pool node of
    the workspace's group redirects to the one that is: `pool` is its id, `pool_peer`
    its address for nodes.
    """

    grant_id: int
    tokens: int
    retry_after: float
    settle_at_once: bool = False
    pool: str = ""
    pool_peer: str = ""
