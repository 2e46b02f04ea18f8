"""Steps that add limits of runners and cuts of gateways to the records of a day."""

from behave import when
from emulator.hunt.cut_faults import CutRecord
from emulator.hunt.limit_faults import LimitRecord
from emulator.hunt.records import Attempt, Disturbance, OnlineRequest

CUT_SPAN = (3.0, 10.0)
REFUSED_STATUS = 502


def _add(context, kind, record):
    records = {**context.evidence.records_by_kind, kind: [record]}
    context.evidence = context.evidence._replace(records_by_kind=records)


def _disturb(context, kind, gateway):
    disturbances = [Disturbance(kind, gateway, *CUT_SPAN)]
    context.evidence = context.evidence._replace(disturbances=disturbances)


@when(
    "a runner with a limit of {limit:g} gets {count:d} requests in 4 s from {since:g} "
    "s on"
)
def exceed_limit(context, limit, count, since):
    arrived = tuple(since + 3.9 * number / count for number in range(count))
    record = LimitRecord("runner-0", limit, 2.0, 11.0, arrived)
    _add(context, "RunnersLimited", record)


@when(
    "a runner with a limit of {limit:g} gets {count:d} requests in 4 s from {since:g} "
    "s on while a gateway is cut off"
)
def exceed_limit_at_cut(context, limit, count, since):
    exceed_limit(context, limit, count, since)
    _disturb(context, "GatewaysCutOff", None)


@when("{failed:d} of {count:d} first attempts fail at a gateway without runners")
def fail_at_cut(context, failed, count):
    _add(context, "GatewaysCutOff", CutRecord((2,), *CUT_SPAN))
    online = list(context.evidence.online)
    for number in range(count):
        sent_at = CUT_SPAN[0] + 3.5 + number / 10
        is_failed = number < failed
        events = () if is_failed else online[0].attempts[0].events
        status, end = (REFUSED_STATUS if is_failed else 200), "complete"
        attempt = Attempt(
            f"cut-{number}",
            2,
            sent_at,
            sent_at + 5,
            sent_at + 0.5,
            status,
            end,
            events,
            None,
            None,
        )
        online.append(OnlineRequest("resume", (attempt,)))
    ids = {request.attempts[0].request_id for request in online[-count:]}
    context.evidence = context.evidence._replace(online=online, request_ids=ids)


@when(
    "{failed:d} of {count:d} first attempts fail at a gateway without runners that was "
    "suspended"
)
def fail_at_suspended(context, failed, count):
    fail_at_cut(context, failed, count)
    _disturb(context, "GatewaySuspended", 2)
