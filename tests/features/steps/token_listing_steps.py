"""Steps on submissions at a gateway that has not read the stored jobs yet."""

import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

from behave import given, then, when
from sequoiaglade_gateway.batch.registry import JobRegistry
from sequoiaglade_gateway.batch.token_limits import TokenLimits

from sequoiaglade_decisions.gateway import FleetConfiguration
from sequoiaglade_decisions.outcomes import Failure, FailureCode

# A coordinator that knows no keepers of waiting tokens.
SMALL_FLEET = SimpleNamespace(ask=lambda message: None)


class _SilentStorage:
    def __init__(self, seconds):
        self._seconds = seconds

    def list_headers(self):
        time.sleep(self._seconds)
        return Failure(FailureCode.UNAVAILABLE, "the store is silent")


@given(
    "a gateway that has just started, and a store that fails each list after"
    " {seconds:g} s"
)
def start_gateway(context, seconds):
    parts = SimpleNamespace(
        store_cache=SimpleNamespace(is_store_reachable=True),
        coordinator=SMALL_FLEET,
    )
    context.limits = TokenLimits(parts, JobRegistry(), _SilentStorage(seconds))


@when("{count:d} jobs arrive at once")
def send_jobs(context, count):
    with ThreadPoolExecutor(count) as pool:
        context.outcomes = list(pool.map(lambda _: _take(context), range(count)))


def _take(context):
    began_at = time.monotonic()
    spec = SimpleNamespace(key="w.0", workspace="w", items=())
    route = SimpleNamespace(waiting_tokens=1000, name="jobs")
    refusal = context.limits.take(spec, route)
    return refusal.status, time.monotonic() - began_at


@then("each is refused with {status:d} within {seconds:g} s")
def check_refusals(context, status, seconds):
    for found, waited in context.outcomes:
        assert found == status and waited <= seconds, context.outcomes


class _SlowStorage:
    """A store without jobs, which answers each list late."""

    def __init__(self, seconds):
        self._seconds = seconds
        self.list_count = 0

    def list_headers(self):
        self.list_count += 1
        time.sleep(self._seconds)
        return []


@given(
    "a gateway that is in contact with half of its peers, and a store that answers "
    "each list after {seconds:g} s"
)
def start_isolated(context, seconds):
    parts = SimpleNamespace(
        store_cache=SimpleNamespace(
            is_store_reachable=True, configuration=FleetConfiguration(1, (), (), ())
        ),
        peers=SimpleNamespace(live_node_fraction=lambda: 0.5),
        coordinator=SMALL_FLEET,
    )
    context.storage = _SlowStorage(seconds)
    context.registry = JobRegistry()
    context.limits = TokenLimits(parts, context.registry, context.storage)
    context.limits.note_headers([], context.registry.clock() - 1.0)


@when("{count:d} jobs of {tokens:d} tokens arrive at once")
def send_small_jobs(context, count, tokens):
    item = SimpleNamespace(tokens=tokens)
    route = SimpleNamespace(waiting_tokens=1000, name="jobs")

    def take(number):
        spec = SimpleNamespace(key=f"w.{number}", workspace="w", items=(item,))
        began_at = time.monotonic()
        admission = context.limits.take(spec, route)
        return admission.is_accepted, time.monotonic() - began_at

    with ThreadPoolExecutor(count) as pool:
        context.outcomes = list(pool.map(take, range(count)))


@then("each is accepted within {seconds:g} s, after at most {count:d} lists")
def check_lists(context, seconds, count):
    for is_accepted, waited in context.outcomes:
        assert is_accepted and waited <= seconds, context.outcomes
    assert 1 <= context.storage.list_count <= count, context.storage.list_count
