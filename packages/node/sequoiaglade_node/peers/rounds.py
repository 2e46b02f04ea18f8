"""What a round of gossip asks, and what the node makes of the answers."""

import time

from sequoiaglade_decisions.configuration import OUTAGE_SAMPLE, PeerReport
from sequoiaglade_decisions.membership import FANOUT, REMOVE_AFTER_SECONDS, is_remover

from .codec import decode_marks, decode_states, encode_digest
from .contents import SOURCES_LIMIT, PeerSource
from .gossip import ROUND_SECONDS

FAILING_ROUND_SECONDS = 0.5
MEET_SECONDS = 3.0
MEET_PAUSE_SECONDS = 0.1


class Rounds:
    """Runs rounds of gossip for a node of which `parts` are the started parts."""

    def __init__(self, parts, gossiper):
        self._parts = parts
        self._gossiper = gossiper
        self._wide = False
        self.wake = lambda: None

    def own_digest(self):
        """Return the message that tells a peer of this node."""
        parts = self._parts
        in_flight = parts.dispatch.in_flight_by_endpoint().get()
        report = parts.configuration.report().get()
        waiting = parts.dispatch.paying_batch_targets().get()
        state, marks = parts.membership.publish(report, in_flight, waiting).get()
        return encode_digest(state, marks)

    def hear(self, digest):
        """Take a digest that a peer sent with its question.

        It may have waited long, so that its ages are no evidence.
        """
        states = decode_states(digest)
        self._parts.membership.hear(states, decode_marks(digest))
        newest = max((state.revision for state in states), default=0)
        if self._parts.configuration.learn(newest).get():
            self._widen()

    def run(self):
        """Run one round; return the seconds to the next."""
        parts = self._parts
        is_failing = parts.configuration.is_failing().get()
        count = OUTAGE_SAMPLE if is_failing or self._wide else FANOUT
        self._wide = False
        self.exchange(count, everybody=is_failing)
        live = parts.membership.live().get()
        for listener in parts.gossip_listeners:
            listener(live)
        if not is_failing:
            self._remove_dead(live)
        return FAILING_ROUND_SECONDS if is_failing else ROUND_SECONDS

    def exchange(self, count, everybody=False):
        """Ask up to `count` peers, or seeds while no peer is known.

        Returns whether any answered, or none had to be asked.
        """
        parts = self._parts
        address_by_peer = parts.directory.peer_addresses()
        targets = parts.membership.targets(count, everybody).get()
        asked = {p: address_by_peer[p] for p in targets if p in address_by_peer}
        if not asked:
            asked = dict(list(address_by_peer.items())[:count])
        done = self._gossiper.exchange(asked)
        self._gossiper.keep_channels(address_by_peer.values())
        self._take(done)
        return not asked or bool(done.digest_by_peer)

    def meet(self):
        """Ask peers until one answers, or for a while, before this node serves.

        The peers may have a higher revision than the platform's reads give.
        """
        deadline = time.monotonic() + MEET_SECONDS
        while not self.exchange(OUTAGE_SAMPLE, everybody=True):
            if time.monotonic() > deadline:
                return
            time.sleep(MEET_PAUSE_SECONDS)

    def announce(self):
        """Tell some peers at once of this node's newer revision."""
        self.exchange(OUTAGE_SAMPLE)

    def sources(self):
        """Return a few peers as sources of the newest known revision."""
        parts = self._parts
        address_by_peer = parts.directory.peer_addresses()
        number = parts.holder.current.revision + 1
        holders = parts.membership.holders(number).get()
        known = [address_by_peer[p] for p in holders[::-1] if p in address_by_peer]
        addresses = known or list(address_by_peer.values())
        channels = map(self._gossiper.channel, addresses[:SOURCES_LIMIT])
        return [PeerSource(channel) for channel in channels]

    def _take(self, done):
        parts = self._parts
        reports = {}
        for peer, digest in done.digest_by_peer.items():
            states = decode_states(digest)
            parts.membership.hear(states, decode_marks(digest))
            for state in states:
                reports[peer] = PeerReport(
                    state.revision, state.confirmed_age, state.failed_age
                )
        parts.membership.silent(done.silent_peers, done.asked_at)
        parts.configuration.peers_answered(
            reports, done.silent_peers, done.asked_at
        ).get()

    def _widen(self):
        self._wide = True
        self.wake()

    def _remove_dead(self, live):
        parts = self._parts
        live_ids = [state.node_id for state in live]
        for node_id in parts.membership.dead_since(REMOVE_AFTER_SECONDS).get():
            if is_remover(parts.settings.node_id, node_id, live_ids):
                parts.directory.remove(node_id)
