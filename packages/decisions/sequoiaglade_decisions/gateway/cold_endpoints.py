"""Which endpoints are cold, by their entries, their responses and failed connections.

Load pattern: an endpoint starts again under the same id while requests arrive at many
times the rate that it takes at first. Its new entry may reach a node seconds later, or
an outdated list after a newer one; other nodes may know of the start before.
"""

from enum import Enum
from typing import NamedTuple

from .permits import ColdBound

# A list that may be outdated is by some seconds, as the platform's documentation has
# it. An entry that arrives later than this after a failure was written after it.
REWRITE_SECONDS = 5.0
# Ends of requests are reported, or noted, within this time.
REPORT_SECONDS = 1.0
# An endpoint's answer within this time after another one failed shows that the failure
# was not that of the node's links; a node under load gets one in a fraction of it.
CONFIRM_SECONDS = 1.0
# Messages between nodes are late by less than this, with the gossip of small fleets.
MESSAGE_SECONDS = 1.0
# Granters tell of their cold endpoints in each round of gossip. What they told holds
# for several rounds of a large fleet, so that it ends soon after they know better.
GOSSIP_SECONDS = 10.0
# What is known of an endpoint that the list no longer has is dropped after this time.
RETENTION_SECONDS = 600.0


class Evidence(Enum):
    """By what an endpoint counts as cold."""

    ENTRY = "entry"
    RESPONSE = "response"
    FAILURE = "failed connection"
    PEER = "peer"


class ColdState(NamedTuple):
    """A cold endpoint: its bound, for how many more seconds, and by which evidence.

    What peers told counts only where this node has no evidence of its own. It is
    unconfirmed if only the granter's gossip told it, or if it is a presumption and no
    other endpoint has answered since: a node that is cut off from all endpoints
    presumes that all have started again. Unconfirmed states are not passed on.
    `is_pending` is whether it is presumed and no response has come since.
    """

    bound: ColdBound
    seconds: float
    evidence: Evidence
    is_unconfirmed: bool = False
    is_pending: bool = False


class ColdReport(NamedTuple):
    """A cold endpoint as nodes tell each other: its start and the seconds left."""

    endpoint_id: str
    born: int
    seconds: float


class _Row(NamedTuple):
    """What is known of an endpoint; times are those until which it counts as cold.

    `born`, `revision` and `entry_seconds` are those of its newest entry, which arrived
    at `entry_at`; `born` is -1 before the first one. The presumption has no end before
    the next response to a request that was sent after the last failure, at `failed_at`.
    """

    noted_at: float
    born: int = 0
    revision: int = 0
    entry_at: float = 0.0
    entry_seconds: float = 0.0
    entry_until: float = 0.0
    response_until: float = 0.0
    told_until: float = 0.0
    gossip_until: float = 0.0
    failed_since: float | None = None
    failed_at: float | None = None
    presumed_until: float | None = None
    is_confirmed: bool = False


