"""Starts the gauges that are read when metrics are collected."""

import time

from sequoiaglade_decisions.configuration import EVIDENCE_LIFETIME_SECONDS


def start_gauges(stack, parts):
    """Add the gauges of the node's state to its metrics."""
    add = parts.telemetry.gauge
    holder = parts.holder
    add(
        "sequoiaglade.configuration.revision",
        "",
        "revision in force",
        lambda: holder.current.revision,
    )
    add(
        "sequoiaglade.configuration.confirmed_age",
        "s",
        "age of the evidence that the revision in force is the newest",
        lambda: _evidence_age(holder),
    )
    add(
        "sequoiaglade.requests.in_flight",
        "",
        "requests on the data listener that are being answered",
        lambda: parts.listeners[0].busy_count if parts.listeners else 0,
    )
    add(
        "sequoiaglade.peers.live",
        "",
        "other nodes with a recent state",
        lambda: len(parts.membership.live().get()),
    )


_LONGEST_AGE_SECONDS = 86_400.0


def _evidence_age(holder):
    evidence_at = holder.standing.serve_until - EVIDENCE_LIFETIME_SECONDS
    return min(time.monotonic() - evidence_at, _LONGEST_AGE_SECONDS)
