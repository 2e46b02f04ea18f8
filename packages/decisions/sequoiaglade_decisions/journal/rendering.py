"""Tells in plain sentences what the journal holds about a subject."""

import time
from typing import NamedTuple

_SENTENCE_BY_RULE = {
    ("online", "granted"): "a slot at endpoint {endpoint_id} was granted",
    ("online", "TryAgain"): (
        "attempt {attempt} at endpoint {endpoint_id} failed ({outcome}) and was "
        "tried again"
    ),
    ("online", "GiveUp"): (
        "attempt {attempt} at endpoint {endpoint_id} failed ({outcome}) and the "
        "request was given up"
    ),
    ("online", "called_back"): (
        "attempt {attempt} at endpoint {endpoint_id} was called back, since a copy of "
        "the request may have crashed another endpoint"
    ),
    ("online", "stream_ended"): "the stream to the caller ended ({outcome})",
    ("online", "rate_limit_exceeded"): "refused: the workspace's rate was used up",
    ("online", "invalid_api_key"): "refused: the key was unknown or withdrawn",
    ("online", "overloaded"): "refused: no slot came free in time",
    ("routing", "batch_yields"): "batch work left its endpoint for an online request",
    ("configuration", "newer_revision"): "the revision was put in force",
    ("configuration", "root_advanced"): "the change was accepted",
    ("batch", "job_accepted"): (
        "the job was accepted with {items} items of workspace {workspace}"
    ),
    ("batch", "job_resent"): "the job was sent again and is the same job",
    ("batch", "cancel_accepted"): "the cancel was accepted",
    ("batch", "cancel_heard"): (
        "the cancel was heard of: {waiting} items that waited were dropped and "
        "{in_flight} in flight stopped"
    ),
    ("batch", "job_ended"): (
        "the job ended as {outcome} with {completed} results and {failed} errors"
    ),
    ("batch", "claimed"): "the segment was claimed for the first time",
    ("batch", "claimed_released"): "the segment that {holder} had released was claimed",
    ("batch", "taken_over"): (
        "the segment was taken over from {holder}, whose lease had run out"
    ),
    ("batch", "committed"): (
        "the segment was committed with {completed} results and {failed} errors"
    ),
    ("batch", "released"): "the segment was released with {completed} results so far",
    ("batch", "lease_lost"): "the lease of the segment was lost ({reason})",
    ("batch", "dispatched_again"): (
        "attempt {attempt} started at endpoint {endpoint_id}"
    ),
    ("batch", "yielded"): (
        "attempt {attempt} left endpoint {endpoint_id} for online requests; the item "
        "waits again"
    ),
    ("batch", "aborted"): (
        "attempt {attempt} at endpoint {endpoint_id} was stopped, since the node "
        "stopped or had lost the lease"
    ),
    ("batch", "not_started"): (
        "endpoint {endpoint_id} did not start the item ({reason}); it waits again"
    ),
    ("batch", "retried"): (
        "attempt {attempt} at endpoint {endpoint_id} failed ({reason}); the item is "
        "tried again"
    ),
    ("batch", "dropped"): (
        "attempt {attempt} at endpoint {endpoint_id} was stopped by the cancel"
    ),
    ("batch", "given_up"): "the item was given up ({outcome})",
    ("batch", "quarantined"): (
        "the item was refused: requests with its content crashed endpoints and are "
        "quarantined"
    ),
}


class DecisionHistory(NamedTuple):
    """What is known of a subject: its decisions in order, and who did not answer.

    `shortened_nodes` gave only their newest decisions.
    """

    subject: str
    decisions: list
    missing_nodes: list[str]
    shortened_nodes: tuple[str, ...] = ()


def sentence(decision):
    """Return one plain sentence for a `Decision`.

    >>> from .records import Decision
    >>> inputs = {"endpoint_id": "runner-1"}
    >>> sentence(Decision(0.0, "n", "online", "r", "granted", "running", inputs))
    'a slot at endpoint runner-1 was granted'
    """
    template = _SENTENCE_BY_RULE.get((decision.concern, decision.rule))
    if template is not None:
        try:
            text = template.format(outcome=decision.outcome, **decision.inputs)
            return text + _left_out(decision)
        except (KeyError, IndexError):
            pass
    inputs = ", ".join(f"{name} {value}" for name, value in decision.inputs.items())
    text = f"{decision.concern}: rule {decision.rule} gave {decision.outcome}"
    return f"{text} with {inputs}" if inputs else text


def _left_out(decision):
    count = decision.inputs.get("left_out")
    return f"; {count} decisions on items were left out" if count else ""


def explain(account):
    """Return the lines of an account for people, the oldest decision first.

    >>> explain(DecisionHistory("batch_1", [], [], ("node-2",)))[-1]
    'shortened in this account: node-2 gave only its newest decisions'
    """
    lines = [_line(decision, account.subject) for decision in account.decisions]
    if not lines:
        lines = [f"no reachable node knows of {account.subject}"]
    lines += [
        f"missing from this account: {node_id} could not be reached"
        for node_id in account.missing_nodes
    ]
    lines += [
        f"shortened in this account: {node_id} gave only its newest decisions"
        for node_id in account.shortened_nodes
    ]
    return lines


def _line(decision, subject):
    clock = time.strftime("%H:%M:%S", time.gmtime(decision.at))
    millis = int(decision.at % 1 * 1000)
    about = "" if decision.subject == subject else f" [{decision.subject}]"
    text = sentence(decision)
    return f"{clock}.{millis:03d} {decision.node_id}{about}: {text}"
