"""Loads a node's settings: file, environment variables, command line flags."""

import os
from typing import Any, NamedTuple

import yaml

from sequoiaglade_decisions.documents import (
    Fault,
    check_document,
    format_faults,
    locate_faults,
)

from .settings import NodeSettings

ENVIRONMENT_PREFIX = "SEQUOIAGLADE_"
FLAG = "--set"
_YAML_BEGINNINGS = ("[", "{")


class Override(NamedTuple):
    """A value that overrides the one in the file, and its origin."""

    origin: str
    value: Any


class OverrideFault(NamedTuple):
    """A fault of an overriding value: origin, dotted path, reason."""

    origin: str
    path: str
    reason: str


def load_settings(path, environment=os.environ, overrides=None):
    """Return `NodeSettings` read from the file `path`, or a list of faults.

    A top-level key is overridden by the variable ``SEQUOIAGLADE_<KEY>`` and then by
    `overrides`, a mapping of key to text. Texts that begin like a YAML list or mapping
    are parsed as YAML. Each fault is a `Fault` of the file or an `OverrideFault`.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return [Fault("document", 0, f"can't be read: {error}")]
    override_by_key = _from_environment(environment) | _from_flags(overrides or {})
    faults = [o for o in override_by_key.values() if isinstance(o, OverrideFault)]
    if faults:
        return faults
    values = {key: override.value for key, override in override_by_key.items()}
    checked = check_document(text, NodeSettings, values)
    if isinstance(checked, NodeSettings):
        faults = locate_faults(text, checked.cross_faults())
    else:
        faults = checked
    return [_attributed(fault, override_by_key) for fault in faults] or checked


def format_settings_faults(faults, path):
    """Return one line per fault, each beginning with the origin of the value.

    >>> fault = OverrideFault("--set", "keep_seconds", "not a number")
    >>> format_settings_faults([fault], "node.yaml")
    '--set: keep_seconds: not a number'
    """
    return "\n".join(
        ": ".join(fault)
        if isinstance(fault, OverrideFault)
        else format_faults([fault], path)
        for fault in faults
    )


def _from_environment(environment):
    found = {}
    for key in NodeSettings.model_fields:
        name = ENVIRONMENT_PREFIX + key.upper()
        if name in environment:
            found[key] = _read(key, name, environment[name])
    return found


def _from_flags(overrides):
    return {key: _read(key, FLAG, text) for key, text in overrides.items()}


def _read(key, origin, text):
    if not text.lstrip().startswith(_YAML_BEGINNINGS):
        return Override(origin, text)
    try:
        return Override(origin, yaml.safe_load(text))
    except yaml.YAMLError as error:
        problem = getattr(error, "problem", None) or str(error)
        return OverrideFault(origin, key, f"not valid YAML: {problem}")


def _attributed(fault, override_by_key):
    for key, override in override_by_key.items():
        if f"{fault.path}.".startswith(f"{key}."):
            return OverrideFault(override.origin, fault.path, fault.reason)
    return fault
