"""Validates and accepts changes of the operators' document."""

import time
from dataclasses import dataclass
from typing import NamedTuple

from sequoiaglade_decisions.configuration import (
    Document,
    MergeConflict,
    Merged,
    NotOwned,
    Revision,
    Root,
    check_ownership,
    make_patch,
    make_snapshot,
    merge_change,
    patch_if_small,
)
from sequoiaglade_decisions.documents import (
    Fault,
    check_document,
    format_faults,
    locate_faults,
)
from sequoiaglade_decisions.outcomes import (
    Execution,
    Failure,
    FailureCode,
    Refusal,
    RefusalCode,
)

from .holder import EMPTY_HELD, Held
from .loading import load
from .store import oversized_sections

ATTEMPTS = 20
ATTEMPT_PAUSE_SECONDS = 0.15
SETTLE_SECONDS = 3.0
RETRY_AFTER_SECONDS = 1.0
SHOWN_ITEMS = 20
SOURCE = "document"


class Change(NamedTuple):
    """A change that an operator requests.

    `base` is the revision that the operator edited. `change_id` is the operator's id of
    the change; a change resent with the same id is the same change. A change that
    `merges_sections` is applied to a newer revision if the sections it changes are the
    same there as in the base. Any other needs the accepted revision as its base.
    """

    base: int
    text: str
    change_id: str
    author: str
    token_digest: str
    merges_sections: bool = False


@dataclass(frozen=True)
class Prepared:
    """A change that can be accepted on top of `held`, with the root's `version`."""

    held: Held
    version: int
    merged: Merged

    def patch(self):
        """Return the items that the change adds, replaces or removes."""
        return make_patch(
            plain(self.held.snapshot.document), plain(self.merged.document)
        )


@dataclass(frozen=True)
class Accepted:
    """A change that is in the history as `revision`."""

    revision: Revision


