"""Validates a YAML text against a pydantic model and locates each fault."""

from typing import NamedTuple

import yaml
from pydantic import ValidationError
from yaml.constructor import SafeConstructor

_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class Fault(NamedTuple):
    """A fault in a document: dotted path, line (from 1; 0 if unknown), and reason."""

    path: str
    line: int
    reason: str


def check_document(text, model, overrides=None):
    """Return an instance of `model` parsed from the YAML `text`, or a list of `Fault`.

    All faults are reported together, each with the line of the invalid key, or of the
    nearest enclosing key if one is missing. `overrides` maps top-level keys to values
    that replace those of the text.

    >>> from pydantic import BaseModel
    >>> class Listener(BaseModel):
    ...     port: int
    >>> check_document("port: 80", Listener).port
    80
    >>> check_document("port: x", Listener)[0].line
    1
    """
    tree = _compose(text)
    if isinstance(tree, Fault):
        return [tree]
    duplicates = list(_find_duplicate_keys(tree, (), set()))
    if duplicates:
        return duplicates
    try:
        value = SafeConstructor().construct_document(tree) if tree else {}
        return model.model_validate(_apply_overrides(value, overrides))
    except yaml.YAMLError as error:
        return [_syntax_fault(error)]
    except ValidationError as error:
        return _keep_innermost([_locate_error(tree, entry) for entry in error.errors()])


def locate_faults(text, pairs):
    """Return a `Fault` for each pair of location and reason, with its line in `text`.

    >>> locate_faults("rates: {yard-a: {}}", [(("rates", "yard-a"), "no workspace")])
    [Fault(path='rates.yard-a', line=1, reason='no workspace')]
    """
    tree = _compose(text)
    return [
        Fault(".".join(location), _line_of(tree, location), reason)
        for location, reason in pairs
    ]


def format_faults(faults, source):
    """Return one line of text per fault, each prefixed with the name `source`.

    >>> format_faults([Fault("peers.0", 7, "not an address")], "node.yaml")
    'node.yaml:7: peers.0: not an address'
    """
    lines = [f"{source}:{line}: {path}: {reason}" for path, line, reason in faults]
    return "\n".join(lines)


def _apply_overrides(value, overrides):
    value = {} if value is None else value
    if overrides and isinstance(value, dict):
        return value | overrides
    return value


def _compose(text):
    try:
        return yaml.compose(text, Loader=_LOADER)
    except yaml.YAMLError as error:
        return _syntax_fault(error)
    except RecursionError:
        return Fault("document", 0, "nested too deeply")


def _syntax_fault(error):
    mark = getattr(error, "problem_mark", None)
    line = mark.line + 1 if mark else 0
    problem = getattr(error, "problem", None) or str(error)
    return Fault("document", line, f"not valid YAML: {problem}")


def _locate_error(tree, entry):
    location = [part for part in entry["loc"] if part != "[key]"]
    path = ".".join(str(part) for part in location) or "document"
    return Fault(path, _line_of(tree, location), _reason_of(entry))


def _reason_of(entry):
    match entry["type"]:
        case "extra_forbidden":
            return "unknown key"
        case "missing":
            return "the key is missing"
        case "string_pattern_mismatch":
            return f"does not match {entry['ctx']['pattern']}"
    return entry["msg"].removeprefix("Value error, ")


def _keep_innermost(faults):
    """Return the faults without those of a container that has faulty items."""
    paths = [fault.path + "." for fault in faults]
    return [
        fault
        for fault in faults
        if not any(
            p.startswith(fault.path + ".") and p != fault.path + "." for p in paths
        )
    ]


def _line_of(tree, location):
    node = tree
    line = tree.start_mark.line + 1 if tree else 0
    for part in location:
        match node:
            case yaml.MappingNode():
                pair = _find_pair(node, part)
                if pair is None:
                    break
                line = pair[0].start_mark.line + 1
                node = pair[1]
            case yaml.SequenceNode() if isinstance(part, int):
                if part >= len(node.value):
                    break
                node = node.value[part]
                line = node.start_mark.line + 1
            case _:
                break
    return line


def _find_pair(node, key):
    for pair in node.value:
        if pair[0].value == str(key):
            return pair
    return None


def _find_duplicate_keys(node, path, visited):
    if id(node) in visited:
        return
    visited.add(id(node))
    match node:
        case yaml.MappingNode():
            seen = set()
            for key, child in node.value:
                inner = (*path, str(key.value))
                if key.value in seen:
                    line = key.start_mark.line + 1
                    yield Fault(".".join(inner), line, "duplicate key")
                seen.add(key.value)
                yield from _find_duplicate_keys(child, inner, visited)
        case yaml.SequenceNode():
            for index, child in enumerate(node.value):
                yield from _find_duplicate_keys(child, (*path, str(index)), visited)
