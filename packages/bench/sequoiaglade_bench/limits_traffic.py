"""Traffic to a fake fleet: unevenly spread, within the limit or far above it."""

FAVOURED_FRACTION = 0.5
FAVOURED_NODE = "node-0"


class Traffic:
    """Requests of one workspace for `seconds`, half of them to one node.

    Arrivals are Poisson at `factor` times the rate. With `conforming`, requests that
    would exceed the limit are not sent.
    """

    def __init__(self, fleet, random, workspace, factor, seconds, conforming=False):
        self._fleet = fleet
        self._random = random
        self._workspace = workspace
        limit = fleet.limit_by_workspace[workspace]
        self._rate = limit.rate * factor
        self._burst = limit.burst
        self._level = float(limit.burst)
        self._updated_at = fleet.events.now
        self._ends_at = fleet.events.now + seconds
        self._conforming = conforming
        fleet.events.after(0.0, self._arrive)

    def _arrive(self):
        now = self._fleet.events.now
        if now > self._ends_at:
            return
        refill = (now - self._updated_at) * self._rate
        self._level = min(self._burst, self._level + refill)
        self._updated_at = now
        if not self._conforming or self._level >= 1:
            self._level -= 1
            self._fleet.request(self._choose_node(), self._workspace)
        self._fleet.events.after(self._random.expovariate(self._rate), self._arrive)

    def _choose_node(self):
        if self._random.random() < FAVOURED_FRACTION:
            return FAVOURED_NODE
        return self._random.choice(self._fleet.nodes).node_id
