"""Decisions and their encoding as lines of the journal."""

import json
from typing import Any, NamedTuple

BATCH_CONCERN = "batch"


class Decision(NamedTuple):
    """A decision about `subject`, such as a request id or a job id.

    `at` is in seconds since the epoch on the node's clock. `rule` names the rule that
    decided, `inputs` are the values it used, and `outcome` is its result. A journal
    never contains request bodies or keys.

    >>> line = Decision(1.0, "n", "online", "r-1", "granted", "running", {}).encode()
    >>> Decision.decode(line).subject
    'r-1'
    """

    at: float
    node_id: str
    concern: str
    subject: str
    rule: str
    outcome: str
    inputs: dict[str, Any]

    def encode(self):
        """Return the decision as one line of JSON without a line break."""
        return json.dumps(self._asdict(), separators=(",", ":"), default=str)

    @classmethod
    def decode(cls, line):
        """Return the decision that `encode` encoded as `line`."""
        return cls(**json.loads(line))

    def is_about(self, subject):
        """Return whether `subject` is the decision's subject or one of its inputs.

        The items of a job and the attempts of a request have ids that start with
        the job's or the request's id and a dot or a slash. A decision about a job or a
        segment also concerns each of its items.

        >>> committed = Decision(1.0, "n", "batch", "batch_1.0", "committed", "", {})
        >>> committed.is_about("batch_1.0.7"), committed.is_about("batch_1.1.7")
        (True, False)
        """
        if _names(self.subject, subject):
            return True
        if self.concern == BATCH_CONCERN and _names(subject, self.subject):
            return True
        return any(_names(value, subject) for value in self.inputs.values())


def _names(value, subject):
    if not isinstance(value, str) or not value.startswith(subject):
        return False
    return len(value) == len(subject) or value[len(subject)] in "./"
