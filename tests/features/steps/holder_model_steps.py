"""A property of reads of jobs under any interleaving of troubles."""

import copy
import random

from behave import then
from holder_simulation import HolderSimulation

NAMES = ("a", "b", "c")
ITEM_COUNT = 6
JOB_ID, KEY = "job", ".job"
# A result has to be in every answer that is asked for this long after it was read.
SETTLE_SECONDS = 1.0
ROUND_SECONDS = 0.4
EXAMPLES = 150


class OutdatedReadError(AssertionError):
    """Raised for a read with fewer or other results than an earlier one."""


class _Play:
    """Plays steps, and compares each read with the earlier ones."""

    def __init__(self, simulation):
        self._simulation = simulation
        self._first_holder = None
        self._reads = []

    def step(self, step):
        """Play one step."""
        simulation = self._simulation
        simulation.note(*step)
        if step[1] is None:
            step = step[0], self._first_holder or NAMES[0]
        match step:
            case "submit", name:
                self._submit(name)
            case "run", seconds:
                simulation.run(seconds, ROUND_SECONDS)
            case "pass time", seconds:
                simulation.pass_time(seconds)
            case "cut", name:
                simulation.cut(name)
            case "cut calls", name, other:
                simulation.cut_pairs.add((name, other))
            case "cut store", name:
                simulation.gateway_by_name[name].store.is_reachable = False
            case ("suspend" | "freeze") as kind, name:
                simulation.suspend(name, is_frozen=kind == "freeze")
            case "restart", name:
                simulation.add(name)
            case "end", name:
                self._end_trouble(name)
            case "round", name:
                self._run_round(name)
            case "round without replies", name:
                pairs = {(name, other) for other in NAMES}
                simulation.lost_replies |= pairs
                self._run_round(name)
                simulation.lost_replies -= pairs
            case "list", number, count:
                holders = simulation.holders(KEY)
                if holders:
                    self._list_results(holders[number % len(holders)].name, count)
            case "list late", number, seconds:
                holders = simulation.holders(KEY)
                if holders:
                    holder = holders[number % len(holders)]
                    holder.store.late_seconds.append(seconds)
                    self._list_results(holder.name, 1)
                    holder.store.late_seconds.clear()
            case "read", name:
                self._read(name)
        if self._first_holder is not None:
            self._probe()

    def finish(self):
        """End all troubles and read at each gateway."""
        for name in NAMES:
            self._end_trouble(name)
        self._simulation.run(2.0)
        for name in NAMES:
            self._read(name)

    def _submit(self, name):
        self._first_holder = name
        gateway = self._simulation.gateway_by_name[name]
        self._simulation.resume(name)
        gateway.store.is_reachable = True
        gateway.submit(JOB_ID)
        self._list_results(name, 1)
        self._simulation.run(ROUND_SECONDS)

    def _probe(self):
        """Read at each gateway without an effect on what the holders know."""
        self._note_read("store", self._simulation.stored_results(KEY))
        gateways = [
            gateway
            for gateway in self._simulation.gateway_by_name.values()
            if gateway.holds(KEY)
        ]
        jobs = [gateway.registry.release(KEY) for gateway in gateways]
        for gateway, job in zip(gateways, jobs):
            gateway.registry.add(copy.deepcopy(job))
        for name in NAMES:
            self._read(name)
        for gateway, job in zip(gateways, jobs):
            gateway.registry.release(KEY)
            gateway.registry.add(job)

    def _end_trouble(self, name):
        self._simulation.heal(name)
        self._simulation.resume(name)
        self._simulation.gateway_by_name[name].store.is_reachable = True

    def _run_round(self, name):
        gateway = self._simulation.gateway_by_name[name]
        if gateway.is_running:
            gateway.run_round()

    def _list_results(self, name, count):
        gateway = self._simulation.gateway_by_name[name]
        for _ in range(count):
            gateway.finish_item(KEY)
        gateway.write()

    def _read(self, name):
        gateway = self._simulation.gateway_by_name[name]
        results = gateway.read(JOB_ID) if gateway.is_running else None
        if results is not None:
            self._note_read(name, results)

    def _note_read(self, name, results):
        now = self._simulation.now
        for at, earlier in self._reads:
            count = min(len(earlier), len(results))
            is_settled = now - at > SETTLE_SECONDS
            if results[:count] != earlier[:count] or (
                is_settled and len(results) < len(earlier)
            ):
                raise OutdatedReadError(
                    f"{name} returned {results} after {earlier}\n"
                    + self._simulation.trace_text()
                )
        self._reads.append((now, results))


def _trouble(rng):
    name = rng.choice(NAMES)
    kind = rng.choice(("cut", "suspend", "freeze"))
    return rng.choice(
        (
            (kind, None),
            (kind, None),
            (kind, name),
            (rng.choice(("cut store", "restart")), name),
            ("cut calls", name, rng.choice(NAMES)),
        )
    )


def _pause(rng):
    if rng.random() < 0.25:
        return "pass time", rng.choice((0.3, 0.9, 1.3, 4.0))
    return "run", rng.choice((0.4, 1.2, 2.0, 3.2, 3.2, 3.2, 9.2, 21.2))


def _work(rng):
    number = rng.randrange(2)
    match rng.randrange(4):
        case 0 | 1:
            return "list", number, rng.randint(1, 2)
        case 2:
            return "list late", number, rng.choice((0.4, 2.0, 5.8))
        case 3:
            return "read", rng.choice(NAMES)


def _end(rng):
    name = rng.choice(NAMES)
    kind = rng.choice(("round", "round without replies"))
    return rng.choice((("end", None), ("end", None), ("end", name), (kind, name)))


def _draw_steps(rng):
    """Return steps, most often in the order that brings a job to another holder."""
    steps = []
    for _ in range(rng.randint(0, 2)):
        steps.append(rng.choice((_trouble, _pause))(rng))
    steps.append(("submit", rng.choice(NAMES)))
    for _ in range(rng.randint(1, 3)):
        for draw in (_trouble, _pause, _work, _end, _pause, _work):
            steps += [draw(rng) for _ in range(rng.choice((0, 1, 1, 1, 2)))]
    return steps


def _failure(steps):
    """Return the `OutdatedReadError` that steps lead to, or None."""
    with HolderSimulation(NAMES, ITEM_COUNT) as simulation:
        simulation.run(0.6)
        play = _Play(simulation)
        try:
            for step in steps:
                play.step(step)
            play.finish()
        except OutdatedReadError as error:
            return error
    return None


def _without_needless(steps):
    """Return the steps without those that the failure doesn't need."""
    for number in reversed(range(len(steps))):
        fewer = steps[:number] + steps[number + 1 :]
        if steps[number][0] != "submit" and _failure(fewer):
            steps = fewer
    return steps


@then("for any troubles of 3 gateways no read has fewer results than an earlier one")
def check_reads_never_shrink(context):
    for seed in range(EXAMPLES):
        steps = _draw_steps(random.Random(seed))
        if _failure(steps):
            failure = _failure(_without_needless(steps))
            raise AssertionError(f"seed {seed}: {failure}")
