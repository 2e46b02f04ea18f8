"""Whether a change of the document may be accepted, and what it results in."""

from dataclasses import dataclass

from .document import SECTION_NAMES, Document

TEAMS = "teams"


@dataclass(frozen=True)
class Merged:
    """The document that results from a change, and the sections that it changed."""

    document: Document
    sections: tuple[str, ...]


@dataclass(frozen=True)
class MergeConflict:
    """A change on a stale base meets others' changes, which are of `sections`."""

    sections: tuple[str, ...]


@dataclass(frozen=True)
class NotOwned:
    """A change of what its operator does not own, as texts that name each."""

    faults: tuple[str, ...]


def changed_sections(old, new):
    """Return the names of the sections in which two documents differ.

    >>> changed_sections(Document(), Document(models={"m": {}}))
    ('models',)
    """
    return tuple(n for n in SECTION_NAMES if getattr(old, n) != getattr(new, n))


def merge_change(base, current, wanted, merges_sections):
    """Return `Merged` with what `wanted` changes over `base` made in `current`.

    A change on a stale base is an `Overlap` with what others have changed since. One
    that `merges_sections` is an `Overlap` only with changes of its own sections, since
    sections are owned by different teams; others' sections are kept as they are now.

    >>> base, theirs = Document(), Document(models={"m": {}})
    >>> mine = Document(services={"s": {}})
    >>> merge_change(base, theirs, mine, merges_sections=False)
    MergeConflict(sections=('models',))
    >>> merge_change(base, theirs, mine, merges_sections=True).sections
    ('services',)
    >>> merge_change(base, theirs, Document(models={"n": {}}), merges_sections=True)
    MergeConflict(sections=('models',))
    """
    mine = changed_sections(base, wanted)
    theirs = changed_sections(base, current)
    differing = changed_sections(current, wanted)
    overlap = tuple(name for name in mine if name in theirs and name in differing)
    if not merges_sections and any(name in differing for name in mine):
        overlap = theirs
    if overlap:
        return MergeConflict(overlap)
    document = current.model_copy(update={n: getattr(wanted, n) for n in mine})
    return Merged(document, changed_sections(current, document))


def check_ownership(current, merged, owned):
    """Return None, or `NotOwned` for changes outside the sections `owned`.

    Who owns the section of teams can give and take only what it owns itself: an
    entry may be changed if its sections, before and after, are all among `owned`.

    >>> team = {"token_digest": "0" * 64, "sections": ("teams",)}
    >>> grown = team | {"sections": ("teams", "rates")}
    >>> old, new = Document(teams={"a": team}), Document(teams={"a": grown})
    >>> check_ownership(old, Merged(new, ("teams",)), ("teams",)).faults
    ('teams.a: rates is not owned',)
    """
    faults = [f"{name} is not owned" for name in merged.sections if name not in owned]
    if TEAMS in merged.sections:
        faults += _granted_beyond(current.teams, merged.document.teams, owned)
    return NotOwned(tuple(faults)) if faults else None


def _granted_beyond(old, new, owned):
    for name in sorted({*old, *new}):
        if old.get(name) == new.get(name):
            continue
        teams = [team for team in (old.get(name), new.get(name)) if team is not None]
        sections = {section for team in teams for section in team.sections}
        for section in sorted(sections.difference(owned)):
            yield f"{TEAMS}.{name}: {section} is not owned"
