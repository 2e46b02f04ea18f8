"""Gossip rounds: which peers are asked and how their answers are processed."""

import time

from sequoiaglade_decisions.configuration import OUTAGE_SAMPLE, PeerReport
from sequoiaglade_decisions.membership import FANOUT, REMOVE_AFTER_SECONDS, is_remover

from .codec import decode_marks, decode_states, encode_digest
from .contents import SOURCES_LIMIT, PeerSource
from .gossip import ROUND_SECONDS

FAILING_ROUND_SECONDS = 0.5
FIRST_PEER_SECONDS = 3.0
FIRST_PEER_RETRY_SECONDS = 0.1


class GossipRounds:
    """Runs gossip rounds for a node with the started `parts`."""

    def __init__(self, parts, gossip_client):
        self._parts = parts
        self._gossip_client = gossip_client
        self._asks_more_peers = False
        self._paying_batch_targets = set()
        self.wake = lambda: None

    def own_digest(self):
        """Return the message with this node's own state."""
        parts = self._parts
        in_flight = parts.dispatch.in_flight_by_endpoint().get()
        report = parts.configuration.report().get()
        waiting = parts.dispatch.paying_batch_targets().get()
        state, marks = parts.membership.publish(report, in_flight, waiting).get()
        return encode_digest(state, marks)

    def handle_digest(self, digest):
        """Process a digest that a peer sent with its request.

        The message may have been delayed, so that its ages are not used as evidence.
        Paying batch that waits at a peer counts at once, all else in the next round.
        """
        states = decode_states(digest)
        self._parts.membership.observe_states(states, decode_marks(digest))
        if not _paying_batch_targets(states) <= self._paying_batch_targets:
            self._notify_listeners()
        newest = max((state.revision for state in states), default=0)
        if self._parts.configuration.learn(newest).get():
            self._ask_more_peers()

    def run(self):
        """Run one round; return the seconds until the next."""
        parts = self._parts
        is_failing = parts.configuration.is_failing().get()
        count = OUTAGE_SAMPLE if is_failing or self._asks_more_peers else FANOUT
        self._asks_more_peers = False
        self.exchange(count, include_dead=is_failing)
        live = self._notify_listeners()
        if not is_failing:
            self._remove_dead(live)
        return FAILING_ROUND_SECONDS if is_failing else ROUND_SECONDS

    def exchange(self, count, include_dead=False):
        """Exchange digests with up to `count` peers, or seeds if no peer is known.

        Return whether a peer answered or there was none to ask.
        """
        parts = self._parts
        address_by_peer = parts.directory.peer_addresses()
        targets = parts.membership.choose_peers(count, include_dead).get()
        asked = {p: address_by_peer[p] for p in targets if p in address_by_peer}
        if not asked:
            asked = dict(list(address_by_peer.items())[:count])
        done = self._gossip_client.exchange(asked)
        self._gossip_client.retain_channels(address_by_peer.values())
        self._record_round(done)
        return not asked or bool(done.digest_by_peer)

    def wait_for_first_peer(self):
        """Exchange digests until a peer answers, at most `FIRST_PEER_SECONDS`.

        This happens before the node serves, because peers may have a higher revision
        than reads of the platform return, and fill the endpoints.
        """
        deadline = time.monotonic() + FIRST_PEER_SECONDS
        while not self.exchange(OUTAGE_SAMPLE, include_dead=True):
            if time.monotonic() > deadline:
                return
            time.sleep(FIRST_PEER_RETRY_SECONDS)
        self._notify_listeners()

    def announce(self):
        """Send this node's newer revision to some peers now."""
        self.exchange(OUTAGE_SAMPLE)

    def sources(self):
        """Return a few peers as sources of the newest known revision."""
        parts = self._parts
        address_by_peer = parts.directory.peer_addresses()
        number = parts.holder.current.revision + 1
        holders = parts.membership.peers_with_revision(number).get()
        known = [address_by_peer[p] for p in holders[::-1] if p in address_by_peer]
        addresses = known or list(address_by_peer.values())
        channels = map(self._gossip_client.channel, addresses[:SOURCES_LIMIT])
        return [PeerSource(channel) for channel in channels]

    def _notify_listeners(self):
        live = self._parts.membership.live().get()
        self._paying_batch_targets = _paying_batch_targets(live)
        for listener in self._parts.gossip_listeners:
            listener(live)
        return live

    def _record_round(self, done):
        parts = self._parts
        reports = {}
        for peer, digest in done.digest_by_peer.items():
            states = decode_states(digest)
            parts.membership.observe_states(states, decode_marks(digest))
            for state in states:
                reports[peer] = PeerReport(
                    state.revision, state.confirmed_age, state.failed_age
                )
        parts.membership.note_no_answer(done.silent_peers, done.asked_at)
        parts.configuration.peers_answered(
            reports, done.silent_peers, done.asked_at
        ).get()

    def _ask_more_peers(self):
        self._asks_more_peers = True
        self.wake()

    def _remove_dead(self, live):
        parts = self._parts
        live_ids = [state.node_id for state in live]
        for node_id in parts.membership.dead_since(REMOVE_AFTER_SECONDS).get():
            if is_remover(parts.settings.node_id, node_id, live_ids):
                parts.directory.remove(node_id)


def _paying_batch_targets(states):
    return {target for state in states for target in state.paying_batch_targets}
