"""Steps for reads of jobs with several holders, by simulation."""

from behave import given, then, when
from holder_simulation import HolderSimulation, job_id_for

# A result has to be in every answer this long after it was read first.
SETTLE_SECONDS = 1.2
# More gossip rounds than any exchange of states takes.
ROUNDS_MAX = 50


def names_in(text):
    return [name.strip() for name in text.split(",")]


@given('gateways "{names}", and "{holder}" holds a job with 1 listed result')
def given_holder(context, names, holder):
    context.simulation = context.stack.enter_context(HolderSimulation(names_in(names)))
    context.stack.callback(print_trace, context)
    context.simulation.run(1.0)
    context.holder = context.simulation.gateway_by_name[holder]


@given(
    'gateways "{names}", and "{group}" were cut off from the others for '
    '{seconds:g} seconds when "{holder}" accepted a job'
)
def given_partition(context, names, group, seconds, holder):
    given_holder(context, names, holder)
    for name in names_in(group):
        context.simulation.cut(name, _others(context, *names_in(group)))
    context.simulation.run(seconds)


def print_trace(context):
    print(context.simulation.trace_text())


def submit(context, adopter):
    """Submit the job, with an id that `adopter` takes over by hash, once."""
    if hasattr(context, "job_id"):
        return
    cut_off = {n for n, m in context.simulation.cut_pairs if m == adopter}
    names = {*context.simulation.gateway_by_name, adopter}
    survivors = names - {context.holder.name} - cut_off
    context.job_id = job_id_for(adopter, sorted(survivors))
    context.key = f".{context.job_id}"
    context.holder.submit(context.job_id)
    context.simulation.run(0.4)
    _list_results(context.holder, context.key, 1)


def _list_results(gateway, key, count):
    for _ in range(count):
        gateway.finish_item(key)
    gateway.write()


@when(
    '"{holder}" is {trouble} until "{adopter}" has adopted the job and '
    "listed {count:d} more"
)
def adopt(context, holder, trouble, adopter, count):
    simulation = context.simulation
    submit(context, adopter)
    simulation.run(0.4)
    match trouble:
        case "cut off":
            simulation.cut(holder)
        case "suspended":
            simulation.suspend(holder)
        case "frozen":
            simulation.suspend(holder, is_frozen=True)
    _wait_for_adoption(context, adopter, count)


@when('the job is adopted by "{adopter}", which lists {count:d} more')
def adopt_in_partition(context, adopter, count):
    submit(context, adopter)
    _wait_for_adoption(context, adopter, count)


def _wait_for_adoption(context, adopter, count):
    simulation = context.simulation
    gateway = simulation.gateway_by_name[adopter]
    _run_until(simulation, lambda: gateway.holds(context.key))
    _list_results(gateway, context.key, count)
    simulation.run(SETTLE_SECONDS)


@when(
    '"{holder}" is cut off until a new gateway "{adopter}" has adopted the job and '
    "listed {count:d} more"
)
def adopt_by_new(context, holder, adopter, count):
    submit(context, adopter)
    context.simulation.cut(holder)
    context.simulation.add(adopter)
    context.simulation.cut(holder, [adopter])
    adopt(context, holder, "cut off", adopter, count)


def _run_until(simulation, condition):
    for _ in range(ROUNDS_MAX):
        simulation.run(0.2)
        if condition():
            return
    raise AssertionError("the condition was not met")


def _end_trouble(context, holder, unreachable):
    """Let a gateway go on, for now without contact to some others."""
    context.simulation.heal(holder)
    context.simulation.resume(holder)
    context.simulation.cut(holder, unreachable)


@when('"{holder}" is back, and its gossip reaches "{adopter}" first')
def holder_calls_first(context, holder, adopter):
    _end_trouble(context, holder, _others(context, holder, adopter))
    _gossip_until_heard(context, holder, adopter)
    context.simulation.heal(holder)


