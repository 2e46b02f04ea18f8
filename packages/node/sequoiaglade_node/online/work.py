"""Validated requests and checks of their parts."""

import json
import re
from typing import NamedTuple

from sequoiaglade_decisions.configuration import Route, Tier
from sequoiaglade_decisions.outcomes import Refusal, RefusalCode
from sequoiaglade_decisions.routing import Priority

_KEY_PATTERN = re.compile(r"[!-~]{1,255}\Z")


class Work(NamedTuple):
    """A validated request and its route.

    `workspace` is None for a caller without a key on a route open to all.
    `has_generated_id` states that this node generated the request id, which is then
    unique.
    """

    request_id: str
    workspace: str | None
    target: str
    route: Route
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_stream: bool
    has_generated_id: bool
    idempotency_key: str | None = None

    @property
    def survives_disconnect(self):
        """Whether the call continues after its caller disconnects.

        An unrepeatable call with an idempotency key does, since cancelling it would
        leave its outcome unknown forever. A resent request gets its response.
        """
        return self.idempotency_key is not None and not self.route.repeatable


def parse_model_body(body):
    """Return the pair of model name and whether to stream, or a `Refusal`."""
    try:
        value = json.loads(
            body.decode(),
            object_pairs_hook=_object_of,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as error:
        return _invalid(f"the body is not valid JSON: {error}")
    if not isinstance(value, dict):
        return _invalid("the body is not a JSON object")
    model = value.get("model")
    if not isinstance(model, str):
        return _invalid("model: a string is needed")
    if not isinstance(value.get("stream", False), bool):
        return _invalid("stream: true or false is needed")
    return model, value.get("stream", False)


def check_idempotency_key(key):
    """Return None if `key` is a valid idempotency key, or a `Refusal`.

    >>> check_idempotency_key("order-17") is None
    True
    """
    if _KEY_PATTERN.match(key):
        return None
    return _invalid("Idempotency-Key: 1 to 255 visible ASCII characters are needed")


def online_priority(snapshot, workspace):
    """Return the `Priority` of online requests of a workspace."""
    found = snapshot.document.workspaces.get(workspace)
    is_trial = found is None or found.tier is Tier.TRIAL
    return Priority.TRIAL_ONLINE if is_trial else Priority.PAYING_ONLINE


def workspace_weight(snapshot, workspace):
    """Return the weight of a workspace; 1 for requests without one."""
    found = snapshot.document.workspaces.get(workspace)
    return found.weight if found is not None else 1.0


def _reject_constant(name):
    raise ValueError(f"{name} is not JSON")


def _object_of(pairs):
    # JSON parsers differ on which of two values of one name they use.
    value = dict(pairs)
    if len(value) != len(pairs):
        raise ValueError("an object has one name twice")
    return value


def _invalid(reason):
    return Refusal(RefusalCode.INVALID_REQUEST, reason)
