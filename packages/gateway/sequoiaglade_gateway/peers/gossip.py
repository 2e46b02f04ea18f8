"""Gossip rounds: each node exchanges node states with a few peers."""

import concurrent.futures
import math
import random

import structlog

from sequoiaglade_decisions.gateway import (
    ConfigurationSources,
    PeerAcks,
    choose_targets,
)
from sequoiaglade_node.threads import OwnedThread
from sequoiaglade_protocol import fleet_pb2

from ..clocks import boot_seconds
from ..messages import (
    LiveNodeFraction,
    LiveNodes,
    PeerStatesReceived,
    PossibleHolders,
    Publish,
)
from .state_messages import StateMessages

# A request takes most of a second, so that states of this age still have most of the
# requests in flight.
ROUND_SECONDS = 0.2
# While endpoints are full, each free slot matters, so that ends of requests have to be
# known as soon as their starts.
BUSY_ROUND_SECONDS = 0.08
# In a large fleet each message relays the states of many nodes, about 200 bytes each,
# and control traffic is limited to a few kilobytes a second.
LARGE_ROUND_SECONDS = 1.0
LARGE_FANOUT = 2
# A longer interval between two rounds indicates that the process was suspended; its
# states of peers are equally outdated then.
SUSPENSION_SECONDS = LARGE_ROUND_SECONDS + 1.0
# Peers contacted in a round. Each node is contacted by as many on average, so that in
# a fleet as large as a site's, each node learns of all others within a round.
FANOUT = 4
# Probability that a round also contacts a seed that is not a live peer.
SEED_PROBABILITY = 0.2
# Interval at which a node that starts asks peers for the evacuations. The answer has
# the whole configuration, and an older peer does not know them.
EVACUATIONS_RETRY_SECONDS = 1.0
# A peer that takes longer is contacted again in a later round.
CALL_SECONDS = 0.4
# The same as `SUSPENSION_SECONDS` in a large fleet, whose rounds also wait for peers in
# place of those that did not answer.
SUSPENSION_SECONDS_LARGE = SUSPENSION_SECONDS + CALL_SECONDS
MS_PER_SECOND = 1000