@when('"{holder}" is back, and "{adopter}" receives its gossip, but the reply is lost')
def reply_lost(context, holder, adopter):
    _end_trouble(context, holder, _others(context, holder, adopter))
    context.simulation.lost_replies.add((holder, adopter))
    _gossip_until_heard(context, holder, adopter)
    context.simulation.lost_replies.clear()
    context.simulation.heal(holder)


@when('"{holder}" is back, but has no contact to "{adopter}" for {seconds:g} seconds')
def relayed(context, holder, adopter, seconds):
    _end_trouble(context, holder, [adopter])
    context.simulation.run(seconds)
    context.simulation.heal(holder)


@when(
    '"{holder}" is back, but has no contact to "{adopter}" until the others have '
    "answered it"
)
def others_answer(context, holder, adopter):
    _end_trouble(context, holder, [adopter])
    for _ in range(ROUNDS_MAX):
        context.holder.run_round()
        if context.holder.gossip.contact_since() is not None:
            break
    context.simulation.pass_time(0.1)
    context.simulation.heal(holder)


@when('"{holder}" is back, and the gossip of "{adopter}" reaches it first')
def adopter_calls_first(context, holder, adopter):
    _end_trouble(context, holder, _others(context, holder, adopter))
    _gossip_until_heard(context, adopter, holder)
    context.simulation.heal(holder)


def _others(context, *names):
    return set(context.simulation.gateway_by_name) - set(names)


def _gossip_until_heard(context, source, target):
    """Run rounds of one gateway until another one has received its newest state."""
    gateway = context.simulation.gateway_by_name[source]
    count = len(context.simulation.calls)
    for _ in range(ROUNDS_MAX):
        gateway.run_round()
        if (source, target, "Gossip") in context.simulation.calls[count:]:
            return
    raise AssertionError("the gossip was not received")


@when('"{name}" restarts')
def restart(context, name):
    context.simulation.add(name)


@when(
    '"{name}" restarts, cut off from its peers, and has adopted the job of "{holder}"'
)
def restart_cut_off(context, name, holder):
    submit(context, name)
    context.simulation.cut(name)
    gateway = context.simulation.add(name)
    _run_until(context.simulation, lambda: gateway.holds(context.key))


@when('"{name}" lists {count:d} results more')
def list_more(context, name, count):
    gateway = context.simulation.gateway_by_name[name]
    _list_results(gateway, context.key, count)
    context.simulation.run(SETTLE_SECONDS)


@when("gossip goes on for {seconds:g} seconds")
def go_on(context, seconds):
    context.simulation.run(seconds)


@when('gossip goes on for {seconds:g} seconds without "{name}"')
def go_on_without(context, seconds, name):
    context.simulation.suspend(name)
    context.simulation.run(seconds)


@when(
    '"{holder}" writes a result, without an answer, and the write takes effect '
    "{seconds:g} seconds later"
)
def write_late(context, holder, seconds):
    submit(context, "b")
    context.simulation.run(0.4)
    gateway = context.simulation.gateway_by_name[holder]
    gateway.store.late_seconds.append(seconds)
    _list_results(gateway, context.key, 1)


@then('reads at "{names}" return {count:d} results')
def check_reads(context, names, count):
    found = {name: _read(context, name) for name in names_in(names)}
    counts = {name: None if r is None else len(r) for name, r in found.items()}
    assert all(n == count for n in counts.values()), counts


@then('a read at "{name}" returns {count:d} result without a call to the store')
def check_read_from_memory(context, name, count):
    submit(context, "b")
    context.simulation.run(10.0)
    store = context.simulation.gateway_by_name[name].store
    before = store.call_count
    assert len(_read(context, name)) == count
    assert store.call_count == before


@then('a read at "{name}", which can\'t reach "{other}", returns {count:d} results')
def check_cut_reads(context, name, other, count):
    context.simulation.cut_pairs.add((name, other))
    results = _read(context, name)
    context.simulation.cut_pairs.discard((name, other))
    assert results is not None and len(results) == count, results


def _read(context, name):
    context.simulation.note("read", name)
    return context.simulation.gateway_by_name[name].read(context.job_id)
