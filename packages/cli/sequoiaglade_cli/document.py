"""Edit and compare the operators' configuration document."""

import secrets
import time

import yaml

from .client import EXIT_REFUSED, EXIT_UNREACHABLE, Problem, Reply

EDIT_ATTEMPTS = 10
PUT_ATTEMPTS = 3
PUT_RETRY_PAUSE_SECONDS = 0.5


def fetch(client):
    """Return the `Reply` with revision and document, or a `Problem`."""
    return client.call("GET", "/operator/configuration")


def put(client, base, text, change_id=None, merge=False):
    """Apply the YAML `text` on top of the revision `base`.

    With `merge`, changes that others have made to other sections since `base` are kept;
    without it, any change since `base` is a conflict. While it is unknown whether the
    change was accepted, it is sent again with the same id, so it applies only once.
    """
    change_id = change_id or "change-" + secrets.token_hex(8)
    value = {"base": base, "document": text, "change_id": change_id, "merge": merge}
    for attempt in range(PUT_ATTEMPTS):
        outcome = client.call("PUT", "/operator/configuration", value)
        if isinstance(outcome, Reply) or not _is_outcome_unknown(outcome):
            return outcome
        time.sleep(PUT_RETRY_PAUSE_SECONDS * (attempt + 1))
    reason = f"{outcome.reason}; the change's id is {change_id}"
    return outcome._replace(reason=reason)


def plan(client, base, text, merge=False):
    """Return the changes that `put` would make as table rows, or a `Problem`."""
    found = fetch(client)
    if isinstance(found, Problem):
        return found
    base = found.value["revision"] if base is None else base
    value = {"base": base, "document": text, "merge": merge}
    planned = client.call("POST", "/operator/plan", value)
    if isinstance(planned, Problem):
        return planned
    return Reply(plan_rows(found.value["document"], planned.value["changes"]))


def edit(client, change):
    """Modify the document with `change` and apply the result, with retries.

    `change` modifies the mapping of sections in place and returns None, or the reason
    why it can't. If another operator's change is accepted in the meantime, the edit is
    repeated on their revision.
    """
    outcome = None
    for _ in range(EDIT_ATTEMPTS):
        found = fetch(client)
        if isinstance(found, Problem):
            return found
        sections = found.value["document"]
        error = change(sections)
        if error is not None:
            return Problem(EXIT_REFUSED, error)
        text = yaml.safe_dump(sections, sort_keys=True)
        outcome = put(client, found.value["revision"], text, merge=True)
        if isinstance(outcome, Reply) or not outcome.reason.startswith("409"):
            return outcome
    return outcome


def plan_rows(old, patch):
    """Return the changes of a patch to a mapping of sections as table rows.

    >>> plan_rows({}, {"models": {"m": {}}})
    [{'change': 'add', 'item': 'models.m', 'before': None, 'after': {}}]
    """
    rows = []
    for section, items in sorted(patch.items()):
        before_by_name = old.get(section) or {}
        for name, after in sorted(items.items()):
            before = before_by_name.get(name)
            change = "remove" if after is None else "change"
            if name not in before_by_name:
                change = "add"
            item = f"{section}.{name}"
            row = {"change": change, "item": item, "before": before, "after": after}
            rows.append(row)
    return rows


def _is_outcome_unknown(problem):
    return problem.exit_code == EXIT_UNREACHABLE or problem.reason.startswith("504")
