"""Settings of a node, as in its YAML file."""

import ipaddress
import socket
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

HIGHEST_PORT = 65_535
_UNSPECIFIED = bytes(4)

Address = Annotated[str, Field(pattern=r"^[0-9A-Za-z_.\-\[\]:]*[0-9A-Za-z_.\-\]]:\d+$")]


def _check_reachable(address):
    port = int(address.rpartition(":")[2])
    if not 1 <= port <= HIGHEST_PORT:
        raise ValueError(f"{port} is no port that others can connect to")
    if is_wildcard(address):
        raise ValueError(f"{address} is a wildcard, which others can't connect to")
    return address


ReachableAddress = Annotated[Address, AfterValidator(_check_reachable)]
Url = Annotated[str, Field(pattern=r"^https?://[^/\s]+$")]


class _Part(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Listeners(_Part):
    """Addresses, each HOST:PORT, that the node listens on.

    `data` serves callers, `control` health, metrics, discovery and operators, `peer`
    the other nodes.
    """

    data: Address
    control: Address
    peer: Address


class Advertised(_Part):
    """Addresses by which others reach the listeners, if they differ from `listen`."""

    data: ReachableAddress | None = None
    control: ReachableAddress | None = None
    peer: ReachableAddress | None = None


class Limits(_Part):
    """Limits on the requests of a node.

    A body over `body_buffer_bytes` is buffered in a file while it arrives. `uploads`
    limits the concurrent uploads of files, `arrival_seconds` the arrival of a request's
    head. A body of which nothing arrives for `body_idle_seconds` is refused, and a
    connection whose response is not read for `unread_seconds` closed. A call may wait
    `queue_seconds` for a thread, and again for a slot.
    `answer_seconds` limits the wait for the start of an endpoint's response,
    `stall_seconds` each wait for a further part of a stream.
    """

    data_threads: int = Field(default=512, ge=4, le=10_000)
    connections: int = Field(default=4096, ge=16, le=100_000)
    body_bytes: int = Field(default=8_388_608, ge=1024, le=1_073_741_824)
    file_bytes: int = Field(default=268_435_456, ge=1024, le=4_294_967_296)
    body_buffer_bytes: int = Field(default=65_536, ge=1024, le=1_048_576)
    uploads: int = Field(default=16, ge=1, le=10_000)
    header_bytes: int = Field(default=32_768, ge=1024, le=1_048_576)
    arrival_seconds: float = Field(default=30.0, gt=0, le=3600)
    body_idle_seconds: float = Field(default=75.0, gt=0, le=3600)
    unread_seconds: float = Field(default=75.0, gt=0, le=3600)
    answer_seconds: float = Field(default=60.0, gt=0, le=3600)
    stall_seconds: float = Field(default=15.0, gt=0, le=3600)
    queue_seconds: float = Field(default=10.0, gt=0, le=600)
    batch_workers: int = Field(default=16, ge=0, le=1024)
    batch_lease_seconds: float = Field(default=30.0, ge=1, le=600)


class NodeSettings(_Part):
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
