"""Encoding of states, reports and jobs as messages of the protocol between nodes."""

from sequoiaglade_decisions.gateway import (
    Full,
    Item,
    JobSpec,
    JobSummary,
    NodeState,
    PartCrash,
    Placed,
    Result,
    Scheduled,
    SoundPart,
)
from sequoiaglade_protocol import fleet_pb2

from ..messages import (
    EndpointResult,
    LoadReport,
    PlaceRequest,
    QuotaExceeded,
    Schedule,
)
from .limit_codec import (
    MS_PER_SECOND,
    decode_cold,
    decode_notice,
    decode_pace,
    encode_cold,
    encode_notice,
    encode_pace,
)


def encode_state(state):
    """Return the message for a `NodeState`."""
    message = fleet_pb2.FleetNode(
        node_id=state.node_id,
        incarnation=state.incarnation,
        sequence=state.sequence,
        data_address=state.data_address,
        peer_address=state.peer_address,
        failure_domain=state.failure_domain,
        is_leaving=state.is_leaving,
        is_gone=state.is_gone,
        configuration_version=state.configuration_version,
        loads=_encode_loads(state.load_by_endpoint),
        admitted=_encode_admitted(state.admitted_by_workspace),
        batch_backlog=state.batch_backlog,
        batch_running=state.batch_running,
        jobs=[encode_summary(job) for job in state.jobs],
        crashes=[
            fleet_pb2.EndpointCrash(
                fingerprint=fingerprint,
                endpoint_key=key,
                age_ms=int(age * MS_PER_SECOND),
                has_begun=has_begun,
            )
            for fingerprint, key, age, has_begun in state.crashes
        ],
        is_store_reachable=state.is_store_reachable,
        cores=state.cores,
        is_admitted_partial=not state.is_admitted_complete,
        part_crashes=[
            _encode_part_crash(row) for row in state.part_crashes if not row.has_begun
        ],
        begun_part_crashes=[
            _encode_part_crash(row) for row in state.part_crashes if row.has_begun
        ],
        sound_parts=[
            fleet_pb2.SoundPart(
                service=sound.service,
                part=sound.part,
                age_ms=int(sound.at * MS_PER_SECOND),
                is_complete=sound.is_complete,
            )
            for sound in state.sound_parts
        ],
        survived_breaks=[
            fleet_pb2.SurvivedBreak(endpoint_key=key, fingerprint=fingerprint)
            for key, fingerprint in state.survived_breaks
        ],
        request_limits=map(encode_notice, state.request_limits),
        is_cut_off=state.is_cut_off,
        protocol_revision=state.protocol_revision,
    )
    # Most states have neither.
    if state.cold_endpoints:
        message.cold_endpoints.extend(map(encode_cold, state.cold_endpoints))
    if state.paces:
        message.paces.extend(map(encode_pace, state.paces))
    return message


