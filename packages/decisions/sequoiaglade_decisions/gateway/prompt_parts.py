"""Blame of prompt parts that crash the endpoints that begin to answer on them.

Load pattern: requests that are all different share one part of their prompt, arrive at
all nodes, and each crashes the endpoint that it is sent to, before its first event or
after some. Sound requests share their callers and their other parts, and break with
them.
"""

from .part_evidence import GOSSIPED_MAX, EvidenceLimits, PartCrash, PartEvidence

# Crashes without an event count against parts without any event since.
EARLY_LIMITS = EvidenceLimits(instances=3, known_instances=5)
# Each crash also breaks streams that had begun. So more crashes are needed where these
# count, and a part with a whole answer is never blamed for them.
BEGUN_LIMITS = EvidenceLimits(instances=4, known_instances=None)
# Events that go on for this long after the first one show, as the end of the response
# does, that the request crashes no endpoint.
LASTING_SECONDS = 2.0


class PromptParts:
    """The parts of prompts that are blamed for crashes of endpoints.

    Two bodies of evidence are kept. In the first, crashes of requests without an event
    count, and a first event is an answer. In the second, all crashes count, and only a
    response that ended or lasted is an answer. Crashes that the first explains count
    only there.

    >>> parts = PromptParts()
    >>> parts.note_answer("s", ("shared",), now=0.0)
    >>> for n in range(3):
    ...     parts.note_crash("s", ("shared", "culprit"), f"r{n}", f"e-{n}", now=1.0 + n)
    >>> parts.find_refusal("s", ("shared", "culprit"), now=3.5)
    >>> parts.find_refusal("s", ("shared", "culprit"), now=4.0).part
    'culprit'
    >>> parts.find_refusal("s", ("shared",), now=4.0)

    An answer ends a blame.

    >>> parts.note_answer("s", ("culprit",), now=5.0)
    >>> parts.find_refusal("s", ("culprit",), now=5.0)

    A first event does not end a blame for crashes after one.

    >>> for n in range(4):
    ...     parts.note_answer("s", ("late",), now=6.0 + n, is_complete=False)
    ...     parts.note_crash("s", ("late",), f"q{n}", f"f-{n}", 6.5 + n, has_begun=True)
    >>> parts.note_answer("s", ("late",), now=10.0, is_complete=False)
    >>> parts.find_refusal("s", ("late",), now=10.5).part
    'late'
    """

    def __init__(self):
        self._early = PartEvidence(EARLY_LIMITS)
        self._begun = PartEvidence(BEGUN_LIMITS)

    def note_crash(self, service, parts, request, endpoint_key, now, has_begun=False):
        """Count a crash that this node saw.

        `has_begun` is whether the request had got events, but no whole answer.
        """
        crash = PartCrash(service, tuple(parts), request, endpoint_key, now, has_begun)
        if not has_begun:
            self._early.note_crash(crash)
        self._begun.note_crash(crash)

    def withdraw(self, request, endpoint_key):
        """Forget a break that turned out to be no crash."""
        self._early.withdraw(request, endpoint_key)
        self._begun.withdraw(request, endpoint_key)

    def note_answer(self, service, parts, now, is_complete=True):
        """Note an answer to a request with these parts, or only its first event."""
        self._early.note_answer(service, parts, now)
        if is_complete:
            self._begun.note_answer(service, parts, now)

    def find_refusal(self, service, parts, now, may_try=False, has_begun=False):
        """Return the `Blame` for which a request is refused, or None.

        `may_try` states that this node is the one that tries blamed parts again. A
        request that is let through for that counts as the trial of its part.
        `has_begun` is whether the request has got events already.
        """
        found = [
            (evidence, blame)
            for evidence, blame in self._find(service, parts, now, has_begun)
            if blame.is_settled(now)
        ]
        if not found:
            return None
        names = {blame.part for _, blame in found}
        if may_try and len(names) == 1:
            if all(evidence.is_trial_due(blame, now) for evidence, blame in found):
                for evidence in (self._early, self._begun):
                    evidence.note_trial(*names, now)
                return None
        for evidence, blame in found:
            evidence.note_refusal(blame, now)
        return found[0][1]

    def find_suspicion(self, service, parts, now, has_begun=False):
        """Return the `Blame` for which a broken request is not sent again, or None.

        It needs no settling: a request that broke with its part suspected would crash
        the next endpoint.
        """
        found = self._find(service, parts, now, has_begun)
        return found[0][1] if found else None

    @property
    def crash_count(self):
        """Number of crashes kept."""
        return len(self._early.keys | self._begun.keys)

    def refused_parts(self, now):
        """Return the `Blame` of each part that is refused, by part."""
        self._explain()
        return self._begun.refused_parts(now) | self._early.refused_parts(now)

    def crashes(self, now, is_relaying=False):
        """Return the `PartCrash` records to gossip, with ages.

        They are those that this node saw. With `is_relaying` they include those of
        blamed parts that others saw, which may be gone when a node starts.
        A crash whose parts all have an answer since is evidence of nothing. So crashes
        for another cause fill few messages.
        """
        self._explain()
        early = self._early.crashes(now, is_relaying)
        keys = {crash.key for crash in early}
        begun = self._begun.crashes(now, is_relaying)
        more = [crash for crash in begun if crash.key not in keys]
        return early + more[max(0, len(early) + len(more) - GOSSIPED_MAX) :]

    def sound_parts(self, now):
        """Return the `SoundPart` records of parts with recent crashes, with ages."""
        whole = [
            sound._replace(is_complete=True) for sound in self._begun.sound_parts(now)
        ]
        return self._early.sound_parts(now) + whole

    def merge(self, crashes, sound_parts, now):
        """Add the records that a peer gossips.

        >>> one, other = PromptParts(), PromptParts()
        >>> for n in range(3):
        ...     one.note_crash("s", ("p",), f"r{n}", f"e-{n}", now=1.0)
        >>> other.note_answer("s", ("q",), now=1.0)
        >>> other.merge(one.crashes(2.0), one.sound_parts(2.0), now=2.0)
        >>> other.find_refusal("s", ("p",), now=2.0).crashes
        3
        """
        for crash in crashes:
            seen = crash._replace(at=now - crash.at)
            if not crash.has_begun:
                self._early.merge_crash(seen)
            self._begun.merge_crash(seen)
        for service, part, age, is_complete in sound_parts:
            self._early.merge_answer(service, part, now - age)
            if is_complete:
                self._begun.merge_answer(service, part, now - age)

    def _find(self, service, parts, now, has_begun):
        """Return the `Blame` of each blamed part, after the evidence it rests on."""
        self._explain()
        bodies = (self._begun,) if has_begun else (self._early, self._begun)
        return [
            (evidence, blame)
            for evidence in bodies
            for blame in evidence.find(service, parts, now)
        ]

    def _explain(self):
        self._begun.exclude(self._early.explained())
