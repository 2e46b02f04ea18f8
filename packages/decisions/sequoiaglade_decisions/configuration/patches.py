"""Patches: the items in which two revisions of the document differ.

A node that has the previous revision applies the patch instead of reading whole
sections again. The plan of a change, as shown to an operator, is a patch too.
"""

import json

PATCH_LIMIT_BYTES = 16_384


def make_patch(old, new):
    """Return the patch from `old` to `new`, both mappings of plain sections.

    A patch maps each section to its changed items, and each item name to the new
    value, or to None if the item was removed.

    >>> make_patch({"models": {"a": {}, "b": {}}}, {"models": {"b": {}, "c": {}}})
    {'models': {'a': None, 'c': {}}}
    """
    patch = {}
    for section in sorted({*old, *new}):
        before, after = old.get(section) or {}, new.get(section) or {}
        items = {
            name: after.get(name)
            for name in sorted({*before, *after})
            if before.get(name) != after.get(name)
        }
        if items:
            patch[section] = items
    return patch


def patch_if_small(patch):
    """Return the patch if it is small enough to store in a revision, else None."""
    is_small = len(json.dumps(patch)) <= PATCH_LIMIT_BYTES
    return patch if is_small else None


def apply_section_patch(items, changes):
    """Return a section's plain `items` with the `changes` of its patch applied.

    >>> apply_section_patch({"a": {}, "b": {}}, {"a": None, "c": {}})
    {'b': {}, 'c': {}}
    """
    changed = items | changes
    return {name: value for name, value in changed.items() if value is not None}