def decode_state(message):
    """Return the `NodeState` of a message.

    >>> from sequoiaglade_decisions.gateway import ColdReport, LimitNotice, PaceLimit
    >>> crash = PartCrash("s", ("p", "q"), "f", "e-1/5", 1.5)
    >>> state = NodeState("n", 1, 1, part_crashes=(crash,))
    >>> state = state._replace(sound_parts=(SoundPart("s", "p", 0.25, True),))
    >>> begun = crash._replace(request="h", has_begun=True)
    >>> state = state._replace(part_crashes=(crash, begun))
    >>> state = state._replace(survived_breaks=(("e-2/6", "g"),))
    >>> notices = (LimitNotice("e-1", 5, 2.5, 0.25), LimitNotice("e-2", 6, None, 1.5))
    >>> state = state._replace(request_limits=notices, is_cut_off=True)
    >>> paces = (PaceLimit("e-1", 2.5, True, "late", 0.25),)
    >>> state = state._replace(paces=paces)
    >>> state = state._replace(cold_endpoints=(ColdReport("e-1", 5, 2.5),))
    >>> state = state._replace(protocol_revision=1)
    >>> decode_state(encode_state(state)) == state
    True

    The messages of releases without these fields have none.

    >>> decode_state(fleet_pb2.FleetNode(node_id="n")).part_crashes
    ()
    """
    return NodeState(
        node_id=message.node_id,
        incarnation=message.incarnation,
        sequence=message.sequence,
        data_address=message.data_address,
        peer_address=message.peer_address,
        failure_domain=message.failure_domain,
        is_leaving=message.is_leaving,
        is_gone=message.is_gone,
        configuration_version=message.configuration_version,
        load_by_endpoint=_decode_loads(message.loads),
        admitted_by_workspace=_decode_admitted(message.admitted),
        batch_backlog=message.batch_backlog,
        batch_running=message.batch_running,
        jobs=tuple(decode_summary(job) for job in message.jobs),
        crashes=tuple(
            (
                row.fingerprint,
                row.endpoint_key,
                row.age_ms / MS_PER_SECOND,
                row.has_begun,
            )
            for row in message.crashes
        ),
        is_store_reachable=message.is_store_reachable,
        cores=message.cores,
        is_admitted_complete=not message.is_admitted_partial,
        part_crashes=(
            _decode_part_crashes(message.part_crashes, has_begun=False)
            + _decode_part_crashes(message.begun_part_crashes, has_begun=True)
        ),
        sound_parts=tuple(
            SoundPart(
                row.service, row.part, row.age_ms / MS_PER_SECOND, row.is_complete
            )
            for row in message.sound_parts
        ),
        survived_breaks=tuple(
            (row.endpoint_key, row.fingerprint) for row in message.survived_breaks
        ),
        request_limits=_decode_rows(decode_notice, message.request_limits),
        cold_endpoints=_decode_rows(decode_cold, message.cold_endpoints),
        is_cut_off=message.is_cut_off,
        protocol_revision=message.protocol_revision,
        paces=_decode_rows(decode_pace, message.paces),
    )


def _encode_part_crash(crash):
    return fleet_pb2.PartCrash(
        service=crash.service,
        parts=crash.parts,
        request=crash.request,
        endpoint_key=crash.endpoint_key,
        age_ms=int(crash.at * MS_PER_SECOND),
    )


def _decode_part_crashes(rows, has_begun):
    if not rows:
        return ()
    return tuple(
        PartCrash(
            row.service,
            tuple(row.parts),
            row.request,
            row.endpoint_key,
            row.age_ms / MS_PER_SECOND,
            has_begun,
        )
        for row in rows
    )


def _decode_rows(decode, rows):
    """Return a tuple of the decoded rows; most messages have none."""
    return tuple(map(decode, rows)) if rows else ()


def encode_summary(summary):
    """Return the message for a `JobSummary`."""
    return fleet_pb2.HeldJob(**summary._asdict())


def decode_summary(message):
    """Return the `JobSummary` of a message."""
    return JobSummary(
        message.job_key,
        message.workspace,
        message.route,
        message.waiting_tokens,
        message.is_open,
    )


def encode_report(report):
    """Return the message for a `LoadReport`."""
    message = fleet_pb2.LoadReport(
        node_id=report.node_id,
        incarnation=report.number[0],
        number=report.number[1],
        loads=_encode_loads(report.counts_by_id),
        results=map(_encode_result, report.results),
        admitted=_encode_admitted(report.admitted_by_workspace),
    )
    if report.paces:
        message.paces.extend(map(encode_pace, report.paces))
    return message


def _encode_result(result):
    endpoint_id, outcome, pause_seconds, *others = result
    if any(others):
        return fleet_pb2.EndpointResult(**result._asdict())
    return fleet_pb2.EndpointResult(
        endpoint_id=endpoint_id, outcome=outcome, pause_seconds=pause_seconds
    )


def decode_report(message):
    """Return the `LoadReport` of a message."""
    return LoadReport(
        message.node_id,
        (message.incarnation, message.number),
        _decode_loads(message.loads),
        tuple(
            EndpointResult(
                row.endpoint_id,
                row.outcome,
                row.pause_seconds,
                row.lateness,
                row.answer_seconds,
                row.work_percent,
                row.work_age_seconds,
                row.run_seconds,
                row.is_abandoned,
            )
            for row in message.results
        ),
        _decode_admitted(message.admitted),
        _decode_rows(decode_pace, message.paces),
    )


def encode_schedule_request(query, place):
    """Return the message that asks a scheduler to place a `PlaceRequest`."""
    return fleet_pb2.ScheduleRequest(
        report=encode_report(query.report),
        service=place.service,
        group=query.group,
        group_count=query.group_count,
        spread=place.spread,
        excluded_ids=place.excluded,
        headroom=place.headroom,
        is_batch=place.is_batch,
        is_late=place.is_late,
        workspace=None if place.is_admitted else place.workspace,
        regions=sorted(place.regions) if place.regions else None,
    )


