"""Steps for the limit of waiting tokens, by simulation."""

import random
import statistics

from behave import given, then, when
from emulator.fleet import wait_until
from ended_job_steps import end, run_before
from holder_simulation import PATH, HolderSimulation
from holders_steps import names_in, print_trace
from sequoiaglade_gateway.batch.storage import JOBS_KIND

from sequoiaglade_decisions.gateway import Item

LIMIT = 1000
ITEM_TOKENS = 100
OVERSHOOT = 0.1
# A workspace of the emulator may have 100,000 waiting tokens.
JOB_TOKENS = 15_000
JOBS_MAX = 20
# Peers count as lost after 1.5 seconds.
LOSS_SECONDS = 2.0
STEP_SECONDS = 0.2
# Probabilities of a step of the random simulation.
KILL_PROBABILITY = 0.05
SILENCE_PROBABILITY = 0.05
RESTART_STEPS = 25
SILENCE_STEPS = 3
BURST_MAX = 5
RUNNING_ITEMS = 1


@given('gateways "{names}" with a limit of waiting tokens')
def given_limit(context, names, domain_by_name=None):
    simulation = HolderSimulation(
        names_in(names), waiting_tokens=LIMIT, domain_by_name=domain_by_name
    )
    context.simulation = context.stack.enter_context(simulation)
    context.stack.callback(print_trace, context)
    context.simulation.run(1.0)
    context.job_ids = []


def send_job(context, name, job_id, tokens=None):
    """Return the status of a job, which has one item if `tokens` are given."""
    simulation = context.simulation
    items = simulation.items
    if tokens is not None:
        simulation.items = (Item("i-0", PATH, (), b"body", tokens),)
    try:
        return simulation.gateway_by_name[name].send_job(job_id).status
    finally:
        simulation.items = items


def _new_id(context):
    context.job_ids.append(f"job-{len(context.job_ids)}")
    return context.job_ids[-1]


@when('"{name}" accepts {count:d} job')
@when('"{name}" accepts {count:d} jobs')
def accept(context, name, count):
    for _ in range(count):
        assert send_job(context, name, _new_id(context)) == 202
    context.simulation.run(1.0)


@when('"{name}" accepts {count:d} jobs before any gossip')
def accept_before_gossip(context, name, count):
    for _ in range(count):
        assert send_job(context, name, _new_id(context)) == 202


@given("{count:d} gateways with a limit of waiting tokens")
def given_large_fleet(context, count):
    given_limit(context, ", ".join(f"g{number:02}" for number in range(count)))


@when("each gateway gets {count:d} jobs of {tokens:d} tokens before any gossip")
def send_to_all(context, count, tokens):
    context.play = Play(context, 1, tokens)
    names = list(context.simulation.gateway_by_name)
    for name in names * count:
        context.play.submit_at(name)


@when('"{group}" are cut off from the other gateways for {seconds:d} seconds')
def cut_group_off(context, group, seconds):
    simulation = context.simulation
    others = set(simulation.gateway_by_name) - set(names_in(group))
    for name in names_in(group):
        simulation.cut(name, others)
    simulation.run(float(seconds))


@when(
    "each gateway gets {count:d} jobs of {tokens:d} tokens, in turn, within "
    "{seconds:d} seconds"
)
def send_in_turn(context, count, tokens, seconds):
    context.play = Play(context, 1, tokens)
    for _ in range(count):
        context.simulation.run(seconds / count, seconds / count)
        for name in context.simulation.gateway_by_name:
            context.play.submit_at(name)


@then("over {least:g} of the limit was used at the end")
def check_used_at_end(context, least):
    assert context.play.used[-1] > least * LIMIT, context.play.used[-1]


@when("the store is {how}")
@when("the store {how} again")
def set_store(context, how):
    for gateway in context.simulation.gateway_by_name.values():
        gateway.store.is_reachable = how == "answers"


