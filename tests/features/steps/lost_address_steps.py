"""Steps of replays of which lost instances the directory names."""

from behave import given, then, when
from gossip_replay import GossipReplay


@given(
    "replays of gossip of {nodes:d} nodes in {domains:d} failure domains, "
    "by {seeds:d} seeds"
)
def given_replays(context, nodes, domains, seeds):
    context.replay_size = nodes, domains
    context.seeds = range(1, seeds + 1)
    context.loss = 0.0


@given("one message in {number:d} is lost")
def given_loss(context, number):
    context.loss = 1 / number


@when("{count:d} of them are killed at a time")
def kill(context, count):
    context.replays = [
        GossipReplay(*context.replay_size, count, context.loss, seed).play()
        for seed in context.seeds
    ]


@then("no running node names a killed one {seconds:g} seconds after")
def check_named(context, seconds):
    named = [round(replay.last_named_seconds, 2) for replay in context.replays]
    print("named for seconds, by seed:", named)
    assert max(named) <= seconds, named


@then("each answer names at least nine tenths of the running nodes")
def check_running(context):
    shares = [round(replay.least_share, 3) for replay in context.replays]
    print("least share of the running nodes, by seed:", shares)
    assert min(shares) >= 0.9, shares


@then("each answer names all running nodes that count as live")
def check_live(context):
    counts = [replay.left_out_count for replay in context.replays]
    assert not any(counts), counts