class Gossip(OwnedThread):
    """One thread that runs the gossip rounds; a context manager.

    `on_peer_lost` is called when a peer is no longer live, in a small fleet only.
    `clock` also advances while the machine is suspended. Calls to peers run in `pool`,
    an executor that the gossip then owns.
    """

    def __init__(
        self,
        parts,
        client,
        job_registry,
        runner,
        on_peer_lost,
        clock=boot_seconds,
        pool=None,
    ):
        super().__init__("gossip")
        self._parts = parts
        self._client = client
        self._job_registry = job_registry
        self._runner = runner
        self._on_peer_lost = on_peer_lost
        self._clock = clock
        self._live_ids = frozenset()
        self._is_busy = False
        self._is_large = False
        self._peer_acks = PeerAcks()
        self._asked_at_by_id = {}
        self._messages = StateMessages()
        self._configuration_sources = ConfigurationSources()
        self._evacuations_due_at = 0.0
        self._round_at = self._resumed_at = self._clock()
        self._failing_since_by_address = {}
        self._is_exclusive = True
        self._log = structlog.get_logger()
        self._pool = pool or concurrent.futures.ThreadPoolExecutor(FANOUT, "gossip")

    def __exit__(self, *exc_info):
        super().__exit__(*exc_info)
        self._pool.shutdown(wait=False)

    def make_digest(self, request=None):
        """Return a message with this node's next state and those to relay.

        `request` is the digest of a peer that the message answers.
        """
        sender = request.nodes[0] if request is not None and request.nodes else None
        recipient = (sender.node_id, sender.incarnation) if sender else ("", 0)
        publish = Publish(
            self._job_registry.backlog(),
            self._runner.running_count,
            self._job_registry.summaries(),
            self._parts.store_cache.is_store_reachable,
            recipient,
        )
        published = self._parts.coordinator.ask(publish)
        self._is_busy = published.is_busy
        self._is_large = published.is_fleet_large
        states = [published.own, *published.others]
        digest = fleet_pb2.FleetDigest(nodes=self._messages.encode(states))
        if published.age_by_id:
            age_of = published.age_by_id.get
            ages = [age_of(s.node_id, 0.0) * MS_PER_SECOND for s in states]
            # Rounded up, so that peers do not take a state for younger than it is.
            digest.ages_ms.extend(map(math.ceil, ages))
        return digest

    def receive_digest(self, digest):
        """Merge a peer's digest, and release jobs that another node holds as well."""
        received = PeerStatesReceived(*self._messages.decode_new(digest))
        new_states = self._parts.coordinator.ask(received)
        for state in new_states:
            self._job_registry.note_peer_jobs(state.jobs)
            self._release_duplicate_jobs(state)

    def live_node_fraction(self):
        """Return the fraction of the known nodes that are live, this one included."""
        return self._parts.coordinator.ask(LiveNodeFraction())

    def contact_since(self):
        """Return since when no peer can have adopted a job of this node.

        None if a peer can. Times are those of `clock`.
        """
        peers = self._parts.coordinator.ask(PossibleHolders())
        if not peers.known_ids and self._other_seeds():
            return None
        if not self._is_large:
            return self._peer_acks.contact_since(peers.known_ids, self._clock())
        now = self._clock()
        self._peer_acks.note_heard_share(peers.heard_share, now)
        if peers.lost_seconds_by_id:
            return None
        return self._peer_acks.any_contact_since(now)

    def run_round(self, count=FANOUT):
        """Exchange digests with up to `count` peers, and perhaps with a seed.

        Return the number of live peers that did not answer.
        """
        live = self._parts.coordinator.ask(LiveNodes())
        addresses = [state.peer_address for state in live]
        seeds = self._other_seeds()
        chosen = self._choose_targets(live, count)
        targets = [state.peer_address for state in chosen]
        # Seeds that are not live peers are retried, to find those that restarted or are
        # partitioned from the rest.
        missing = [seed for seed in seeds if seed not in addresses]
        if missing and (len(targets) < count or random.random() < SEED_PROBABILITY):
            targets.append(random.choice(missing))
        digest = self.make_digest()
        sent_at = self._clock()
        self._asked_at_by_id.update(dict.fromkeys([s.node_id for s in chosen], sent_at))
        failed_count = 0
        send = lambda a: self._client.gossip(a, digest, CALL_SECONDS)  # noqa: E731
        for address, reply in zip(targets, self._pool.map(send, targets)):
            self._log_reachability(address, reply is not None)
            failed_count += reply is None and address in addresses
            if reply is not None:
                # A digest begins with its sender's own state.
                self._peer_acks.note_ack(reply.nodes[0].node_id, sent_at, self._clock())
                self.receive_digest(reply)
        for address in set(self._failing_since_by_address) - {*addresses, *seeds}:
            del self._failing_since_by_address[address]
        if not self._is_large:
            self._client.close_unused([*addresses, *seeds])
        return failed_count

    def _choose_targets(self, live, count):
        if self._is_large:
            # Not by the last answer: with some peers lost, the others would be left out
            # of all rounds until the lost ones no longer count as live.
            asked_at = lambda i: self._asked_at_by_id.get(i, 0.0)  # noqa: E731
            domain = self._parts.settings.failure_domain
            return choose_targets(live, domain, count, asked_at, random)
        acknowledged_at = self._peer_acks.acknowledged_at
        random.shuffle(live)
        live.sort(key=lambda state: acknowledged_at(state.node_id))
        return live[:count]

    def _other_seeds(self):
        own = self._parts.settings.listen.peer
        return [seed for seed in self._parts.settings.seeds if seed != own]

    def _run(self):
        while not self._stopped.wait(self._pause()):
            self.run_due_round()

    def run_due_round(self):
        """Run a regular round and follow the changes that it brings."""
        self._detect_suspension()
        failed_count = self.run_round(LARGE_FANOUT if self._is_large else FANOUT)
        if failed_count and self._is_large:
            # Otherwise too few states are relayed in time.
            self.run_round(min(failed_count, LARGE_FANOUT))
        self._check_peers()

    def seconds_since_resume(self):
        """Return the seconds since the process last started or resumed."""
        return self._clock() - self._resumed_at

    def _detect_suspension(self):
        now = self._clock()
        interval = now - self._round_at
        self._round_at = now
        if interval > (
            SUSPENSION_SECONDS_LARGE if self._is_large else SUSPENSION_SECONDS
        ):
            self._resumed_at = now
            self._log.info("process was suspended", seconds=round(interval, 3))

    def _pause(self):
        seconds = BUSY_ROUND_SECONDS if self._is_busy else ROUND_SECONDS
        if self._is_large:
            seconds = LARGE_ROUND_SECONDS
        return seconds * (0.8 + 0.4 * random.random())

    def _check_peers(self):
        live = self._parts.coordinator.ask(LiveNodes())
        ids = frozenset(state.node_id for state in live)
        if ids != self._live_ids:
            lost = sorted(self._live_ids - ids)
            self._log.info("peers changed", lost=lost, met=sorted(ids - self._live_ids))
            self._live_ids = ids
            self._asked_at_by_id = {
                i: at for i, at in self._asked_at_by_id.items() if i in ids
            }
            # In a large fleet the node with the lowest id looks for the jobs of lost
            # nodes from time to time.
            if lost and not self._is_large:
                self._on_peer_lost()
            self._messages.keep_only({*ids, self._parts.settings.node_id})
        self._log_exclusivity()
        self._learn_configuration(live)

    def _learn_configuration(self, live):
        """Ask a peer with a newer configuration for it, if there is one.

        A node that starts while the store is away also asks for the evacuations.
        """
        cache = self._parts.store_cache
        version = cache.version
        is_due = self._clock() >= self._evacuations_due_at
        if version and cache.lacks_evacuations and is_due:
            self._evacuations_due_at = self._clock() + EVACUATIONS_RETRY_SECONDS
            version -= 1
        unreachable_ids = {
            state.node_id
            for state in live
            if state.peer_address in self._failing_since_by_address
        }
        source = self._configuration_sources.choose(
            live, version, unreachable_ids, self._clock()
        )
        if source is None:
            return
        exported = self._client.fetch_store_cache(source.peer_address)
        if exported is not None:
            configuration, endpoints, evacuations = exported
            cache.import_from_peer(
                configuration, endpoints, source.node_id, evacuations
            )
        if cache.version < source.configuration_version or cache.lacks_evacuations:
            self._configuration_sources.note_failure(source.node_id, self._clock())

    def _log_reachability(self, address, is_reachable):
        """Log when calls to a peer begin to fail, and when one succeeds again."""
        failing_since = self._failing_since_by_address.get(address)
        self._parts.metrics.count("gossip", "answered" if is_reachable else "failed")
        if is_reachable and failing_since is not None:
            del self._failing_since_by_address[address]
            seconds = round(self._clock() - failing_since, 3)
            self._log.info("peer reachable again", peer=address, after_seconds=seconds)
        elif not is_reachable and failing_since is None:
            self._failing_since_by_address[address] = self._clock()
            self._log.info("peer unreachable", peer=address)

    def _log_exclusivity(self):
        """Log when a peer may have adopted the held jobs, and when none can have."""
        is_exclusive = self.contact_since() is not None
        if is_exclusive != self._is_exclusive:
            self._is_exclusive = is_exclusive
            peers = self._parts.coordinator.ask(PossibleHolders())
            self._peer_acks.forget_except(peers.known_ids)
            self._log.info(
                "held jobs exclusive" if is_exclusive else "held jobs may be adopted",
                known_peers=len(peers.known_ids),
                lost=sorted(peers.lost_seconds_by_id),
                jobs=len(self._job_registry.jobs()),
            )

    def _release_duplicate_jobs(self, state):
        """Release the jobs that a peer with a lower id holds as well."""
        peer_has_priority = state.node_id < self._parts.settings.node_id
        for summary in state.jobs:
            job = self._job_registry.get(summary.job_key)
            if job is None:
                continue
            job.validity.note_uncertain(self._clock())
            both_run = summary.is_open and job.batch.is_open
            if both_run and peer_has_priority and not state.is_leaving:
                self._job_registry.release(summary.job_key)
                self._runner.stop_job(summary.job_key)
                self._log.info(
                    "job released to peer", job=summary.job_key, peer=state.node_id
                )
