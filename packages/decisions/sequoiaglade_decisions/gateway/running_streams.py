"""Which peers are to be told of the streams that run on a node.

Load pattern: a release begins, or a gateway starts, while streams run. The gateway of
these may be killed right after, and their callers take them up at the others.
"""

# Callers take a broken stream up within this time.
TAKE_UP_SECONDS = 5.0


class _Run:
    def __init__(self, stream_id, service, version):
        self.stream_id = stream_id
        self.service = service
        self.version = version
        self.told_peers = set()
        self.kept_until = None


class RunningStreams:
    """Runs of streams on a node, by run id, and which starts of peers know of each.

    A run goes on with a stream that an earlier request began, or begins its own one. A
    peer is a hashable value that differs for each of its starts.

    >>> runs = RunningStreams()
    >>> runs.note("r-1", "r-1", "s", "v1")
    >>> runs.streams_by_service(now=0.0)
    {'s': {'r-1': 'r-1'}}
    >>> runs.take_untold("r-1", ["a", "b"]), runs.take_untold("r-1", ["a", "c"])
    (['a', 'b'], ['c'])

    A peer that could not be told is told again, as is one of a new version.

    >>> runs.forget_told("r-1", "v1", "a")
    >>> runs.take_untold("r-1", ["a", "b"])
    ['a']
    >>> runs.note("r-1", "r-1", "s", "v2")
    >>> runs.take_untold("r-1", ["a", "b"])
    ['a', 'b']

    Broken streams are kept until their callers have taken them up.

    >>> runs.end("r-1", is_complete=False, now=1.0)
    >>> runs.streams_by_service(now=5.0), runs.streams_by_service(now=7.0)
    ({'s': {'r-1': 'r-1'}}, {})
    """

    def __init__(self):
        self._run_by_id = {}

    def get(self, run_id):
        """Return the stream id and the version of a run, None if it is not kept."""
        run = self._run_by_id.get(run_id)
        return run and (run.stream_id, run.version)

    def note(self, run_id, stream_id, service, version):
        """Record that a run is sent to an endpoint of a version."""
        run = self._run_by_id.get(run_id)
        if run is None or run.version != version:
            self._run_by_id[run_id] = _Run(stream_id, service, version)

    def end(self, run_id, is_complete, now):
        """Record that a run has ended; a stream that broke may be taken up."""
        run = self._run_by_id.get(run_id)
        if run is not None and not is_complete:
            run.kept_until = now + TAKE_UP_SECONDS
        elif run is not None:
            del self._run_by_id[run_id]

    def streams_by_service(self, now):
        """Return by service the stream id of each run, without those that are over."""
        over = [
            run_id
            for run_id, run in self._run_by_id.items()
            if run.kept_until is not None and run.kept_until < now
        ]
        for run_id in over:
            del self._run_by_id[run_id]
        found = {}
        for run_id, run in self._run_by_id.items():
            found.setdefault(run.service, {})[run_id] = run.stream_id
        return found

    def take_untold(self, run_id, peers):
        """Return those of some peers that are to be told, and count them as told."""
        run = self._run_by_id.get(run_id)
        if run is None:
            return []
        untold = [peer for peer in peers if peer not in run.told_peers]
        run.told_peers.update(untold)
        return untold

    def forget_told(self, run_id, version, peer):
        """Record that a peer could not be told of a run at a version."""
        run = self._run_by_id.get(run_id)
        if run is not None and run.version == version:
            run.told_peers.discard(peer)
