"""Assembles a node and runs it until it is stopped."""

import contextlib
import time

import structlog

from sequoiaglade_endpoints import EndpointClient
from sequoiaglade_platform import PlatformClient

from . import wiring
from .journal import Journal
from .recording import Recordings
from .telemetry import Telemetry

SPREAD_SECONDS = 1.0

STARTS = (
    wiring.start_limits,
    wiring.start_routing,
    wiring.start_configuration,
    wiring.start_explanations,
    wiring.start_membership,
    wiring.start_reading,
    wiring.start_endpoint_watch,
    wiring.start_online,
    wiring.start_batch,
    wiring.start_gauges,
    wiring.start_listeners,
    wiring.start_directory,
)


class Node:
    """All parts of a running node; a context manager that starts and stops them."""

    def __init__(self, settings):
        self._settings = settings
        self._stack = contextlib.ExitStack()
        self._parts = None

    def __enter__(self):
        with contextlib.ExitStack() as stack:
            self._parts = _base_parts(stack, self._settings)
            for start in STARTS:
                start(stack, self._parts)
            self._stack = stack.pop_all()
        structlog.get_logger().info("node started", **self._settings.listen.__dict__)
        return self

    def __exit__(self, *exc_info):
        self._stack.close()
        structlog.get_logger().info("node stopped")

    def drain(self):
        """Stop as planned: leave the entries, keep serving, then finish requests.

        Callers may cache this node's address, so it keeps serving for that time.
        `drain_seconds` limits the wait for requests that don't end.
        """
        parts = self._parts
        structlog.get_logger().info("node draining")
        for listener in parts.listeners:
            listener.close_after_answers()
        for step in parts.drain_steps:
            step()
        time.sleep(self._settings.keep_seconds + SPREAD_SECONDS)
        deadline = time.monotonic() + self._settings.drain_seconds
        for listener in parts.listeners:
            listener.stop_accepting()
        for listener in parts.listeners:
            listener.wait_until_idle(deadline)
        for step in parts.handback_steps:
            step()


def _base_parts(stack, settings):
    journal = Journal(settings.node_id, settings.data_folder)
    telemetry = Telemetry(settings.node_id, settings.traces_url)
    recordings = Recordings(settings.node_id, settings.recording_folder)
    platform = PlatformClient(settings.platform_urls[0], client_id=settings.node_id)
    limits = settings.limits
    endpoints = EndpointClient(limits.answer_seconds, limits.stall_seconds)
    return wiring.Parts(
        settings=settings,
        journal=stack.enter_context(journal),
        recordings=stack.enter_context(recordings),
        telemetry=stack.enter_context(telemetry),
        platform=stack.enter_context(platform),
        endpoints=stack.enter_context(endpoints),
    )
