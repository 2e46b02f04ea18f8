"""Messages to the coordinator about software versions of services and streams."""

from typing import NamedTuple


class UsableVersions(NamedTuple):
    """Asks for the software versions whose endpoints take requests of a service.

    The reply is a set.
    """

    service: str


class FindStreamKeepers(NamedTuple):
    """Asks which peers keep the version of a stream; the reply is a `StreamKeepers`."""

    request_id: str
    service: str


class FindRunKeepers(NamedTuple):
    """Asks which peers are to know of runs of streams of a service.

    `stream_id_by_run` has the stream of each run. The reply has by run a list of pairs
    of a peer address and the number of the peer's start. It is empty while the service
    has one version, which any gateway can tell.
    """

    service: str
    stream_id_by_run: dict


class StreamKeepers(NamedTuple):
    """Peer addresses of a stream's keepers, and its service's versions until lately.

    `is_list_readable` is whether these versions are those of the store's list now,
    `is_history_known` whether they have those from before the start of this node.
    """

    addresses: list
    versions: set
    is_list_readable: bool = True
    is_history_known: bool = True


class StreamAnswer(NamedTuple):
    """What peers answered about a stream; `version` is None if none knows it.

    `versions` are those of the service until lately, as far as these peers know, and
    `is_history_known` is whether one of them knows those from before its start.
    """

    version: str | None
    versions: frozenset = frozenset()
    is_history_known: bool = False


class FindRecentVersions(NamedTuple):
    """Asks for the versions that services have or had until lately.

    The reply is `RecentServiceVersions`.
    """


class RecentServiceVersions(NamedTuple):
    """Sets of versions by service, and whether this node is the one to record them."""

    versions_by_service: dict
    is_recorder: bool


class VersionsRecalled(NamedTuple):
    """The versions by service that were recorded before this node started."""

    versions_by_service: dict
