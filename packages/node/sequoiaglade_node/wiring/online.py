"""Starts the service of online requests."""

import random

from sequoiaglade_decisions.retries import RetryPolicy

from ..actors.timers import Timer
from ..online import (
    EXPIRY_SECONDS,
    IdempotencyGuard,
    OnlineService,
    ProcessIdentity,
    ProcessLiveness,
    RecordExpiry,
    RecordWriter,
    Runner,
    SharedRetryPolicy,
)


def start_online(stack, parts):
    """Start the service of online requests."""
    limits = parts.settings.limits
    runner = Runner(
        parts.dispatch,
        parts.endpoints,
        SharedRetryPolicy(RetryPolicy(random.Random())),
        _start_once(stack, parts),
        parts.holder,
        limits.queue_seconds,
        parts.journal,
    )
    stack.enter_context(runner)
    parts.online = OnlineService(
        parts.holder, parts.limits, runner, limits.body_bytes, parts.journal
    )


def _start_once(stack, parts):
    settings = parts.settings
    platform = parts.platform
    writer = stack.enter_context(RecordWriter(platform))
    expiry = RecordExpiry(platform)
    stack.enter_context(Timer(EXPIRY_SECONDS, expiry.expire_some, "expiry"))
    instance_id = settings.instance_id or settings.node_id
    process = ProcessIdentity(settings.node_id, instance_id, parts.incarnation)
    live = parts.membership.live
    has_ended = ProcessLiveness(platform, process, lambda: live().get()).has_ended
    return IdempotencyGuard(platform, writer, process, has_ended)
