"""A property of reads of jobs under any interleaving of troubles."""

from behave import then
from holder_simulation import HolderSimulation
from hypothesis import Phase, seed, settings
from hypothesis import given as forall
from hypothesis import strategies as st

NAMES = ("a", "b", "c")
ITEM_COUNT = 6
JOB_ID, KEY = "job", ".job"
# A result has to be in every answer that is asked for this long after it was read.
SETTLE_SECONDS = 1.0
EXAMPLES = 250


class _Play:
    """Plays steps, and compares each read with the earlier ones."""

    def __init__(self, simulation):
        self._simulation = simulation
        self._reads = []

    def start(self, holder):
        """Let a gateway hold a job with one listed result."""
        self._first_holder = holder
        self._simulation.run(0.6)
        self._simulation.gateway_by_name[holder].submit(JOB_ID)
        self._list_results(holder, 1)
        self._simulation.run(0.4)

    def step(self, step):
        """Play one step."""
        simulation = self._simulation
        simulation.note(*step)
        if step[1] is None:
            step = step[0], self._first_holder
        match step:
            case "run", seconds:
                simulation.run(seconds)
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
        self._note_read("store", simulation.stored_results(KEY))

    def finish(self):
        """End all troubles and read at each gateway."""
        for name in NAMES:
            self._end_trouble(name)
        self._simulation.run(2.0)
        for name in NAMES:
            self._read(name)

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
                raise AssertionError(
                    f"{name} returned {results} after {earlier}\n"
                    + self._simulation.trace_text()
                )
        self._reads.append((now, results))


def _steps():
    name = st.sampled_from(NAMES)
    number = st.integers(0, 1)
    trouble = st.sampled_from(("cut", "suspend", "freeze", "cut store", "restart"))
    seconds = st.sampled_from((0.2, 0.6, 1.2, 3.0, 3.0, 9.0, 21.0))
    return st.one_of(
        st.tuples(st.just("run"), seconds),
        st.tuples(st.just("run"), st.just(3.0)),
        st.tuples(st.just("pass time"), st.sampled_from((0.3, 0.9, 1.3, 4.0))),
        st.tuples(trouble, name),
        st.tuples(st.sampled_from(("cut", "suspend", "freeze")), st.none()),
        st.tuples(st.just("cut calls"), name, name),
        st.tuples(st.just("end"), name),
        st.tuples(st.just("end"), st.none()),
        st.tuples(st.sampled_from(("round", "round without replies")), name),
        st.tuples(st.just("list"), number, st.integers(1, 2)),
        st.tuples(st.just("list late"), number, st.sampled_from((0.4, 2.0, 5.8))),
        st.tuples(st.just("read"), name),
    )


@then("for any troubles of 3 gateways no read has fewer results than an earlier one")
def check_reads_never_shrink(context):
    @seed(1)
    @settings(
        max_examples=EXAMPLES, deadline=None, database=None, phases=[Phase.generate]
    )
    @forall(st.sampled_from(NAMES), st.lists(_steps(), min_size=4, max_size=16))
    def check(holder, steps):
        with HolderSimulation(NAMES, ITEM_COUNT) as simulation:
            play = _Play(simulation)
            play.start(holder)
            for step in steps:
                play.step(step)
            play.finish()

    check()
