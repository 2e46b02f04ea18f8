"""Command ``sequoiaglade-node``.

Exit codes: 0 planned stop, 2 invalid settings or usage, 3 can't listen on an address,
70 broken invariant.
"""

import argparse
import contextlib
import os
import signal
import sys

import structlog

from sequoiaglade_decisions.outcomes import set_invariant_handler

from .logs import configure_logs
from .node import Node
from .settings_loading import format_settings_faults, load_settings
from .signals import SignalWaiter

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_ADDRESS = 3
EXIT_INVARIANT = 70


def main(arguments=None):
    """Run a node until SIGTERM or SIGINT; return the exit code."""
    options = _parse(arguments)
    settings = load_settings(options.settings, overrides=dict(options.set))
    if isinstance(settings, list):
        print(format_settings_faults(settings, options.settings), file=sys.stderr)
        return EXIT_SETTINGS
    if options.check:
        print(f"{options.settings}: settings are valid")
        return EXIT_OK
    configure_logs(settings.log_level, settings.node_id)
    set_invariant_handler(_stop_at_once)
    with contextlib.ExitStack() as stack:
        signals = stack.enter_context(SignalWaiter(signal.SIGTERM, signal.SIGINT))
        try:
            node = stack.enter_context(Node(settings))
        except (OSError, RuntimeError) as error:
            print(f"sequoiaglade-node: can't listen: {error}", file=sys.stderr)
            return EXIT_ADDRESS
        signals.wait()
        node.drain()
    return EXIT_OK


def _stop_at_once(reason):
    structlog.get_logger().critical("invariant broken", reason=reason)
    os._exit(EXIT_INVARIANT)


def _override(text):
    key, separator, value = text.partition("=")
    if not separator:
        raise argparse.ArgumentTypeError(f"{text!r} is not of the form KEY=VALUE")
    return key, value


def _parse(arguments):
    parser = argparse.ArgumentParser(
        prog="sequoiaglade-node",
        description="Serves online and batch inference requests of many workspaces.",
    )
    parser.add_argument("--settings", required=True, help="YAML file of settings")
    parser.add_argument("--check", action="store_true", help="check settings and exit")
    parser.add_argument(
        "--set",
        action="append",
        default=[],
        type=_override,
        metavar="KEY=VALUE",
        help="override a top-level setting",
    )
    return parser.parse_args(arguments)


if __name__ == "__main__":
    sys.exit(main())
