"""Check of a configuration of the users' platform before it is deployed."""

import json
import sys
from pathlib import Path
from typing import NamedTuple

from sequoiaglade_decisions.gateway import (
    ConfigurationFinding,
    find_configuration_differences,
    find_configuration_warnings,
)

from .client import EXIT_USAGE, Problem, Reply

FORMATS = ("text", "json")
EXIT_WARNINGS = 1
EXIT_ERRORS = 2
# The adapter is not installed; it is in the repository, beside the packages.
PLATFORM = Path(__file__).resolve().parents[3] / "platform"


class Report(NamedTuple):
    """What was found in a file, each list in the order of the configuration.

    `errors` and `warnings` are `ConfigurationFinding`, `differences` those from the
    version in force, None if no such version is known.
    """

    file: str
    version: int | None
    errors: tuple
    warnings: tuple = ()
    differences: tuple | None = None

    def exit_code(self, is_strict):
        """Return the exit code; warnings count only if it `is_strict`.

        >>> finding = ConfigurationFinding("service-unused", 'service "s"', "unused")
        >>> report = Report("planned.json", 7, (), (finding,))
        >>> report.exit_code(False), report.exit_code(True)
        (0, 1)
        """
        if self.errors:
            return EXIT_ERRORS
        return EXIT_WARNINGS if is_strict and self.warnings else 0


def check(client, options):
    """Check a configuration file of gateways before it is deployed."""
    if not PLATFORM.is_dir():
        return Problem(EXIT_USAGE, f"the adapter in {PLATFORM} is missing")
    planned, errors = _read(options.file)
    if isinstance(planned, Problem):
        return planned
    active = None
    if options.active is not None:
        active, active_errors = _read(options.active)
        if isinstance(active, Problem):
            return active
        if active_errors:
            first = active_errors[0]
            reason = f"{options.active}: {first.location}: {first.text}"
            return Problem(EXIT_USAGE, reason)
    report = _make_report(options.file, planned, errors, active)
    if (options.format or options.output) == "json":
        print(json.dumps(_as_json(report), indent=2))
    else:
        print(format_report(report))
    return Reply(None, report.exit_code(options.strict))


def _make_report(path, planned, errors, active):
    if planned is None:
        return Report(path, None, tuple(errors))
    warnings = find_configuration_warnings(planned)
    differences = None
    if active is not None:
        differences = tuple(find_configuration_differences(active, planned))
        if planned.version <= active.version:
            text = (
                f"version {planned.version} is not above version {active.version}, "
                "which is in force: gateways ignore it"
            )
            finding = ConfigurationFinding("version-not-newer", "Version", text)
            warnings.insert(0, finding)
    return Report(path, planned.version, (), tuple(warnings), differences)


def _read(path):
    """Return the `FleetConfiguration` of a file and its errors, or a `Problem`."""
    try:
        value = json.loads(Path(path).read_bytes())
    except OSError as error:
        return Problem(EXIT_USAGE, f"{path}: {error.strerror or error}"), ()
    except (RecursionError, ValueError) as error:
        return Problem(EXIT_USAGE, f"{path}: it is no JSON: {error}"), ()
    # An object of the platform's store, with its metadata.
    if isinstance(value, dict) and "Metadata" in value and "Spec" in value:
        value = value["Spec"]
    configuration, faults = _decoder()(value)
    errors = [ConfigurationFinding("error", f.location, f.reason) for f in faults]
    return configuration, errors


def _decoder():
    if str(PLATFORM) not in sys.path:
        sys.path.append(str(PLATFORM))
    from fleet_adapter.decode import decode_configuration

    return decode_configuration


def format_report(report):
    """Return a `Report` as text.

    >>> finding = ConfigurationFinding("service-unused", 'service "s"', "unused")
    >>> print(format_report(Report("planned.json", 7, (), (finding,), ())))
    planned.json: warning: service "s": unused [service-unused]
    planned.json: no differences from the version in force
    planned.json: version 7: 0 errors, 1 warnings
    """
    lines = [f"error: {f.location}: {f.text}" for f in report.errors]
    lines += [f"warning: {f.location}: {f.text} [{f.kind}]" for f in report.warnings]
    for difference in report.differences or ():
        suffix = f": {difference.text}" if difference.text else ""
        lines.append(f"{difference.change}: {difference.location}{suffix}")
    if report.differences == ():
        lines.append("no differences from the version in force")
    name = "" if report.version is None else f"version {report.version}: "
    counts = f"{len(report.errors)} errors, {len(report.warnings)} warnings"
    lines.append(f"{name}{counts}")
    return "\n".join(f"{report.file}: {line}" for line in lines)


def _as_json(report):
    differences = report.differences
    return {
        "file": report.file,
        "version": report.version,
        "errors": [f._asdict() for f in report.errors],
        "warnings": [f._asdict() for f in report.warnings],
        "differences": None
        if differences is None
        else [d._asdict() for d in differences],
    }