def decode_schedule_request(message):
    """Return the `Schedule` of a message."""
    place = PlaceRequest(
        message.service,
        message.spread,
        frozenset(message.excluded_ids),
        message.headroom,
        message.is_batch,
        message.is_late,
        workspace=message.workspace or None,
        regions=frozenset(message.regions) if message.regions else frozenset(),
    )
    report = decode_report(message.report)
    return Schedule(report, place, message.group, message.group_count)


def encode_placement(placement):
    """Return the message for a `Scheduled`, `Full` or `QuotaExceeded`."""
    match placement:
        case QuotaExceeded(retry_after, share):
            return fleet_pb2.ScheduleReply(
                is_quota_checked=True,
                is_quota_exceeded=True,
                retry_after=retry_after,
                quota_share=share,
            )
        case Full(retry_after, has_endpoints):
            return fleet_pb2.ScheduleReply(
                is_quota_checked=True,
                retry_after=retry_after,
                has_endpoints=has_endpoints,
            )
        case Scheduled(endpoint_id, _, has_permit, has_cold_permit, pace):
            return fleet_pb2.ScheduleReply(
                is_quota_checked=True,
                endpoint_id=endpoint_id,
                has_permit=has_permit,
                has_cold_permit=has_cold_permit,
                pace=None if pace is None else encode_pace(pace),
            )


def decode_placement(message):
    """Return the `Placed`, `Full` or `QuotaExceeded` of a message.

    Return None if the scheduler runs a release that does not check quotas.

    >>> decode_placement(encode_placement(Scheduled("e-1"))) == Placed("e-1")
    True
    >>> decode_placement(encode_placement(QuotaExceeded(0.5, share=1.0)))
    QuotaExceeded(retry_after=0.5, share=1.0)
    >>> decode_placement(fleet_pb2.ScheduleReply(endpoint_id="e-1"))
    """
    if not message.is_quota_checked:
        return None
    if message.is_quota_exceeded:
        return QuotaExceeded(message.retry_after, message.quota_share)
    if message.endpoint_id:
        pace = decode_pace(message.pace) if message.HasField("pace") else None
        return Placed(
            message.endpoint_id,
            has_permit=message.has_permit,
            has_cold_permit=message.has_cold_permit,
            pace=pace,
        )
    return Full(message.retry_after, message.has_endpoints)


def encode_results(results):
    """Return the messages for a list of `Result`."""
    return [fleet_pb2.JobResult(**result._asdict()) for result in results]


def decode_results(messages):
    """Return the list of `Result` of messages."""
    return [Result(row.item_id, row.is_completed, row.output) for row in messages]


def encode_job(spec):
    """Return the message that asks a peer to store a `JobSpec`."""
    return fleet_pb2.StoreJobRequest(
        job_id=spec.job_id,
        workspace=spec.workspace,
        host=spec.host,
        path=spec.path,
        submitted_at=spec.submitted_at,
        items=[
            fleet_pb2.JobItem(
                item_id=item.item_id,
                path=item.path,
                header_names=[name for name, _ in item.headers],
                header_values=[value for _, value in item.headers],
                body=item.body,
                tokens=item.tokens,
            )
            for item in spec.items
        ],
    )


def decode_job(message, accepted_by):
    """Return the `JobSpec` of a message, as accepted by the node that stores it."""
    return JobSpec(
        message.job_id,
        message.workspace,
        message.host,
        message.path,
        message.submitted_at,
        accepted_by,
        tuple(
            Item(
                item.item_id,
                item.path,
                tuple(zip(item.header_names, item.header_values)),
                item.body,
                item.tokens,
            )
            for item in message.items
        ),
    )


def _encode_loads(counts_by_id):
    return [
        fleet_pb2.EndpointLoad(endpoint_id=name, online=online, batch=batch)
        for name, (online, batch) in counts_by_id.items()
    ]


def _encode_admitted(count_by_workspace):
    return [
        fleet_pb2.AdmittedCount(workspace=name, count=count)
        for name, count in count_by_workspace.items()
    ]


def _decode_admitted(messages):
    return {row.workspace: row.count for row in messages}


def _decode_loads(messages):
    return {load.endpoint_id: (load.online, load.batch) for load in messages}