@when('"{name}" is lost while the store is silent')
def lose(context, name):
    set_store(context, "silent")
    context.simulation.suspend(name, is_frozen=True)
    context.simulation.run(LOSS_SECONDS)
    set_store(context, "answers")


@when('"{name}" finishes the first job, and is lost before any gossip')
def finish_and_lose(context, name):
    simulation = context.simulation
    gateway = simulation.gateway_by_name[name]
    for _ in simulation.items:
        gateway.finish_item(f".{context.job_ids[0]}")
    gateway.write()
    gateway.write()
    simulation.suspend(name, is_frozen=True)
    simulation.run(LOSS_SECONDS)


@when('"{name}" is cut off until a peer has taken the job over, and is back')
def cut_off(context, name):
    simulation = context.simulation
    key = f".{context.job_ids[0]}"
    simulation.cut(name)
    simulation.run(LOSS_SECONDS)
    assert len(simulation.holders(key)) == 2
    simulation.heal(name, ["c"])
    for holder in simulation.holders(key):
        if holder.name != "c":
            simulation.gateway_by_name["c"].gossip.receive_digest(
                holder.gossip.make_digest()
            )


@when("all gateways are replaced by new ones")
def replace_all(context):
    for name in list(context.simulation.gateway_by_name):
        context.simulation.add(name)


@when('"{name}" is replaced by a new gateway that does not reach the store')
def replace_cut_off(context, name):
    gateway = context.simulation.add(name)
    gateway.store.is_reachable = False
    gateway.store_cache.is_store_reachable = False
    context.simulation.run(1.0)


@when('"{name}" accepts {count:d} jobs, of which "{other}" has not heard')
def accept_unheard(context, name, count, other):
    context.simulation.cut(name, [other])
    accept_before_gossip(context, name, count)
    context.simulation.heal(name, [other])


@when("gateway 0 accepts jobs until it refuses one for its workspace's tokens")
def accept_until_refused(context):
    fleet = context.gateways
    # A gateway that has not heard of its peer uses half of what is available.
    has_met = lambda: fleet.status(0)["quota_share"] == 1.0  # noqa: E731
    wait_until(has_met, LOSS_SECONDS, "gateway 0 has met its peer")
    for number in range(JOBS_MAX):
        items = [(f"item-{number}", f"/batch/x/{number}")]
        _, answer = fleet.submit(items, 0, tokens=JOB_TOKENS)
        if answer.status == 429:
            return
        assert answer.status == 202, answer
    raise AssertionError("no job was refused")


@then("the next job at gateway 1 is answered with 429 as well")
def check_other_gateway(context):
    items = [("item-x", "/batch/x/x")]
    _, answer = context.gateways.submit(items, 1, tokens=JOB_TOKENS)
    assert answer.status == 429, answer


@when('"{name}" accepts a job, and another one arrives before the store\'s answer')
def accept_meanwhile(context, name):
    def send_other():
        context.other_status = send_job(context, name, "other")

    store = context.simulation.gateway_by_name[name].store
    run_before(store, "create", JOBS_KIND, send_other)
    assert send_job(context, name, _new_id(context)) == 202


@when('"{lost}" is lost, and "{name}" starts again while the store is silent')
def restart_in_silence(context, lost, name):
    simulation = context.simulation
    set_store(context, "silent")
    simulation.suspend(lost, is_frozen=True)
    simulation.run(LOSS_SECONDS)
    gateway = simulation.add(name)
    gateway.store_cache.is_store_reachable = False
    set_store(context, "silent")
    simulation.run(1.0)


@when('the store answers "{name}" again while no peer answers whether it stores a job')
def answer_meanwhile(context, name):
    simulation = context.simulation
    gateway = simulation.gateway_by_name[name]
    call = simulation.call

    def call_but_store(source, target, call_name, request):
        if call_name != "StoreJob":
            return call(source, target, call_name, request)
        gateway.store.is_reachable = gateway.store_cache.is_store_reachable = True
        return None

    simulation.call = call_but_store
    context.other_status = send_job(context, name, "other", ITEM_TOKENS)


