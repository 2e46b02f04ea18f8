"""Steps for gateways that keep a workspace's waiting tokens in a large fleet."""

from behave import given, then, when
from sequoiaglade_gateway.batch.storage import JOBS_KIND
from waiting_token_steps import Play, send_job

from sequoiaglade_decisions.gateway import token_keepers

WORKSPACE = ""
# Gateways that have just started decide on no jobs until all others know them.
SETTLING_SECONDS = 6.0
# A state in a large fleet counts for 6 seconds.
LOSS_SECONDS = 8.0
# Submissions between two rounds of gossip, so that they come faster than it spreads.
SUBMISSIONS_PER_ROUND = 4


@given("gossip has settled")
@when("gossip has settled")
def settle(context):
    context.simulation.run(SETTLING_SECONDS, 1.0)
    context.simulation.calls.clear()


def _keepers(context):
    return token_keepers(WORKSPACE, context.simulation.gateway_by_name)


@then("at most {count:d} calls to peers were made for each accepted job")
def check_calls(context, count):
    calls = [row for row in context.simulation.calls if row[2] != "Gossip"]
    assert len(calls) <= count * len(context.job_ids), calls


@when('"{name}" is lost for longer than its state counts')
def lose(context, name):
    context.simulation.suspend(name, is_frozen=True)
    context.simulation.run(LOSS_SECONDS, 1.0)


@when('"{name}" accepts {count:d} jobs of {tokens:d} tokens, one each second')
def accept_slowly(context, name, count, tokens):
    stores = [g.store for g in context.simulation.running()]
    # The gateway with the lowest id reads them to find jobs without a holder.
    first = min(context.simulation.running(), key=lambda g: g.name)
    first.adopter.adopt_orphans = lambda: True
    before = sum(store.lists[JOBS_KIND] for store in stores)
    for number in range(count):
        context.simulation.run(1.0, 1.0)
        assert send_job(context, name, f"slow-{number}", tokens) == 202
    context.list_count = sum(store.lists[JOBS_KIND] for store in stores) - before


@then("the stored jobs were read at most {count:d} time for them")
def check_list_count(context, count):
    assert context.list_count <= count, context.list_count


@when(
    "each gateway but the keepers gets {count:d} job of {tokens:d} tokens, while the "
    "first keeper is {change} halfway"
)
def submit_while_changed(context, count, tokens, change):
    first, *_ = _keepers(context)
    names = sorted(set(context.simulation.gateway_by_name) - set(_keepers(context)))
    _submit_at(
        context, names * 2 * count, tokens, lambda: _change(context, first, change)
    )


@when(
    "each gateway gets {count:d} jobs of {tokens:d} tokens, while a new first keeper "
    "starts halfway"
)
def submit_while_started(context, count, tokens):
    names = sorted(context.simulation.gateway_by_name)
    candidates = (f"new-{number}" for number in range(1000))
    new = next(c for c in candidates if token_keepers(WORKSPACE, [*names, c])[0] == c)
    _submit_at(context, names * count, tokens, lambda: context.simulation.add(new))


def _submit_at(context, names, tokens, change):
    """Submit jobs at gateways, while a change comes after half of the tokens' limit."""
    context.play = Play(context, 1, tokens)
    simulation = context.simulation
    for number, name in enumerate(names):
        if number == len(names) // 4:
            change()
        if number % SUBMISSIONS_PER_ROUND == 0:
            simulation.run(0.5, 0.5)
        context.play.submit_at(name)


def _change(context, name, change):
    simulation = context.simulation
    match change:
        case "killed" | "frozen":
            simulation.suspend(name, is_frozen=True)
        case "stopped regularly":
            simulation.gateway_by_name[name].leave()
        case "cut off from all peers":
            simulation.cut(name)
        case "cut off from half of them":
            simulation.cut(name, sorted(simulation.gateway_by_name)[::2])
        case "killed and started again":
            simulation.add(name)


@given('"{name}" runs a release that keeps no tokens')
def run_older_release(context, name):
    context.simulation.gateway_by_name[name].use_older_release()
