"""Runs a gateway node, or the node of an instance with a disk, until asked to stop.

Exit codes: 0 planned stop, 2 invalid settings, 3 an address can't be listened on,
70 an invariant is broken.
"""

import contextlib
import os
import signal
import sys

import structlog

from sequoiaglade_decisions.outcomes import set_invariant_handler
from sequoiaglade_node.signals import SignalWaiter

from .logs import start_logs
from .node import GatewayNode
from .retirement import RetirementNode
from .settings import SettingsFault, load_settings

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_ADDRESS = 3
EXIT_INVARIANT = 70


def run(settings_path, dialect, open_store, more_settings=""):
    """Run the node that the settings describe; return the exit code.

    `open_store` returns a context manager of a `DocumentStore` for a `StoreAccess`.
    `more_settings` is a YAML text with settings that are not in the file.
    """
    try:
        settings = load_settings(settings_path, more_settings)
    except SettingsFault as fault:
        print(fault, file=sys.stderr)
        return EXIT_SETTINGS
    set_invariant_handler(_stop_at_once)
    with contextlib.ExitStack() as stack:
        signals = stack.enter_context(
            SignalWaiter(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        )
        start_logs(stack, settings.log_level, settings.node_id)
        store = stack.enter_context(open_store(settings.store))
        kind = GatewayNode if settings.listen else RetirementNode
        try:
            node = stack.enter_context(kind(settings, dialect, store))
        except (OSError, RuntimeError) as error:
            structlog.get_logger().error("can't listen", reason=str(error))
            return EXIT_ADDRESS
        while signals.wait() == signal.SIGHUP:
            _reload(node, settings_path, more_settings)
        node.drain()
    return EXIT_OK


def _reload(node, path, more_settings):
    try:
        node.reload(load_settings(path, more_settings))
    except SettingsFault as fault:
        structlog.get_logger().error("settings not reloaded", faults=fault.faults)


def _stop_at_once(reason):
    structlog.get_logger().critical("invariant broken", reason=reason)
    os._exit(EXIT_INVARIANT)
