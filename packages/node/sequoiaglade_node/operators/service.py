"""HTTP interface for operators on the control listener."""

import json
import time
import uuid
from urllib.parse import parse_qs

from sequoiaglade_decisions.configuration import SECTION_NAMES
from sequoiaglade_decisions.journal import explain
from sequoiaglade_decisions.keys import bearer_token, digest_key
from sequoiaglade_decisions.outcomes import Failure, Refusal, RefusalCode

from ..configuration.acceptance import Accepted, Change, Prepared, plain
from ..web import json_response, refusal_response

DOCUMENT_LIMIT_BYTES = 8_388_608
HISTORY_DEFAULT = 100
HISTORY_LIMIT = 1000
CHANGE_ID_LIMIT = 128
ROOT_OPERATOR = "root"


class OperatorService:
    """Handles ``/operator/...``."""

    def __init__(self, settings, holder, acceptance, journal, journal_client):
        self._settings = settings
        self._holder = holder
        self._acceptance = acceptance
        self._journal = journal
        self._journal_client = journal_client

    def handle(self, request):
        """Return the `Response` to an operator's request."""
        operator = self._operator(request)
        outcome = operator
        if not isinstance(operator, Refusal):
            outcome = self._route(request, operator)
        if isinstance(outcome, Failure):
            reason = f"platform: {outcome.reason}"
            outcome = Refusal(RefusalCode.PLATFORM_UNAVAILABLE, reason, 2.0)
        if isinstance(outcome, Refusal):
            return refusal_response(outcome, request.request_id)
        return json_response(200, outcome)

    def _operator(self, request):
        token = bearer_token(request.header("authorization"))
        digest = digest_key(token) if token else None
        if digest and digest == self._settings.operator_token_digest:
            return ROOT_OPERATOR, digest
        for name, team in self._holder.current.document.teams.items():
            if digest == team.token_digest:
                return name, digest
        return Refusal(RefusalCode.INVALID_KEY, "the operator's token is unknown")

    def _route(self, request, operator):
        parts = request.path.strip("/").split("/")[1:]
        match request.method, parts:
            case "GET", ["configuration"]:
                return self._current()
            case "PUT", ["configuration"]:
                return self._apply(request, operator)
            case "POST", ["plan"]:
                return self._plan(request, operator)
            case "GET", ["history"]:
                return self._history(request)
            case "GET", ["status"]:
                return self._status()
            case "GET", ["explain", *subject]:
                return self._explain("/".join(subject))
        return Refusal(RefusalCode.NOT_FOUND, f"there is no resource at {request.path}")

    def _current(self):
        found = self._acceptance.newest()
        if isinstance(found, Failure):
            return found
        held = found[0]
        return {
            "revision": held.root.number,
            "document": plain(held.snapshot.document),
        }

    def _status(self):
        standing = self._holder.standing
        return {
            "node_id": self._settings.node_id,
            "revision": standing.held.root.number,
            "serves_keys": time.monotonic() <= standing.serve_until,
        }

    def _history(self, request):
        count = parse_qs(request.query).get("count", [str(HISTORY_DEFAULT)])[0]
        if not count.isdecimal() or not 1 <= int(count) <= HISTORY_LIMIT:
            reason = f"count: a number from 1 to {HISTORY_LIMIT} is needed"
            return Refusal(RefusalCode.INVALID_REQUEST, reason)
        revisions = self._acceptance.history(int(count))
        if isinstance(revisions, Failure):
            return revisions
        return {"revisions": [revision._asdict() for revision in revisions]}

    def _plan(self, request, operator):
        change = _read_change(request, operator)
        if isinstance(change, Refusal):
            return change
        prepared = self._acceptance.plan(change)
        if not isinstance(prepared, Prepared):
            return prepared
        return {
            "base": change.base,
            "revision": prepared.held.root.number,
            "changes": prepared.patch(),
        }

    def _apply(self, request, operator):
        change = _read_change(request, operator)
        if isinstance(change, Refusal):
            return change
        outcome = self._acceptance.apply(change)
        result = "accepted" if isinstance(outcome, Accepted) else outcome.reason
        self._journal.record(
            "configuration",
            change.change_id,
            "apply",
            result,
            author=change.author,
            base=change.base,
        )
        if not isinstance(outcome, Accepted):
            return outcome
        revision = outcome.revision
        return {"revision": revision.number, "change_id": revision.change_id}

    def _explain(self, subject):
        history = self._journal_client.history(subject)
        decisions = [decision._asdict() for decision in history.decisions]
        return {
            "subject": subject,
            "decisions": decisions,
            "sentences": explain(history),
            "missing_nodes": history.missing_nodes,
            "shortened_nodes": history.shortened_nodes,
        }


def owned_sections(document, operator, token_digest):
    """Return the sections that an operator owns in `document`, or a `Refusal`.

    >>> from sequoiaglade_decisions.configuration import Document
    >>> owned_sections(Document(), ROOT_OPERATOR, "") == SECTION_NAMES
    True
    """
    if operator == ROOT_OPERATOR:
        return SECTION_NAMES
    team = document.teams.get(operator)
    if team is None or team.token_digest != token_digest:
        return Refusal(RefusalCode.INVALID_KEY, "the operator's token is revoked")
    return team.sections


def _read_change(request, operator):
    body = request.read_body(DOCUMENT_LIMIT_BYTES)
    if isinstance(body, Refusal):
        return body
    try:
        wanted = json.loads(body)
        base, text = int(wanted["base"]), str(wanted["document"])
        change_id = str(wanted.get("change_id") or uuid.uuid4().hex)
        merges_sections = wanted.get("merge", False)
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as error:
        return Refusal(RefusalCode.INVALID_REQUEST, f"body: {error!r}")
    if len(change_id) > CHANGE_ID_LIMIT:
        reason = f"change_id: at most {CHANGE_ID_LIMIT} characters"
        return Refusal(RefusalCode.INVALID_REQUEST, reason)
    if not isinstance(merges_sections, bool):
        return Refusal(RefusalCode.INVALID_REQUEST, "merge: true or false is needed")
    name, digest = operator
    return Change(base, text, change_id, name, digest, merges_sections)