@then("the other job is not accepted")
def check_other_refused(context):
    assert context.other_status in (429, 503, 504), context.other_status


@then("the other job is answered with {status:d}")
def check_other(context, status):
    assert context.other_status == status, context.other_status


@when('the first job is ended at "{name}"')
def end_first(context, name):
    end(context, context.job_ids[0], name)


@then('the first job at "{name}" is answered with {status:d}')
def check_first(context, name, status):
    assert send_job(context, name, context.job_ids[0]) == status


@then('a job of {tokens:d} tokens at "{name}" is answered with {status:d}')
@then('another job of {tokens:d} tokens at "{name}" is answered with {status:d}')
def check_job(context, tokens, name, status):
    seen = send_job(context, name, _new_id(context), tokens)
    assert seen == status, seen


class Play:
    """Jobs in bursts, and gateways that are killed two at a time and started again.

    `used` has the waiting tokens after each submission, `accepted` after those that
    were accepted.
    """

    def __init__(self, context, seed, tokens):
        self._context = context
        self._simulation = context.simulation
        self._random = random.Random(seed)
        self._tokens = tokens
        self._names = sorted(self._simulation.gateway_by_name)
        self._restarts = []
        self._silent_until = 0
        self._finished = set()
        self._accepted_ids = set()
        self.used, self.accepted = [], []

    def run(self, count):
        step = 0
        while len(self.used) < count:
            step += 1
            self._disrupt(step)
            self._simulation.run(STEP_SECONDS, STEP_SECONDS)
            self._run_items()
            # Submissions during a silence take seconds of real time.
            is_silent = step < self._silent_until
            for _ in range(0 if is_silent else self._random.randrange(BURST_MAX)):
                self._submit()

    def _disrupt(self, step):
        for due, name in self._restarts:
            if due == step:
                self._simulation.add(name)
        self._restarts = [row for row in self._restarts if row[0] > step]
        if not self._restarts and self._random.random() < KILL_PROBABILITY:
            for name in self._random.sample(self._names, 2):
                self._simulation.suspend(name, is_frozen=True)
                self._restarts.append((step + RESTART_STEPS, name))
        if self._random.random() < SILENCE_PROBABILITY:
            self._silent_until = step + SILENCE_STEPS
        set_store(self._context, "answers" if step >= self._silent_until else "silent")

    def _run_items(self):
        running = self._simulation.running()
        keys = [(g, job.key) for g in running for job in g.registry.open_jobs()]
        self._random.shuffle(keys)
        for gateway, key in keys[:RUNNING_ITEMS]:
            gateway.finish_item(key)
        for gateway in running:
            for job in gateway.registry.jobs():
                if not job.batch.waiting_tokens:
                    self._finished.add(job.key)
            gateway.write()

    def _submit(self):
        self.submit_at(self._random.choice(self._simulation.running()).name)

    def submit_at(self, name):
        job_id = f"job-{len(self.used)}"
        status = send_job(self._context, name, job_id, self._tokens)
        if status == 202:
            self._accepted_ids.add(f".{job_id}")
        waiting = len(self._accepted_ids - self._finished) * self._tokens
        self.used.append(waiting)
        if status == 202:
            self.accepted.append(waiting)
        self._simulation.note("submitted", job_id, status, waiting)


@when(
    "{count:d} jobs of {tokens:d} tokens arrive in bursts while gateways are killed, "
    "from seed {seed:d}"
)
def play(context, count, tokens, seed):
    context.play = Play(context, seed, tokens)
    context.play.run(count)


@then("no acceptance is more than a tenth above the limit")
def check_limit(context):
    most = max(context.play.accepted)
    assert most <= LIMIT * (1 + OVERSHOOT), most


@then("over {least:g} of the limit was used at half of the submissions")
def check_used(context, least):
    median = statistics.median(context.play.used)
    assert median > least * LIMIT, median
