"""Encodes events and outcomes of state machines as JSON values, and decodes them.

Named tuples, data classes, enums and pydantic models of this package are objects with
their type under the key ``!``; random number generators are stored with their state.
Sets, tuples and dictionaries become objects that contain a list of their items.
"""

import dataclasses
import importlib
import random
from enum import Enum

from pydantic import BaseModel

_PACKAGE = __name__.split(".")[0]


def encode_value(value):
    """Return `value` as a JSON value.

    >>> from ..routing import Granted
    >>> encode_value(Granted("t-1", "runner-0"))["ticket_id"]
    't-1'
    """
    match value:
        case Enum():
            return {"!": _type_name(type(value)), "name": value.name}
        case random.Random():
            version, state, gauss = value.getstate()
            return {"!": "random", "state": [version, list(state), gauss]}
        case None | bool() | int() | float() | str():
            return value
        case BaseModel():
            data = value.model_dump(mode="json")
            return {"!": _type_name(type(value)), "model": data}
        case tuple() if hasattr(value, "_fields"):
            return _encode_fields(type(value), value._asdict())
        case tuple():
            return {"!": "tuple", "items": [encode_value(item) for item in value]}
        case list():
            return [encode_value(item) for item in value]
        case set() | frozenset():
            items = sorted(value, key=repr)
            return {"!": "frozenset", "items": [encode_value(item) for item in items]}
        case dict():
            items = [[encode_value(k), encode_value(v)] for k, v in value.items()]
            return {"!": "dict", "items": items}
        case _ if dataclasses.is_dataclass(value):
            fields = dataclasses.fields(value)
            return _encode_fields(
                type(value), {f.name: getattr(value, f.name) for f in fields}
            )
    raise TypeError(f"{type(value).__name__} can't be encoded in a trace")


def decode_value(value):
    """Return the value that `encode_value` encoded.

    >>> decode_value(encode_value({("a", 1): frozenset([2])}))
    {('a', 1): frozenset({2})}
    """
    match value:
        case list():
            return [decode_value(item) for item in value]
        case {"!": "tuple", "items": items}:
            return tuple(decode_value(item) for item in items)
        case {"!": "frozenset", "items": items}:
            return frozenset(decode_value(item) for item in items)
        case {"!": "dict", "items": items}:
            return {decode_value(k): decode_value(v) for k, v in items}
        case {"!": "random", "state": [version, state, gauss]}:
            generator = random.Random()
            generator.setstate((version, tuple(state), gauss))
            return generator
        case {"!": name, "model": data}:
            return _load_type(name).model_validate(data)
        case {"!": name, **fields}:
            kind = _load_type(name)
            if issubclass(kind, Enum):
                return kind[fields["name"]]
            return kind(**{key: decode_value(item) for key, item in fields.items()})
    return value


def _encode_fields(kind, fields):
    encoded = {key: encode_value(item) for key, item in fields.items()}
    return {"!": _type_name(kind)} | encoded


def _type_name(kind):
    module = kind.__module__.removeprefix(_PACKAGE + ".")
    if module == kind.__module__:
        raise TypeError(f"{kind.__qualname__} is not a type of {_PACKAGE}")
    return f"{module}:{kind.__qualname__}"


def _load_type(name):
    module, _, qualname = name.partition(":")
    return getattr(importlib.import_module(f"{_PACKAGE}.{module}"), qualname)
