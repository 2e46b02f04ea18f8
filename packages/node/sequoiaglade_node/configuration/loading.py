"""Loads a revision and reads only the contents that changed."""

from sequoiaglade_decisions.configuration import (
    Document,
    Revision,
    apply_section_patch,
    encode_section,
    make_snapshot,
    section_digest,
)
from sequoiaglade_decisions.outcomes import Failure

from .holder import Held
from .store import REVISION_KIND, SECTION_KIND


def load(source, root, held):
    """Return `Held` at `root`, or a `Failure`.

    `source` has a method ``content(kind, digest)``. Sections with the same digest as in
    `held` are reused, and small changes are contained in the revision itself.
    """
    if root == held.root:
        return held
    data = source.content(REVISION_KIND, root.revision)
    if isinstance(data, Failure):
        return data
    revision = Revision.decode(data)
    sections = {}
    for name, digest in revision.digest_by_section.items():
        section = _reused_section(held, revision, name, digest)
        if section is None:
            section = _fetch_section(source, name, digest)
        if isinstance(section, Failure):
            return section
        sections[name] = section
    document = held.snapshot.document.model_copy(update=sections)
    return Held(root, revision, make_snapshot(revision.number, document))


def _reused_section(held, revision, name, digest):
    section = getattr(held.snapshot.document, name)
    if held.revision.digest_by_section.get(name) == digest:
        return section
    if revision.patch is None or revision.parent != held.root.revision:
        return None
    changes = revision.patch.get(name, {})
    plain = {k: item.model_dump(mode="json") for k, item in section.items()}
    data = encode_section(apply_section_patch(plain, changes))
    if section_digest(data) != digest:
        return None
    added = {k: item for k, item in changes.items() if item is not None}
    changed = section | getattr(Document.model_validate({name: added}), name)
    return {k: item for k, item in changed.items() if changes.get(k, item) is not None}


def _fetch_section(source, name, digest):
    data = source.content(SECTION_KIND, digest)
    if isinstance(data, Failure):
        return data
    document = Document.model_validate_json(b'{"%s":%s}' % (name.encode(), data))
    return getattr(document, name)
