"""Starts the HTTP listeners for callers and for operators."""

import time

from ..configuration.acceptance import Acceptance
from ..operators import OperatorService, owned_sections
from ..web import Listener
from ..web.applications import ControlApplication, DataApplication, guarded

CONTROL_THREADS = 8


def start_listeners(stack, parts):
    """Start the data listener and the control listener."""
    settings = parts.settings
    limits = settings.limits
    acceptance = Acceptance(
        parts.store,
        parts.holder,
        parts.configuration,
        owned_sections,
        parts.peer_sources.announce,
    )
    operators = OperatorService(
        settings, parts.holder, acceptance, parts.journal, parts.explanations
    )
    entries = parts.entries.respond

    def is_ready():
        standing = parts.holder.standing
        has_document = standing.held.root.number > 0
        is_confirmed = time.monotonic() <= standing.serve_until
        if not (has_document and is_confirmed and parts.limits.is_ready()):
            return False
        return not parts.directory.is_withdrawn

    callers = DataApplication(parts.online, parts.batch, entries)
    data = guarded(parts.telemetry.observed(callers, time.monotonic))
    metrics = parts.telemetry.text
    control = guarded(ControlApplication(operators, entries, is_ready, metrics))
    listen = settings.listen
    parts.listeners = (
        Listener(data, listen.data, limits.data_threads, limits),
        Listener(control, listen.control, CONTROL_THREADS, limits),
    )
    for listener in parts.listeners:
        stack.enter_context(listener)
