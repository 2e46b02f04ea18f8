"""Watches the endpoints and executes the dispatcher's network effects."""

import itertools
import json
import time
from concurrent.futures import ThreadPoolExecutor

import structlog

from sequoiaglade_decisions.outcomes import Failure, FailureCode
from sequoiaglade_decisions.poison import QUARANTINE_SECONDS
from sequoiaglade_decisions.routing import (
    LISTED,
    CrashConfirmed,
    CrashSuspected,
    LeavingSeen,
    PayingBatchWaits,
    ProbeWanted,
    Quarantined,
    YieldWanted,
)

from .timers import Timer

POLL_SECONDS = 1.0
POLLS_PER_ROUND = 4
INSTANCE_READS_PER_SECOND = 200
QUARANTINE_SECONDS_BETWEEN_READS = 30.0
PROBE_SILENCE_SECONDS = 3.0
QUARANTINE_KIND = "quarantine"
EFFECT_THREADS = 8


class EffectExecutor:
    """Executes the dispatcher's effects that need the network; a context manager.

    A call with an effect returns immediately. Results are passed to the dispatching
    actor. `spread_state` sends this node's state to peers ahead of the next round of
    gossip.
    """

    def __init__(
        self, dispatch, endpoints, holder, platform, news, journal, spread_state
    ):
        self._dispatch = dispatch
        self._endpoints = endpoints
        self._holder = holder
        self._platform = platform
        self._news = news
        self._journal = journal
        self._spread_state = spread_state
        self._silent_since = {}
        self._pool = ThreadPoolExecutor(EFFECT_THREADS, "messenger")

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._pool.shutdown(wait=False, cancel_futures=True)

    def __call__(self, effect):
        try:
            self._pool.submit(self._execute, effect)
        except RuntimeError:
            structlog.get_logger().info("effect dropped while stopping")

    def _execute(self, effect):
        match effect:
            case CrashSuspected(crash=crash):
                is_crash = self._has_crashed(crash.endpoint_id)
                self._dispatch.confirm_crash(effect, is_crash)
            case CrashConfirmed(crash=crash, fingerprints=fingerprints):
                self._record(crash.endpoint_id, "endpoint_crashed", fingerprints)
                self._news.spread_crash(crash, fingerprints)
            case Quarantined(fingerprint=fingerprint):
                self._quarantine(fingerprint)
            case LeavingSeen(endpoint_id=endpoint_id):
                self._record(endpoint_id, "endpoint_leaving", ())
                self._news.spread_leaving(endpoint_id)
            case ProbeWanted():
                self._probe(effect)
            case YieldWanted(target=target, count=count):
                slots = self._news.ask_to_yield(target, count)
                self._dispatch.peers_yielded(target, slots)
            case PayingBatchWaits(target=target):
                structlog.get_logger().info("paying batch waits", target=target)
                self._spread_state()

    def _has_crashed(self, endpoint_id):
        endpoint = self._holder.current.endpoint(endpoint_id)
        if endpoint is None:
            return True
        report = self._endpoints.load(endpoint.url)
        is_failure = isinstance(report, Failure)
        return is_failure and report.code is FailureCode.UNAVAILABLE

    def _probe(self, wanted):
        answers = self._news.probe(wanted)
        if answers.quarantined:
            self._dispatch.learn_quarantine([wanted.fingerprint])
            return
        is_allowed = not answers.refused
        if answers.has_timeout:
            now = time.monotonic()
            since = self._silent_since.setdefault(wanted.ticket_id, now)
            is_allowed = is_allowed and now - since >= PROBE_SILENCE_SECONDS
        if is_allowed:
            self._silent_since.pop(wanted.ticket_id, None)
            is_allowed = not self._has_crashed(wanted.endpoint_id)
        self._dispatch.probe_answered(wanted, is_allowed)

    def _quarantine(self, fingerprint):
        self._record(fingerprint, "request_quarantined", ())
        structlog.get_logger().warning("request quarantined", fingerprint=fingerprint)
        self._news.spread_quarantine(fingerprint)
        value = json.dumps({"at": time.time()}).encode()
        self._platform.create(QUARANTINE_KIND, fingerprint, value)

    def _record(self, subject, rule, fingerprints):
        self._journal.record(
            "routing", subject, rule, "spread", fingerprints=list(fingerprints)
        )


class EndpointWatch:
    """Polls load reports, the platform's list of instances, and quarantines.

    A context manager. Each round polls the next `POLLS_PER_ROUND` endpoints in turn, so
    that a node's polling does not grow with the fleet. All nodes together read the list
    of instances at most `INSTANCE_READS_PER_SECOND` times. An instance matches the
    endpoint of the same name or at the same address.
    """

    def __init__(self, dispatch, endpoints, holder, platform, node_count):
        self._dispatch = dispatch
        self._endpoints = endpoints
        self._holder = holder
        self._platform = platform
        self._node_count = node_count
        self._next = itertools.count()
        self._listed_at = self._read_at = float("-inf")
        self._timer = Timer(POLL_SECONDS, self.run_once, "endpoint-watch")

    def __enter__(self):
        self._timer.__enter__()
        return self

    def __exit__(self, *exc_info):
        self._timer.__exit__(*exc_info)

    def run_once(self):
        """Perform the polls that are due."""
        now = time.monotonic()
        pause = max(POLL_SECONDS, self._node_count() / INSTANCE_READS_PER_SECOND)
        if now - self._listed_at >= 0.9 * pause:
            self._listed_at = now
            self._read_instances()
        if now - self._read_at >= QUARANTINE_SECONDS_BETWEEN_READS:
            if self._read_quarantines():
                self._read_at = now
        self._poll_reports()

    def _poll_reports(self):
        endpoints = list(self._holder.current.document.endpoints.items())
        for _ in range(min(POLLS_PER_ROUND, len(endpoints))):
            endpoint_id, endpoint = endpoints[next(self._next) % len(endpoints)]
            if endpoint.model is None:
                continue
            report = self._endpoints.load(endpoint.url)
            if not isinstance(report, Failure):
                self._dispatch.observe_report(endpoint_id, report)

    def _read_instances(self):
        listed = self._platform.instances()
        if isinstance(listed, Failure):
            return
        names = {i.instance_id for i in listed if i.state == "leaving"}
        endpoints = self._holder.current.document.endpoints
        leaving = [
            endpoint_id
            for endpoint_id, endpoint in endpoints.items()
            if endpoint_id in names or endpoint.url.partition("://")[2] in names
        ]
        self._dispatch.set_leaving(frozenset(leaving), LISTED)

    def _read_quarantines(self):
        found = self._platform.list(QUARANTINE_KIND)
        if isinstance(found, Failure):
            return False
        kept = [stored for stored in found if not self._is_old(stored)]
        self._dispatch.learn_quarantine([stored.name for stored in kept])
        return True

    def _is_old(self, stored):
        age = time.time() - json.loads(stored.value)["at"]
        if age <= QUARANTINE_SECONDS:
            return False
        self._platform.delete(QUARANTINE_KIND, stored.name, stored.version)
        return True
