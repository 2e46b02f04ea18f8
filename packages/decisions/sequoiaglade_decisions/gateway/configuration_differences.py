"""Differences between two versions of a configuration."""

from typing import NamedTuple

SECRET_FIELDS = ("keys",)


class ConfigurationDifference(NamedTuple):
    """One difference: `change` is "added", "removed" or "changed".

    Values of secret fields are left out of the `text`.
    """

    change: str
    location: str
    text: str = ""


def find_configuration_differences(active, planned):
    """Return the `ConfigurationDifference` list of two `FleetConfiguration`.

    Entries are compared by name, as nodes have decoded them; the order of routes is
    compared where it matters, as a part of the findings.

    >>> from sequoiaglade_decisions.gateway import FleetConfiguration, Workspace
    >>> old = FleetConfiguration(3, (), (), (Workspace("w", ("k",), rate=1.0),))
    >>> new = FleetConfiguration(4, (), (), (Workspace("w", ("j",), rate=2.0),))
    >>> for difference in find_configuration_differences(old, new):
    ...     print(*difference)
    changed workspace "w" keys: 1 added, 1 removed
    changed workspace "w" rate: 1.0 -> 2.0
    """
    return [
        *_compare("route", active.routes, planned.routes),
        *_compare("service", active.services, planned.services),
        *_compare("workspace", active.workspaces, planned.workspaces),
    ]


def _compare(noun, old_entries, new_entries):
    old_by_name = {entry.name: entry for entry in old_entries}
    new_by_name = {entry.name: entry for entry in new_entries}
    for name in {**old_by_name, **new_by_name}:
        location = f'{noun} "{name}"'
        old, new = old_by_name.get(name), new_by_name.get(name)
        if new is None:
            yield ConfigurationDifference("removed", location)
        elif old is None:
            yield ConfigurationDifference("added", location)
        else:
            for field, value in old._asdict().items():
                if value != getattr(new, field):
                    text = _describe(field, value, getattr(new, field))
                    yield ConfigurationDifference("changed", location, text)


def _describe(field, old, new):
    if field in SECRET_FIELDS:
        added, removed = len(set(new) - set(old)), len(set(old) - set(new))
        return f"{field}: {added} added, {removed} removed"
    return f"{field}: {_format(old)} -> {_format(new)}"


def _format(value):
    """Return a value as text, the same one for equal sets.

    >>> _format(frozenset(("west", "east"))), _format((("a", 1), ("b", 2)))
    ('east, west', 'a 1, b 2')
    """
    if isinstance(value, frozenset):
        return ", ".join(sorted(value)) or "none"
    if isinstance(value, tuple):
        return ", ".join(f"{name} {weight}" for name, weight in value)
    return str(getattr(value, "value", value))