class ColdEndpoints:
    """The endpoints that count as cold, for services that have a rate for these.

    An entry counts from its arrival, which is later than its writing. Of two entries
    the one with the later start is newer, then the one with the later revision; older
    and known ones change nothing, and where a revision is unknown (0) only a longer
    time counts.

    >>> from sequoiaglade_decisions.gateway import Endpoint, Service
    >>> cold = ColdEndpoints(overshoot=1.5, slack=5.0)
    >>> cold.configure({"s": Service("s", cold_seconds=30.0, cold_rate=8.5)})
    >>> entry = Endpoint("e-1", "s", "", "d", 8, born=7, cold_seconds=20.0, revision=3)
    >>> cold.note_entry(entry, now=100.0)
    >>> cold.find(entry, now=105.0).seconds, cold.find(entry, now=120.0)
    (15.0, None)

    An endpoint that broke a connection is presumed to have started again: it is cold
    for its service's time from its next response.

    >>> cold.note_failure("e-1", now=130.0)
    >>> cold.find(entry, now=190.0).seconds
    30.0
    >>> cold.note_response(entry, None, sent_at=190.0, now=191.0)
    >>> cold.find(entry, now=201.0).seconds, cold.find(entry, now=221.0)
    (20.0, None)
    """

    def __init__(self, overshoot, slack):
        self._overshoot = overshoot
        self._slack = slack
        self._service_by_name = {}
        self._row_by_id = {}
        # Failed endpoints whose presumption is not confirmed yet.
        self._unconfirmed_ids = set()
        # Endpoints that may be cold; most are not.
        self._suspect_ids = set()

    @property
    def has_suspects(self):
        """Whether any endpoint may be cold; if not, `find` finds none."""
        return bool(self._suspect_ids)

    def configure(self, service_by_name):
        """Set the services by name; those without a cold rate have no cold endpoints.

        What is known of endpoints holds for later configurations as well.
        """
        self._service_by_name = dict(service_by_name)

    def find(self, endpoint, now):
        """Return the `ColdState` of an `Endpoint`, or None if it is warm."""
        if endpoint.endpoint_id not in self._suspect_ids:
            return None
        service = self._service(endpoint)
        row = self._row_by_id[endpoint.endpoint_id]
        if service is None:
            return None
        told_until = max(row.told_until, row.gossip_until)
        known_until = max(row.entry_until, row.response_until, told_until)
        if row.failed_at is None and known_until <= now:
            self._suspect_ids.discard(endpoint.endpoint_id)
            return None
        bound = self.bound(service.cold_rate)
        ends = [
            (row.entry_until, Evidence.ENTRY),
            (row.response_until, Evidence.RESPONSE),
            (self._presumed_until(row, service, bound, now), Evidence.FAILURE),
        ]
        until, evidence = max(ends, key=lambda end: end[0])
        if until <= now:
            until, evidence = told_until, Evidence.PEER
        if until <= now:
            return None
        is_pending = row.failed_at is not None and row.presumed_until is None
        match evidence:
            case Evidence.FAILURE:
                is_unconfirmed = not row.is_confirmed
            case _:
                is_unconfirmed = evidence is Evidence.PEER and row.told_until <= now
        return ColdState(bound, until - now, evidence, is_unconfirmed, is_pending)

    def is_reportable(self, endpoint, now):
        """Return whether peers are to be told that an `Endpoint` is cold.

        A presumption that no response has ended is reported only for a while: a node
        that sends nothing more to the endpoint would never learn that it was sound.

        >>> from sequoiaglade_decisions.gateway import Endpoint, Service
        >>> cold = ColdEndpoints(overshoot=1.5, slack=5.0)
        >>> cold.configure({"s": Service("s", cold_seconds=30.0, cold_rate=8.5)})
        >>> endpoint = Endpoint("e-1", "s", "", "d", 8)
        >>> cold.note_own_answer("e-2", sent_at=9.0, now=10.0)
        >>> cold.note_failure("e-1", now=10.0)
        >>> cold.note_own_answer("e-2", sent_at=10.1, now=10.2)
        >>> [cold.is_reportable(endpoint, now) for now in (11.0, 16.0)]
        [True, False]
        """
        state = self.find(endpoint, now)
        if state is None or state.is_unconfirmed:
            return False
        failed_at = self._row_by_id[endpoint.endpoint_id].failed_at
        return not state.is_pending or now - failed_at < REWRITE_SECONDS

    def bound(self, rate):
        """Return the `ColdBound` of a rate."""
        return ColdBound(rate, self._overshoot, self._slack)

    def note_entry(self, endpoint, now):
        """Record the entry of an `Endpoint` as it arrives."""
        endpoint_id = endpoint.endpoint_id
        row = self._row_by_id.get(endpoint_id, _Row(now, born=-1))
        seconds = endpoint.cold_seconds
        until = now + seconds if seconds else 0.0
        match _compare(endpoint, row):
            case _Age.OLDER:
                return
            case _Age.UNKNOWN:
                if seconds != row.entry_seconds and until > row.entry_until:
                    row = row._replace(entry_seconds=seconds, entry_until=until)
                revision = row.revision or endpoint.revision
                self._put(endpoint_id, row._replace(revision=revision))
                return
            case _Age.NEW_START:
                row = _Row(now)
            case _Age.REWRITTEN:
                # A lagging entry may have been written before the failure.
                failed_at = row.failed_at
                if failed_at is not None and now - failed_at >= REWRITE_SECONDS:
                    row = row._replace(
                        failed_since=None,
                        failed_at=None,
                        presumed_until=None,
                        is_confirmed=False,
                    )
                # Peers that know of a later failure tell it again.
                told_until = min(row.told_until, now + REWRITE_SECONDS)
                gossip_until = min(row.gossip_until, now + REWRITE_SECONDS)
                row = row._replace(told_until=told_until, gossip_until=gossip_until)
            case _Age.FIRST:
                pass
        row = row._replace(
            noted_at=now,
            entry_at=now,
            born=endpoint.born,
            revision=endpoint.revision,
            entry_seconds=seconds,
            entry_until=until,
        )
        self._put(endpoint_id, row)

    def note_failure(self, endpoint_id, now):
        """Record that an endpoint refused or broke a connection."""
        row = self._row_by_id.get(endpoint_id, _Row(now, born=-1))
        since = now if row.failed_since is None else row.failed_since
        failed = row._replace(
            noted_at=now, failed_since=since, failed_at=now, presumed_until=None
        )
        self._put(endpoint_id, failed)
        if not row.is_confirmed:
            self._unconfirmed_ids.add(endpoint_id)

    def note_own_answer(self, endpoint_id, sent_at, now):
        """Record that an endpoint answered a request of this node on its own way.

        It confirms the presumptions on other endpoints that failed just before.
        """
        for failed_id in list(self._unconfirmed_ids):
            row = self._row_by_id.get(failed_id)
            if row is None or row.failed_at is None:
                self._unconfirmed_ids.discard(failed_id)
            elif now - row.failed_at > CONFIRM_SECONDS:
                self._unconfirmed_ids.discard(failed_id)
            elif failed_id != endpoint_id and sent_at >= row.failed_at:
                self._unconfirmed_ids.discard(failed_id)
                self._put(failed_id, row._replace(is_confirmed=True))

    def note_response(self, endpoint, seconds, sent_at, now):
        """Record a response to a request that was sent at a time.

        `seconds` is how much longer the endpoint is cold, None if it doesn't tell.

        >>> from sequoiaglade_decisions.gateway import Endpoint, Service
        >>> cold = ColdEndpoints(overshoot=1.5, slack=5.0)
        >>> cold.configure({"s": Service("s", cold_seconds=30.0, cold_rate=8.5)})
        >>> endpoint = Endpoint("e-1", "s", "", "d", 8, cold_seconds=20.0)
        >>> cold.note_entry(endpoint, now=0.0)
        >>> cold.note_response(endpoint, 25.0, sent_at=0.9, now=1.0)
        >>> cold.find(endpoint, now=2.0).evidence.value
        'response'
        >>> cold.note_response(endpoint, 0.0, sent_at=2.0, now=2.1)
        >>> cold.find(endpoint, now=2.2)
        """
        endpoint_id = endpoint.endpoint_id
        row = self._row_by_id.get(endpoint_id, _Row(now, born=-1))
        is_after_failure = row.failed_at is not None and sent_at >= row.failed_at
        if seconds is not None:
            if row.entry_at <= sent_at:
                row = row._replace(entry_until=0.0, told_until=0.0, gossip_until=0.0)
            if is_after_failure:
                row = row._replace(
                    failed_since=None,
                    failed_at=None,
                    presumed_until=None,
                    is_confirmed=False,
                )
            until = now + seconds if seconds else 0.0
            row = row._replace(response_until=until, noted_at=now)
        elif is_after_failure and row.presumed_until is None:
            service = self._service(endpoint)
            cold_seconds = service.cold_seconds if service else 0.0
            row = row._replace(presumed_until=now + cold_seconds)
        else:
            return
        self._put(endpoint_id, row)

    def note_reported_answer(self, endpoint, now):
        """Record that a node reported an answer, at an unknown time just before."""
        self.note_response(endpoint, None, now - REPORT_SECONDS, now)

    def note_done(self, endpoint_id, sent_at, now):
        """Record that a request ended well just before that was sent at a time.

        If it was sent before the failures and ended after them, the endpoint has not
        started again: the failures were those of the way to it, or of a request.

        >>> from sequoiaglade_decisions.gateway import Endpoint, Service
        >>> cold = ColdEndpoints(overshoot=1.5, slack=5.0)
        >>> cold.configure({"s": Service("s", cold_seconds=30.0, cold_rate=8.5)})
        >>> cold.note_failure("e-1", now=10.0)
        >>> cold.note_done("e-1", sent_at=11.0, now=12.0)
        >>> endpoint = Endpoint("e-1", "s", "", "d", 8)
        >>> cold.find(endpoint, now=12.0).evidence.value
        'failed connection'
        >>> cold.note_done("e-1", sent_at=9.0, now=12.0)
        >>> cold.find(endpoint, now=12.0)
        """
        row = self._row_by_id.get(endpoint_id)
        if row is None or row.failed_at is None:
            return
        if sent_at < row.failed_since and now - row.failed_at > REPORT_SECONDS:
            row = row._replace(
                failed_since=None,
                failed_at=None,
                presumed_until=None,
                is_confirmed=False,
            )
            self._put(endpoint_id, row)

    def note_told(self, endpoint, born, seconds, now, is_unconfirmed=False):
        """Record that a peer considers an endpoint cold; return if that is current.

        `born` is the start of the endpoint that the peer knows of. What
        `is_unconfirmed` there is not recorded.
        """
        row = self._row_by_id.get(endpoint.endpoint_id, _Row(now, born=-1))
        if born and born < row.born:
            return False
        # What two nodes tell each other in turn must not grow with each message's age.
        if not is_unconfirmed and now + seconds > row.told_until + MESSAGE_SECONDS:
            row = row._replace(told_until=now + seconds, noted_at=now)
            self._put(endpoint.endpoint_id, row)
        return True

    def receive(self, report, endpoint, now):
        """Record the `ColdReport` of a peer's state of an `Endpoint`."""
        row = self._row_by_id.get(endpoint.endpoint_id, _Row(now, born=-1))
        if report.born and report.born < row.born:
            return
        until = now + min(report.seconds, GOSSIP_SECONDS)
        if until > row.gossip_until:
            row = row._replace(gossip_until=until, noted_at=now)
            self._put(endpoint.endpoint_id, row)

    def keep_only(self, endpoint_ids, now):
        """Forget other endpoints of which nothing was noted for long."""
        self._row_by_id = {
            i: row
            for i, row in self._row_by_id.items()
            if i in endpoint_ids or now - row.noted_at <= RETENTION_SECONDS
        }
        self._suspect_ids.intersection_update(self._row_by_id)

    def _put(self, endpoint_id, row):
        self._row_by_id[endpoint_id] = row
        told_until = max(row.told_until, row.gossip_until)
        until = max(row.entry_until, row.response_until, told_until)
        if until > 0.0 or row.failed_at is not None:
            self._suspect_ids.add(endpoint_id)
        else:
            self._suspect_ids.discard(endpoint_id)

    def _service(self, endpoint):
        service = self._service_by_name.get(endpoint.service)
        return service if service is not None and service.cold_rate > 0 else None

    def _presumed_until(self, row, service, bound, now):
        if row.failed_at is None:
            return 0.0
        if row.presumed_until is not None:
            return row.presumed_until
        if bound.counts[0] < 1:
            # The bound allows no request, so that there will be no response.
            return row.failed_at + service.cold_seconds
        return now + service.cold_seconds


class _Age(Enum):
    OLDER = "older"
    UNKNOWN = "unknown"
    REWRITTEN = "rewritten"
    NEW_START = "new start"
    FIRST = "first"


def _compare(endpoint, row):
    """Return the `_Age` of an entry compared with the newest one of a row."""
    if row.born == -1:
        return _Age.FIRST
    if endpoint.born and row.born and endpoint.born != row.born:
        return _Age.NEW_START if endpoint.born > row.born else _Age.OLDER
    if not endpoint.revision or not row.revision:
        return _Age.UNKNOWN
    is_later = endpoint.revision > row.revision
    return _Age.REWRITTEN if is_later else _Age.OLDER
