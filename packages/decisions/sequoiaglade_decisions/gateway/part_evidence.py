"""Crashes and answers by prompt part, and the parts that the crashes are blamed on."""

from collections import OrderedDict, defaultdict
from typing import NamedTuple

# Different requests whose crashes a part is blamed for.
REQUESTS_MIN = 2
# Time over which a part with answers before the crashes, but none since, crashes.
KNOWN_SECONDS_MIN = 1.0
# Time in which answers elsewhere become known before a blamed part is refused.
SETTLE_SECONDS = 1.0
# A blame ends this long after the last crash or refused request with the part ...
BLAME_SECONDS = 120.0
# ... and at the latest this long after the last crash.
BLAME_MAX_SECONDS = 900.0
# A crash counts against a part only if its service answered within this time.
SERVICE_SECONDS = 60.0
# A blamed part is tried this long after its last crash, and again after more of it.
TRIAL_SECONDS = (8.0, 60.0)
# A crash this long after the part was refused was a trial, or a node without the news.
LATE_SECONDS = 3.0
# Interval at which expired crashes are looked for.
EXPIRY_SECONDS = 1.0
# Crashes of parts that are not blamed are gossiped for this long, as in `Quarantine`.
GOSSIP_SECONDS = 10.0
GOSSIPED_MAX = 32
GOSSIPED_SOUND_MAX = 64
CRASHES_MAX = 512
SOUND_PARTS_MAX = 8192


class EvidenceLimits(NamedTuple):
    """Crashed endpoint instances that a part is blamed after.

    `known_instances` holds for a part that was answered before the crashes; None if
    such a part is never blamed.
    """

    instances: int
    known_instances: int | None


class PartCrash(NamedTuple):
    """A request that broke when its endpoint crashed.

    `parts` are those of its prompt without the last one, `request` its fingerprint,
    `endpoint_key` identifies the endpoint and its start time. `at` is a time in
    seconds; in gossip it is the age of the crash. `has_begun` is whether the request
    had got events.
    """

    service: str
    parts: tuple[str, ...]
    request: str
    endpoint_key: str
    at: float
    has_begun: bool = False

    @property
    def key(self):
        """The endpoint and the request, of which a crash is counted once."""
        return (self.endpoint_key, self.request)


class SoundPart(NamedTuple):
    """A part with an answer at time `at`; in gossip, the age of that answer.

    An empty part states that the service answered any request. `is_complete` is whether
    the answer ended or had lasted, else only its first event is known.
    """

    service: str
    part: str
    at: float
    is_complete: bool = False


class Blame(NamedTuple):
    """A part that crashes endpoints, and the evidence for that.

    `crashes` counts endpoint instances, the `late` ones among them after the blame was
    known. `since` is the time of the crash that completed the evidence, `services` are
    those of the crashes.
    """

    part: str
    crashes: int
    since: float
    last_at: float
    late: int
    services: frozenset

    def is_settled(self, now):
        """Return whether answers elsewhere would be known by now."""
        return now - self.since >= SETTLE_SECONDS


