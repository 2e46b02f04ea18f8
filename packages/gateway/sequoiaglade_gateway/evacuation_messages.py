"""Messages to the coordinator about evacuated failure domains."""

from typing import NamedTuple


class EvacuationsListed(NamedTuple):
    """All evacuated failure domains were read; the reply is `EvacuationNews`."""

    domains: tuple[str, ...]


class EvacuationChanged(NamedTuple):
    """An evacuation's entry was written or removed; the reply is `EvacuationNews`."""

    domain: str
    is_evacuated: bool


class EvacuationNews(NamedTuple):
    """How many evacuations a message began, ended, and named an unknown domain."""

    begun: int = 0
    ended: int = 0
    unknown: int = 0


class IsEvacuated(NamedTuple):
    """Asks whether a failure domain is evacuated; the reply is a bool."""

    failure_domain: str


class FindEvacuated(NamedTuple):
    """Asks for the evacuated endpoints of a service; reply: `EvacuatedEndpoints`."""

    service: str


class EvacuatedEndpoints(NamedTuple):
    """The ids of the evacuated endpoints of a service, and their failure domains."""

    ids: frozenset
    domains: tuple[str, ...]
