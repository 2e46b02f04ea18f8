"""Renders the journal's decisions about a subject as sentences."""

import time
from typing import NamedTuple

_TEMPLATE_BY_RULE = {
    ("online", "granted"): "a slot at endpoint {endpoint_id} was granted",
    ("online", "TryAgain"): (
        "attempt {attempt} at endpoint {endpoint_id} failed ({outcome}) and was retried"
    ),
    ("online", "GiveUp"): (
        "attempt {attempt} at endpoint {endpoint_id} failed ({outcome}) and the "
        "request was not retried"
    ),
    ("online", "called_back"): (
        "attempt {attempt} at endpoint {endpoint_id} was recalled, since a copy of "
        "the request may have crashed another endpoint"
    ),
    ("online", "stream_ended"): "the stream to the caller ended ({outcome})",
    ("online", "rate_limit_exceeded"): "refused: the workspace's rate was used up",
    ("online", "invalid_api_key"): "refused: the key was unknown or withdrawn",
    ("online", "overloaded"): "refused: no slot became free in time",
    ("routing", "batch_yields"): "a batch item was preempted for an online request",
    ("configuration", "newer_revision"): "the revision was applied",
    ("configuration", "root_advanced"): "the change was accepted",
    ("batch", "job_accepted"): (
        "the job was accepted with {items} items of workspace {workspace}"
    ),
    ("batch", "job_resent"): "the job was submitted again and is the same job",
    ("batch", "cancel_accepted"): "the cancel was accepted",
    ("batch", "cancel_heard"): (
        "the cancel was received: {waiting} waiting items were dropped and "
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
        "was queued again"
    ),
    ("batch", "aborted"): (
        "attempt {attempt} at endpoint {endpoint_id} was stopped, since the node "
        "stopped or had lost the lease"
    ),
    ("batch", "not_started"): (
        "endpoint {endpoint_id} did not start the item ({reason}); it was queued again"
    ),
    ("batch", "retried"): (
        "attempt {attempt} at endpoint {endpoint_id} failed ({reason}); the item is "
        "retried"
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
    """The decisions about a subject in order of time, collected from all nodes.

    `missing_nodes` did not answer; `shortened_nodes` returned only their newest
    decisions.
    """

    subject: str
    decisions: list
    missing_nodes: list[str]
    shortened_nodes: tuple[str, ...] = ()


def describe_decision(decision):
    """Return one sentence for a `Decision`.

    >>> from .records import Decision
    >>> inputs = {"endpoint_id": "runner-1"}
    >>> decision = Decision(0.0, "n", "online", "r", "granted", "running", inputs)
    >>> describe_decision(decision)
    'a slot at endpoint runner-1 was granted'
    """
    template = _TEMPLATE_BY_RULE.get((decision.concern, decision.rule))
    if template is not None:
        try:
            text = template.format(outcome=decision.outcome, **decision.inputs)
            return text + _omission_note(decision)
        except (KeyError, IndexError):
            pass
    inputs = ", ".join(f"{name} {value}" for name, value in decision.inputs.items())
    text = f"{decision.concern}: rule {decision.rule} gave {decision.outcome}"
    return f"{text} with {inputs}" if inputs else text


def _omission_note(decision):
    count = decision.inputs.get("left_out")
    return f"; {count} decisions on items were left out" if count else ""


def explain(history):
    """Return the lines of a `DecisionHistory` for display, oldest decision first.

    >>> explain(DecisionHistory("batch_1", [], [], ("node-2",)))[-1]
    'shortened in this history: node-2 returned only its newest decisions'
    """
    lines = [_line(decision, history.subject) for decision in history.decisions]
    if not lines:
        lines = [f"no reachable node has decisions about {history.subject}"]
    lines += [
        f"missing from this history: {node_id} could not be reached"
        for node_id in history.missing_nodes
    ]
    lines += [
        f"shortened in this history: {node_id} returned only its newest decisions"
        for node_id in history.shortened_nodes
    ]
    return lines


def _line(decision, subject):
    clock = time.strftime("%H:%M:%S", time.gmtime(decision.at))
    millis = int(decision.at % 1 * 1000)
    about = "" if decision.subject == subject else f" [{decision.subject}]"
    text = describe_decision(decision)
    return f"{clock}.{millis:03d} {decision.node_id}{about}: {text}"
