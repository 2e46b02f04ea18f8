"""Settings of a gateway node, read from a YAML file."""

from typing import Annotated

import yaml
from pydantic import Field, ValidationError

from sequoiaglade_node.listener_settings import Address, Limits, SettingsPart

NodeId = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$")]


class Listeners(SettingsPart):
    """Addresses, each HOST:PORT, that the node listens on.

    `data` serves callers, `readiness` the platform's readiness checks, `directory`
    callers that ask for the nodes' addresses, `peer` the other nodes.
    """

    data: Address
    readiness: Address
    directory: Address
    peer: Address


class StoreAccess(SettingsPart):
    """The platform's store: its address and the maximum size of a value in bytes."""

    address: Address
    value_bytes: int = Field(default=1_048_576, ge=65_536)


class Processor(SettingsPart):
    """The instance's processor: its cores, and the share of their time for the node."""

    share: float = Field(default=1.0, gt=0, le=1)
    cores: float = Field(default=1.0, gt=0)


class ColdStarts(SettingsPart):
    """How far the requests to a cold endpoint may exceed its rate.

    In one second it gets at most its rate times `overshoot`, plus `slack`, from all
    nodes together.
    """

    overshoot: float = Field(ge=1, le=100)
    slack: float = Field(ge=0, le=1_000_000)


class GatewaySettings(SettingsPart):
    """All settings of a gateway node.

    Metrics are served under ``/metrics`` at the address `metrics`, if it is set.
    `seeds` are the peer addresses to contact first. `is_first_start` states that the
    whole system starts for the first time. The process is killed `grace_seconds` after
    the request to stop. Endpoints serve new requests for `drain_milliseconds` after
    they announced their shutdown. `directory_seconds` is the time to live of the
    addresses that the directory returns.

    `cold_starts` bounds the requests to endpoints that are cold; None ignores that they
    are. `evacuations` is whether operators may evacuate failure domains. `region` is
    that of the node, `region_by_failure_domain` those of all failure domains, both
    empty or null if requests have no homes. An instance that was lost for
    `stable_milliseconds` is to be known as lost soon after. `endpoint_pacing` is
    whether the number of requests at an endpoint that has started or recovered follows
    from its responses. `quota_window_seconds` is the length of the windows in which a
    workspace may use its rate times the window plus its burst; None for token buckets
    alone. `memory_mb` is the memory of the instance in megabytes; clients may make the
    process hold half of what remains beyond an idle process.
    """

    node_id: NodeId
    failure_domain: str
    listen: Listeners | None = None
    store: StoreAccess
    metrics: Address | None = None
    seeds: tuple[Address, ...] = ()
    is_first_start: bool = False
    grace_seconds: float = Field(default=8.0, gt=0, le=3600)
    drain_milliseconds: int = Field(default=2000, ge=0, le=3_600_000)
    directory_seconds: float = Field(default=1.0, gt=0, le=60)
    cold_starts: ColdStarts | None = None
    evacuations: bool = False
    region: str | None = ""
    region_by_failure_domain: dict[str, str] | None = {}
    stable_milliseconds: int = Field(default=3000, ge=0, le=3_600_000)
    endpoint_pacing: bool = False
    memory_mb: int = Field(default=256, ge=16, le=1_048_576)
    quota_window_seconds: float | None = Field(default=None, gt=0, le=3600)
    limits: Limits = Field(default_factory=Limits)
    processor: Processor = Field(default_factory=Processor)
    log_level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"


class SettingsFault(Exception):  # noqa: N818
    """Raised for invalid settings; `faults` are pairs of location and reason."""

    def __init__(self, path, faults):
        self.path = path
        self.faults = faults
        lines = [f"{path}: {location}: {reason}" for location, reason in faults]
        super().__init__("\n".join(lines))


def load_settings(path, more=""):
    """Return the `GatewaySettings` in a YAML file; raise `SettingsFault`.

    `more` is a YAML text with further settings; the file goes before it.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return parse_settings(file.read(), path, more)
    except OSError as error:
        raise SettingsFault(path, [("file", error.strerror or str(error))]) from error


def parse_settings(text, path="settings", more=""):
    """Return the `GatewaySettings` that YAML texts contain; raise `SettingsFault`.

    >>> parse_settings("node_id: a", "x.yaml")
    Traceback (most recent call last):
    sequoiaglade_gateway.settings.SettingsFault: x.yaml: failure_domain: Field required
    x.yaml: store: Field required
    >>> text = "{node_id: a, failure_domain: d, store: {address: '10.0.0.1:80'}}"
    >>> parse_settings(text, more="{evacuations: true}").evacuations
    True
    """
    value = _read_mapping(more or "{}", path, "further settings")
    value |= _read_mapping(text, path, "text")
    try:
        return GatewaySettings(**value)
    except ValidationError as error:
        faults = [
            (".".join(map(str, fault["loc"])) or "settings", fault["msg"])
            for fault in error.errors()
        ]
        raise SettingsFault(path, faults) from error


def _read_mapping(text, path, location):
    try:
        value = yaml.safe_load(text)
    except yaml.YAMLError as error:
        reason = str(error).replace("\n", " ")
        raise SettingsFault(path, [(location, reason)]) from error
    if not isinstance(value, dict):
        raise SettingsFault(path, [(location, "the settings are not a mapping")])
    return value
