"""Effects that the dispatcher returns for its owner to carry out."""

from dataclasses import dataclass

from ..outcomes import Refusal
from ..poison import Crash


@dataclass(frozen=True)
class Granted:
    """The ticket may run on the endpoint."""

    ticket_id: str
    endpoint_id: str


@dataclass(frozen=True)
class Rejected:
    """The ticket is answered with the refusal and leaves the dispatcher."""

    ticket_id: str
    refusal: Refusal


@dataclass(frozen=True)
class Preempted:
    """The run of the granted batch ticket has to stop immediately."""

    ticket_id: str


@dataclass(frozen=True)
class YieldWanted:
    """`count` online tickets wait, and only peers may have batch to preempt."""

    target: str
    count: int


@dataclass(frozen=True)
class PayingBatchWaits:
    """Paying batch has begun to wait; trial batch of peers is to leave it the slots."""

    target: str


@dataclass(frozen=True)
class Recalled:
    """The granted ticket may crash its endpoint; its run stops if it is repeatable."""

    ticket_id: str


@dataclass(frozen=True)
class ProbeWanted:
    """The peers are asked whether the suspect ticket may run alone on the endpoint.

    `crashes` are those with the fingerprint in flight.
    """

    ticket_id: str
    fingerprint: str
    endpoint_id: str
    crashes: tuple[Crash, ...] = ()


@dataclass(frozen=True)
class CrashSuspected:
    """The endpoint seems to have crashed with these fingerprints in flight.

    The owner checks whether the endpoint still answers and always reports the result
    by `Dispatcher.confirm_crash`.
    """

    crash: Crash
    fingerprints: tuple[str, ...]
    is_alone: bool


@dataclass(frozen=True)
class CrashConfirmed:
    """The peers have to be notified of a crash with `fingerprints` in flight."""

    crash: Crash
    fingerprints: tuple[str, ...]


@dataclass(frozen=True)
class Quarantined:
    """All nodes have to refuse the fingerprint from now on."""

    fingerprint: str


@dataclass(frozen=True)
class LeavingSeen:
    """The endpoint reported that it is leaving; the peers have to be notified."""

    endpoint_id: str