class PartEvidence:
    """The crashes and answers by prompt part, of one node and of its peers.

    A crash counts against each part of the requests that broke on it, unless a part has
    an answer since, or the crash is explained by a part that is blamed with more
    reason. At high rates no endpoint is left for sound requests, so that answers before
    the crashes tell the sound parts from the culprit: a part without any is blamed
    first. Routes may spread requests over several services, so that crashes are counted
    over all of them; a service that has answered a part and did not crash on it goes on
    to serve it.

    Which crashes and answers are evidence is up to the caller.
    """

    def __init__(self, limits):
        self._limits = limits
        self._crash_by_key = OrderedDict()
        self._local_keys = set()
        self._last_crash_at = {}
        self._expiry_at = 0.0
        self._answered_at = OrderedDict()
        self._service_answered_at = {}
        self._cleared_at = {}
        self._refused_at = {}
        self._tried_at = {}
        self._blame_by_part = None
        self._explained = frozenset()
        self._explained_elsewhere = frozenset()

    def note_crash(self, crash):
        """Count a `PartCrash` that this node saw."""
        # The streams that each crash breaks would displace the evidence against its
        # culprit. Those that peers report tell which answers the peers lack.
        is_kept = not crash.has_begun or self._is_evidence(crash)
        if is_kept and self._add(crash):
            self._local_keys.add(crash.key)

    def withdraw(self, request, endpoint_key):
        """Forget a break that turned out to be no crash."""
        if self._crash_by_key.pop((endpoint_key, request), None):
            self._local_keys.discard((endpoint_key, request))
            self._blame_by_part = None

    def note_answer(self, service, parts, now):
        """Note an answer to a request with these parts."""
        self._service_answered_at[service] = now
        for part in parts:
            if part in self._find_blames():
                self._cleared_at[service, part] = now
            self._note_sound(service, part, now)

    def find(self, service, parts, now):
        """Return the `Blame` of each of the parts that is blamed at a service."""
        self._drop_expired(now)
        found = [self._find_blames().get(part) for part in parts]
        return [
            blame
            for blame in found
            if blame is not None
            and (
                service in blame.services
                or (service, blame.part) not in self._answered_at
            )
        ]

    def note_refusal(self, blame, now):
        """Note that a request was refused for a part."""
        self._refused_at[blame.part] = now

    def note_trial(self, part, now):
        """Note that a request with a blamed part was let through."""
        self._tried_at.setdefault(part, []).append(now)

    def is_trial_due(self, blame, now):
        """Return whether a request with a blamed part is to be let through."""
        trials = self._tried_at.get(blame.part, [])
        # Late crashes include the trials of another node that is lost by now.
        count = max(len(trials), blame.late)
        if count >= len(TRIAL_SECONDS):
            return False
        return now - max([blame.last_at, *trials]) >= TRIAL_SECONDS[count]

    @property
    def keys(self):
        """The keys of the crashes kept."""
        return self._crash_by_key.keys()

    def explained(self):
        """Return the keys of the endpoints whose crashes the blamed parts explain."""
        return self._explained if self._find_blames() else frozenset()

    def exclude(self, explained):
        """Let crashes of endpoints with these keys count against no part."""
        if explained != self._explained_elsewhere:
            self._explained_elsewhere = explained
            self._blame_by_part = None

    def refused_parts(self, now):
        """Return the `Blame` of each part that is refused, by part."""
        self._drop_expired(now)
        blames = self._find_blames().items()
        return {part: blame for part, blame in blames if blame.is_settled(now)}

    def crashes(self, now, is_relaying=False):
        """Return the `PartCrash` records to gossip, with ages.

        They are those that this node saw. With `is_relaying` they include those of
        blamed parts that others saw, which may be gone when a node starts.
        A crash whose parts all have an answer since is evidence of nothing. So crashes
        for another cause fill few messages.
        """
        records = [
            crash
            for crash in self._gossiped_crashes(now)
            if (
                crash.key in self._local_keys
                or (is_relaying and self._is_blamed(crash))
            )
            and self._is_evidence(crash)
        ]
        return [c._replace(at=now - c.at) for c in records[-GOSSIPED_MAX:]]

    def sound_parts(self, now):
        """Return the `SoundPart` records of parts with recent crashes, with ages."""
        crashes = self._gossiped_crashes(now)
        # Answers that ended a blame come first: peers may still refuse these parts.
        keys = dict.fromkeys(
            key for key, at in self._cleared_at.items() if now - at < GOSSIP_SECONDS
        )
        for crash in reversed(crashes):
            keys.update(((crash.service, part), None) for part in crash.parts)
        known = [key for key in keys if key in self._answered_at]
        records = [SoundPart(*key, now - self._answered_at[key]) for key in known]
        services = {
            crash.service for crash in crashes
        } & self._service_answered_at.keys()
        return records[:GOSSIPED_SOUND_MAX] + [
            SoundPart(service, "", now - self._service_answered_at[service])
            for service in sorted(services)
        ]

    def merge_crash(self, crash):
        """Add a `PartCrash` that a peer saw."""
        self._add(crash)

    def merge_answer(self, service, part, at):
        """Add an answer that a peer noted; an empty part stands for any request."""
        if part:
            self._note_sound(service, part, at)
        answered_at = self._service_answered_at.get(service, at)
        self._service_answered_at[service] = max(answered_at, at)

    def _gossiped_crashes(self, now):
        """Return the crashes that are recent, or of a part that is blamed."""
        self._drop_expired(now)
        return [
            crash
            for crash in self._crash_by_key.values()
            if now - crash.at < GOSSIP_SECONDS or self._is_blamed(crash)
        ]

    def _is_blamed(self, crash):
        return not self._find_blames().keys().isdisjoint(crash.parts)

    def _add(self, crash):
        key = crash.key
        if not crash.parts or key in self._crash_by_key:
            return False
        self._crash_by_key[key] = crash
        for part in crash.parts:
            known_at = self._last_crash_at.get((crash.service, part), crash.at)
            self._last_crash_at[crash.service, part] = max(known_at, crash.at)
        while len(self._crash_by_key) > CRASHES_MAX:
            dropped, _ = self._crash_by_key.popitem(last=False)
            self._local_keys.discard(dropped)
        self._blame_by_part = None
        return True

    def _note_sound(self, service, part, at):
        key = (service, part)
        known_at = self._answered_at.get(key)
        if known_at is not None and known_at >= at:
            return
        crashed_at = self._last_crash_at.get(key)
        if crashed_at is not None and (known_at is None or known_at < crashed_at):
            self._blame_by_part = None
        self._answered_at[key] = at
        self._answered_at.move_to_end(key)
        while len(self._answered_at) > SOUND_PARTS_MAX:
            self._answered_at.popitem(last=False)

    def _find_blames(self):
        """Return the `Blame` of each blamed part by its id, settled or not."""
        if not self._crash_by_key:
            return {}
        if self._blame_by_part is None:
            self._blame_by_part = self._compute_blames()
        return self._blame_by_part

    def _compute_blames(self):
        crashes = list(self._crash_by_key.values())
        blames, explained = {}, set()
        elsewhere = self._explained_elsewhere
        while True:
            suspects = self._suspects(crashes, explained | elsewhere)
            if not suspects:
                self._explained = frozenset(explained)
                return blames
            *_, blame = max(suspects)
            blames[blame.part] = blame
            explained |= {c.endpoint_key for c in crashes if blame.part in c.parts}

    def _suspects(self, crashes, explained):
        """Return the blamable parts, each after its rank."""
        crashes_by_part = defaultdict(list)
        for crash in crashes:
            if crash.endpoint_key in explained:
                continue
            for position, part in enumerate(crash.parts):
                if self._counts_against(part, crash):
                    crashes_by_part[part].append((crash, position))
        suspects = []
        for part, rows in crashes_by_part.items():
            blame, is_known = self._judge(part, [crash for crash, _ in rows])
            if blame is not None:
                # Later parts of a prompt are shared by fewer requests.
                position = max(position for _, position in rows)
                suspects.append((not is_known, blame.crashes, position, part, blame))
        return suspects

    def _is_evidence(self, crash):
        return any(self._counts_against(part, crash) for part in crash.parts)

    def _counts_against(self, part, crash):
        answered_at = self._answered_at.get((crash.service, part))
        if answered_at is None:
            return True
        return self._limits.known_instances is not None and crash.at > answered_at

    def _judge(self, part, crashes):
        """Return the `Blame` of a part, or None, and whether it was answered before."""
        services = frozenset(crash.service for crash in crashes)
        is_known = any((service, part) in self._answered_at for service in services)
        first_at_by_key = {}
        for crash in crashes:
            at = first_at_by_key.get(crash.endpoint_key, crash.at)
            first_at_by_key[crash.endpoint_key] = min(at, crash.at)
        times = sorted(first_at_by_key.values())
        limits = self._limits
        needed = limits.known_instances if is_known else limits.instances
        if needed is None:
            return None, is_known
        if len(times) < needed or len({c.request for c in crashes}) < REQUESTS_MIN:
            return None, is_known
        never = float("-inf")
        answered_at = max(self._service_answered_at.get(s, never) for s in services)
        if answered_at <= times[0] - SERVICE_SECONDS:
            return None, is_known
        since = times[needed - 1]
        if is_known:
            # The service must answer other requests while this part breaks.
            is_short = times[-1] - times[0] < KNOWN_SECONDS_MIN
            if is_short or answered_at < since:
                return None, is_known
            since = max(since, times[0] + KNOWN_SECONDS_MIN)
        late_at = since + SETTLE_SECONDS + LATE_SECONDS
        late = sum(at > late_at for at in times)
        blame = Blame(part, len(times), since, times[-1], late, services)
        return blame, is_known

    def _drop_expired(self, now):
        """Drop the crashes that are old and not of a part that is still blamed."""
        if not self._crash_by_key or now < self._expiry_at:
            return
        self._expiry_at = now + EXPIRY_SECONDS
        kept = set()
        for key, crash in list(self._crash_by_key.items()):
            blamed = map(self._find_blames().get, crash.parts)
            is_wanted = any(b is not None and self._is_wanted(b, now) for b in blamed)
            if now - crash.at < BLAME_SECONDS or is_wanted:
                kept.update((crash.service, part) for part in crash.parts)
            else:
                del self._crash_by_key[key]
                self._local_keys.discard(key)
        for times in (self._last_crash_at, self._cleared_at):
            for key in times.keys() - kept:
                del times[key]
        kept_parts = {part for _, part in kept}
        for times in (self._refused_at, self._tried_at):
            for part in times.keys() - kept_parts:
                del times[part]
        self._blame_by_part = None

    def _is_wanted(self, blame, now):
        refused_at = self._refused_at.get(blame.part, blame.last_at)
        is_recent = now - max(blame.last_at, refused_at) < BLAME_SECONDS
        return is_recent and now - blame.last_at < BLAME_MAX_SECONDS
