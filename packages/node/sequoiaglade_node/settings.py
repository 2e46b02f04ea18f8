"""Settings of a node, as in its YAML file."""

import ipaddress
import socket
from typing import Annotated

from pydantic import AfterValidator, Field

from .listener_settings import Address, Limits, SettingsPart

HIGHEST_PORT = 65_535
_UNSPECIFIED = bytes(4)


def _check_reachable(address):
    port = int(address.rpartition(":")[2])
    if not 1 <= port <= HIGHEST_PORT:
        raise ValueError(f"{port} is no port that others can connect to")
    if is_wildcard(address):
        raise ValueError(f"{address} is a wildcard, which others can't connect to")
    return address


ReachableAddress = Annotated[Address, AfterValidator(_check_reachable)]
Url = Annotated[str, Field(pattern=r"^https?://[^/\s]+$")]


class Listeners(SettingsPart):
    """Addresses, each HOST:PORT, that the node listens on.

    `data` serves callers, `control` health, metrics, discovery and operators, `peer`
    the other nodes.
    """

    data: Address
    control: Address
    peer: Address


class Advertised(SettingsPart):
    """Addresses by which others reach the listeners, if they differ from `listen`."""

    data: ReachableAddress | None = None
    control: ReachableAddress | None = None
    peer: ReachableAddress | None = None


class NodeSettings(SettingsPart):
    """All settings of a node.

    `advertise` contains the addresses by which callers and peers reach the node if
    those of `listen` can't be used for it.
    `peers` are the peer addresses to contact first; the platform lists further ones.
    `operator_token_digest` is the SHA-256 digest of the token that may change every
    section, used to set up the first teams. Callers may cache the list of entries for
    `keep_seconds`; a planned stop keeps serving for that time and then waits up to
    `drain_seconds` for running requests.
    """

    node_id: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
    instance_id: str | None = None
    failure_domain: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
    listen: Listeners
    advertise: Advertised = Advertised()
    platform_urls: tuple[Url, ...] = Field(min_length=1)
    peers: tuple[Address, ...] = ()
    data_folder: str | None = None
    operator_token_digest: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")] | None = (
        None
    )
    limits: Limits = Limits()
    keep_seconds: float = Field(default=5.0, ge=0, le=300)
    drain_seconds: float = Field(default=60.0, ge=0, le=3600)
    log_level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"
    traces_url: Url | None = None
    recording_folder: str | None = None

    @property
    def advertised(self):
        """The `Listeners` with the addresses that callers and peers use."""
        changed = self.advertise.model_dump(exclude_none=True)
        return self.listen.model_copy(update=changed)

    def cross_faults(self):
        """Return pairs of location and reason for faults between keys."""
        return [
            (
                ("listen", name),
                f"{address} is a wildcard, so that advertise.{name} is needed",
            )
            for name, address in self.advertised
            if is_wildcard(address)
        ]


def is_wildcard(address):
    """Return whether HOST:PORT stands for all addresses of an instance.

    >>> is_wildcard("0.0.0.0:8080"), is_wildcard("10.0.0.11:8080")
    (True, False)
    """
    host = address.rpartition(":")[0].strip("[]")
    if ":" in host:
        return _is_unspecified(host)
    try:
        return socket.inet_aton(host) == _UNSPECIFIED
    except OSError:
        return False


def _is_unspecified(host):
    try:
        address = ipaddress.IPv6Address(host)
    except ValueError:
        return False
    return (address.ipv4_mapped or address).is_unspecified
