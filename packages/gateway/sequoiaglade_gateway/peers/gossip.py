"""Rounds of gossip: each node tells a few peers of itself and of others."""

import concurrent.futures
import random
import time

import structlog

from sequoiaglade_decisions.gateway import PeerAcks
from sequoiaglade_node.threads import OwnedThread
from sequoiaglade_protocol import fleet_pb2

from ..messages import Heard, HeardShare, KnownNodes, LiveNodes, Publish
from .codec import decode_state, encode_state

# A request takes the better part of a second, so that news of this age still tells
# most of what runs.
ROUND_SECONDS = 0.2
# While endpoints are full, each place counts: news of ends is as welcome as of starts.
BUSY_ROUND_SECONDS = 0.08
# In a large fleet each round passes on what many nodes told: a message holds some 200
# bytes a node, and a few kilobytes a second are to be spent on control.
LARGE_ROUND_SECONDS = 1.0
LARGE_FANOUT = 2
# A round that comes this late, in seconds, shows that the process was frozen; what it
# knows of its peers is as old then.
HELD_UP_SECONDS = LARGE_ROUND_SECONDS + 1.0
# Peers asked in a round; each is told by as many, so that a fleet of the sites' size
# hears of all within a round.
FANOUT = 4
# Share of the rounds in which a seed that is not heard is tried beside live peers.
SEED_SHARE = 0.2
# A peer that takes longer is asked again in a later round, in seconds.
CALL_SECONDS = 0.4


class Gossip(OwnedThread):
    """One thread that runs the rounds; a context manager."""

    def __init__(self, parts, client, board, runner, on_loss):
        super().__init__("gossip")
        self._parts = parts
        self._client = client
        self._board = board
        self._runner = runner
        self._on_loss = on_loss
        self._live_ids = frozenset()
        self._is_busy = False
        self._is_large = False
        self._contacts = PeerAcks()
        self._round_at = self._woke_at = _now()
        self._log = structlog.get_logger()
        self._pool = concurrent.futures.ThreadPoolExecutor(FANOUT, "gossip")

    def __exit__(self, *exc_info):
        super().__exit__(*exc_info)
        self._pool.shutdown(wait=False)

    def digest(self):
        """Return the message that tells of this node and of others."""
        publish = Publish(
            self._board.backlog(),
            self._runner.running_count,
            self._board.summaries(),
            self._parts.store_cache.is_store_reachable,
        )
        published = self._parts.coordinator.ask(publish)
        self._is_busy = published.is_busy
        self._is_large = published.is_fleet_large
        states = [published.own, *published.others]
        return fleet_pb2.FleetDigest(nodes=map(encode_state, states))

    def hear(self, digest):
        """Take a peer's digest."""
        states = [decode_state(message) for message in digest.nodes]
        news = self._parts.coordinator.ask(Heard(states))
        for state in news:
            self._release_doubles(state)

    def live_node_fraction(self):
        """Return the part of the known nodes that are heard, this one included."""
        return self._parts.coordinator.ask(HeardShare())

    def is_exclusive(self):
        """Return whether no peer can have taken over what this node holds."""
        known = self._parts.coordinator.ask(KnownNodes())
        if self._is_large:
            return self._contacts.is_acknowledged_by_any(known, _now())
        return self._contacts.is_acknowledged_by_all(known, _now())

    def run_round(self, count=FANOUT):
        """Tell a few peers, and take what they tell."""
        live = self._parts.coordinator.ask(LiveNodes())
        addresses = [state.peer_address for state in live]
        own = self._parts.settings.listen.peer
        seeds = [a for a in self._parts.settings.seeds if a != own]
        random.shuffle(live)
        live.sort(key=lambda state: self._contacts.acknowledged_at(state.node_id))
        targets = [state.peer_address for state in live[:count]]
        # Seeds that are not heard are tried on: they may be back, or cut off alone.
        missing = [seed for seed in seeds if seed not in addresses]
        if missing and (len(targets) < count or random.random() < SEED_SHARE):
            targets.append(random.choice(missing))
        digest = self.digest()
        sent_at = _now()
        tell = lambda a: self._client.gossip(a, digest, CALL_SECONDS)  # noqa: E731
        for reply in self._pool.map(tell, targets):
            if reply is not None:
                # A digest begins with its sender's own state.
                self._contacts.note_ack(reply.nodes[0].node_id, sent_at)
                self.hear(reply)
        if not self._is_large:
            self._client.keep([*addresses, *seeds])

    def _run(self):
        while not self._stopped.wait(self._pause()):
            self._note_round()
            self.run_round(LARGE_FANOUT if self._is_large else FANOUT)
            self._look()

    def seconds_since_resume(self):
        """Return the seconds since this node was last held up."""
        return _now() - self._woke_at

    def _note_round(self):
        now = _now()
        held_up = now - self._round_at
        self._round_at = now
        if held_up > HELD_UP_SECONDS:
            self._woke_at = now
            self._log.info("node was held up", seconds=round(held_up, 3))

    def _pause(self):
        seconds = BUSY_ROUND_SECONDS if self._is_busy else ROUND_SECONDS
        if self._is_large:
            seconds = LARGE_ROUND_SECONDS
        return seconds * (0.8 + 0.4 * random.random())

    def _look(self):
        live = self._parts.coordinator.ask(LiveNodes())
        ids = frozenset(state.node_id for state in live)
        if ids != self._live_ids:
            lost = sorted(self._live_ids - ids)
            self._log.info("peers changed", lost=lost, met=sorted(ids - self._live_ids))
            self._live_ids = ids
            # In a large fleet the node with the lowest id looks after a while.
            if lost and not self._is_large:
                self._on_loss()
        newest = max(live, key=lambda s: s.configuration_version, default=None)
        knowledge = self._parts.store_cache
        if newest and newest.configuration_version > knowledge.version:
            shared = self._client.store_cache(newest.peer_address)
            if shared is not None:
                knowledge.take_shared(*shared, source=newest.node_id)

    def _release_doubles(self, state):
        """Leave a job to a peer with a lower id that holds it as well."""
        goes_first = state.node_id < self._parts.settings.node_id
        for note in state.jobs:
            job = self._board.get(note.job_key)
            if job is None:
                continue
            job.confirm_reads()
            both_run = note.is_open and job.batch.is_open
            if both_run and goes_first and not state.is_leaving:
                self._board.release(note.job_key)
                self._runner.stop_job(note.job_key)
                self._log.info("job left to peer", job=note.job_key, peer=state.node_id)


def _now():
    """Return the seconds of a clock that runs on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
