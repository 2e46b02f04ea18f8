"""Merging of a change into the document, and checks of who may make it."""

from dataclasses import dataclass

from .document import SECTION_NAMES, Document

TEAMS = "teams"


@dataclass(frozen=True)
class Merged:
    """The document that results from a change, and the sections it changed."""

    document: Document
    sections: tuple[str, ...]


@dataclass(frozen=True)
class MergeConflict:
    """A change on a stale base conflicts with other changes, made in `sections`."""

    sections: tuple[str, ...]


@dataclass(frozen=True)
class NotOwned:
    """A change of parts that its operator does not own; `faults` describe each."""

    faults: tuple[str, ...]


def changed_sections(old, new):
    """Return the names of the sections in which two documents differ.

    >>> changed_sections(Document(), Document(models={"m": {}}))
    ('models',)
    """
    return tuple(n for n in SECTION_NAMES if getattr(old, n) != getattr(new, n))


def merge_change(base, current, proposed, merges_sections):
    """Apply the differences between `base` and `proposed` to `current`.

    Return `Merged`, or a `MergeConflict` if the base is stale and others have changed
    the document since. With `merges_sections`, only changes of the same sections
    conflict, since sections are owned by different teams; all other sections are kept
    as they are in `current`.

    >>> base, theirs = Document(), Document(models={"m": {}})
    >>> mine = Document(services={"s": {}})
    >>> merge_change(base, theirs, mine, merges_sections=False)
    MergeConflict(sections=('models',))
    >>> merge_change(base, theirs, mine, merges_sections=True).sections
    ('services',)
    >>> merge_change(base, theirs, Document(models={"n": {}}), merges_sections=True)
    MergeConflict(sections=('models',))
    """
    mine = changed_sections(base, proposed)
    theirs = changed_sections(base, current)
    differing = changed_sections(current, proposed)
    overlap = tuple(name for name in mine if name in theirs and name in differing)
    if not merges_sections and any(name in differing for name in mine):
        overlap = theirs
    if overlap:
        return MergeConflict(overlap)
    document = current.model_copy(update={n: getattr(proposed, n) for n in mine})
    return Merged(document, changed_sections(current, document))


def check_ownership(current, merged, owned):
    """Return None, or `NotOwned` for changes outside the sections `owned`.

    The owner of the section of teams can grant and revoke only sections that it owns
    itself: an entry may be changed only if all its sections, before and after, are
    among `owned`.

    >>> team = {"token_digest": "0" * 64, "sections": ("teams",)}
    >>> grown = team | {"sections": ("teams", "rates")}
    >>> old, new = Document(teams={"a": team}), Document(teams={"a": grown})
    >>> check_ownership(old, Merged(new, ("teams",)), ("teams",)).faults
    ('teams.a: rates is not owned',)
    """
    faults = [f"{name} is not owned" for name in merged.sections if name not in owned]
    if TEAMS in merged.sections:
        faults += _find_unowned_grants(current.teams, merged.document.teams, owned)
    return NotOwned(tuple(faults)) if faults else None


def _find_unowned_grants(old, new, owned):
    for name in sorted({*old, *new}):
        if old.get(name) == new.get(name):
            continue
        teams = [team for team in (old.get(name), new.get(name)) if team is not None]
        sections = {section for team in teams for section in team.sections}
        for section in sorted(sections.difference(owned)):
            yield f"{TEAMS}.{name}: {section} is not owned"