class Acceptance:
    """Plans changes and accepts them by a conditional update of the root.

    `owned_sections` is called with the accepted document, the author and the digest of
    the author's token; it returns the names of the owned sections, or a `Refusal`.
    `announce` sends a newer revision to peers before the operator gets the response,
    since the platform may fail before they read it.
    """

    def __init__(self, store, holder, follower, owned_sections, announce):
        self._store = store
        self._holder = holder
        self._follower = follower
        self._owned_sections = owned_sections
        self._announce = announce

    def newest(self):
        """Return the pair of `Held` and root version, or a `Failure`.

        The root is read from the platform; if that read is older than this node's
        own copy, the copy is used.
        """
        found = self._store.root()
        if isinstance(found, Failure):
            return found
        held = self._holder.held
        if found.root.number > held.root.number:
            held = load(self._store, found.root, held)
        return held if isinstance(held, Failure) else (held, found.version)

    def history(self, count):
        """Return up to `count` accepted revisions, newest first."""
        found = self.newest()
        if isinstance(found, Failure):
            return found
        revisions = list(self._store.chain(found[0].revision, count))
        failures = [r for r in revisions if isinstance(r, Failure)]
        return failures[0] if failures else revisions

    def plan(self, change):
        """Return the `Prepared` change without accepting it, or why it is refused."""
        document = check_operators_document(change.text)
        if isinstance(document, list):
            return _invalid(document)
        return self._prepare(change, document)

    def apply(self, change):
        """Accept a change; return `Accepted`, a `Refusal` or a `Failure`."""
        document = check_operators_document(change.text)
        if isinstance(document, list):
            return _invalid(document)
        for _ in range(ATTEMPTS):
            prepared = self._prepare(change, document)
            if not isinstance(prepared, Prepared):
                return prepared
            if not prepared.merged.sections:
                return Accepted(prepared.held.revision)
            outcome = self._accept(change, prepared)
            if outcome is not None:
                return outcome
            time.sleep(ATTEMPT_PAUSE_SECONDS)
        reason = "other changes were accepted meanwhile, or platform reads are outdated"
        return Refusal(RefusalCode.CONFLICT, reason, RETRY_AFTER_SECONDS)

    def _prepare(self, change, document):
        found = self.newest()
        if isinstance(found, Failure):
            return found
        held, version = found
        base = self._find_base(change, held)
        if not isinstance(base, Held):
            return base
        current = held.snapshot.document
        merged = merge_change(
            base.snapshot.document, current, document, change.merges_sections
        )
        if isinstance(merged, MergeConflict):
            return self._stale(change, merged, base, held)
        owned = self._owned_sections(current, change.author, change.token_digest)
        if isinstance(owned, Refusal):
            return owned
        refusal = _check(merged, current, owned, change.text)
        return refusal or Prepared(held, version, merged)

    def _find_base(self, change, held):
        """Return `Held` at the change's base, or `Accepted` for a resent change."""
        if change.base > held.root.number or change.base < 0:
            reason = f"the base {change.base} is not an accepted revision"
            return Refusal(RefusalCode.CONFLICT, reason)
        root = held.root
        for revision in self._store.chain(held.revision):
            if isinstance(revision, Failure):
                return revision
            if revision.number == change.base:
                return load(self._store, root, held)
            if revision.change_id == change.change_id:
                return Accepted(revision)
            root = Root(revision.number - 1, revision.parent or "")
        if change.base == 0 and root.number == 0:
            return EMPTY_HELD
        reason = f"the base {change.base} is too old; fetch the document again"
        return Refusal(RefusalCode.CONFLICT, reason)

    def _stale(self, change, overlap, base, held):
        patch = make_patch(plain(base.snapshot.document), plain(held.snapshot.document))
        items = [
            f"{section}.{name}"
            for section in overlap.sections
            for name in patch.get(section, ())
        ]
        shown = ", ".join(items[:SHOWN_ITEMS])
        if len(items) > SHOWN_ITEMS:
            shown += f" and {len(items) - SHOWN_ITEMS} more"
        reason = (
            f"the base {change.base} is stale: revision {held.root.number} is "
            f"accepted, which changed {shown}"
        )
        return Refusal(RefusalCode.CONFLICT, reason)

    def _accept(self, change, prepared):
        """Return the outcome, or None if another change was accepted first."""
        base, document = prepared.held, prepared.merged.document
        asked_at = time.monotonic()
        digests = self._store.write_contents(document, base.revision)
        if isinstance(digests, Failure):
            return digests._replace(code=FailureCode.UNAVAILABLE)
        revision = Revision(
            base.root.number + 1,
            digests,
            base.root.revision or None,
            change.author,
            time.time(),
            change.change_id,
            patch_if_small(prepared.patch()),
        )
        root = self._store.write_root(revision, prepared.version)
        match root:
            case Failure(code=FailureCode.CONFLICT):
                return None
            case Failure(code=FailureCode.UNKNOWN):
                return self._settle(change, base.root.number, root)
            case Failure():
                return root
        held = Held(root, revision, make_snapshot(revision.number, document))
        self._follower.apply(held, asked_at).get()
        self._announce()
        return Accepted(revision)

    def _settle(self, change, base_number, failure):
        """Return the outcome of an update without response, by reading the history."""
        deadline = time.monotonic() + SETTLE_SECONDS
        while time.monotonic() < deadline:
            found = self.newest()
            if not isinstance(found, Failure) and found[0].root.number > base_number:
                for revision in self._store.chain(found[0].revision):
                    if isinstance(revision, Failure):
                        break
                    if revision.number <= base_number:
                        return None
                    if revision.change_id == change.change_id:
                        self._follower.learn(found[0].root.number)
                        return Accepted(revision)
            time.sleep(ATTEMPT_PAUSE_SECONDS)
        reason = (
            f"it is unknown whether the change {change.change_id} is accepted; send it "
            f"again under the same id: {failure.reason}"
        )
        return Refusal(
            RefusalCode.OUTCOME_UNKNOWN,
            reason,
            RETRY_AFTER_SECONDS,
            Execution.UNKNOWN,
        )


def check_operators_document(text):
    """Return the checked `Document` of a YAML text, or a list of `Fault`.

    >>> check_operators_document("rates: {hays: {rate: 1, burst: 1}}")
    [Fault(path='rates.hays', line=1, reason='no workspace hays')]
    """
    document = check_document(text, Document)
    if isinstance(document, list):
        return document
    return locate_faults(text, document.cross_faults()) or document


def plain(document):
    """Return a document as a mapping of sections to plain values."""
    return document.model_dump(mode="json", exclude_defaults=True)


def _check(merged, current, owned, text):
    not_owned = check_ownership(current, merged, owned)
    if isinstance(not_owned, NotOwned):
        return Refusal(RefusalCode.FORBIDDEN, "; ".join(not_owned.faults))
    faults = locate_faults(text, merged.document.cross_faults())
    for name in oversized_sections(merged.document, current):
        faults.append(
            Fault(name, 0, "the section exceeds the size limit of the platform")
        )
    return _invalid(faults) if faults else None


def _invalid(faults):
    return Refusal(RefusalCode.INVALID_REQUEST, format_faults(faults, SOURCE))
