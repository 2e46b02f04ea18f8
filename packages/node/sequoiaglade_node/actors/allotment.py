"""Keeps the record of this node's slots in the platform up to date."""

import random

from sequoiaglade_decisions.limits import Allotment
from sequoiaglade_decisions.outcomes import Failure, FailureCode

from ..threads import OwnedThread
from .limits import boot_seconds

ALLOTMENT_KIND = "limits"
ALLOTMENT_NAME = "allotment"
NON_HOLDER_READS_PER_SECOND = 4.0
MIN_PAUSE_SECONDS = 2.0
CONFLICT_PAUSE_SECONDS = 0.2
MAX_INITIAL_ATTEMPTS = 20


class AllotmentKeeper(OwnedThread):
    """Thread that reads the allotment and writes this node's changes.

    A context manager. The few holders read it often. The interval of the other nodes
    grows with their number, so that the rate of all their reads is constant.
    `node_count` returns the number of nodes. Requests cause no platform calls here.
    """

    def __init__(self, platform, actor, node_count):
        super().__init__("allotment")
        self._platform = platform
        self._actor = actor
        self._node_count = node_count

    def refresh(self):
        """Read the allotment, write the planned change; return False on a failure."""
        started_at = boot_seconds()
        found = self._read()
        if isinstance(found, Failure):
            return False
        allotment, version = found
        planned = self._actor.plan_allotment(allotment, version, self._listed()).get()
        if planned is None:
            return True
        written = self._write(planned, version)
        if isinstance(written, Failure):
            return False
        self._actor.allotment_written(planned, written.version, started_at).get()
        return True

    def _run(self):
        for _ in range(MAX_INITIAL_ATTEMPTS):
            if self.refresh() or self._stopped.wait(_jittered(CONFLICT_PAUSE_SECONDS)):
                break
        while not self._stopped.wait(self._pause()):
            self.refresh()

    def _pause(self):
        if not self._actor.is_non_holder().get():
            return _jittered(MIN_PAUSE_SECONDS)
        pace = self._node_count() / NON_HOLDER_READS_PER_SECOND
        return _jittered(max(MIN_PAUSE_SECONDS, pace))

    def _read(self):
        stored = self._platform.get(ALLOTMENT_KIND, ALLOTMENT_NAME)
        match stored:
            case Failure(code=FailureCode.NOT_FOUND):
                return Allotment({}), 0
            case Failure():
                return stored
        return Allotment.decode(stored.value), stored.version

    def _listed(self):
        instances = self._platform.instances()
        if isinstance(instances, Failure):
            return None
        return frozenset(instance.instance_id for instance in instances)

    def _write(self, allotment, version):
        data = allotment.encode()
        if version == 0:
            return self._platform.create(ALLOTMENT_KIND, ALLOTMENT_NAME, data)
        return self._platform.update(ALLOTMENT_KIND, ALLOTMENT_NAME, data, version)


def _jittered(seconds):
    return seconds * random.uniform(0.75, 1.25)
