"""Steps on submissions at a gateway that has not read the stored jobs yet."""

import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

from behave import given, then, when
from sequoiaglade_gateway.batch.registry import JobRegistry
from sequoiaglade_gateway.batch.token_limits import TokenLimits

from sequoiaglade_decisions.outcomes import Failure, FailureCode


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
    parts = SimpleNamespace(store_cache=SimpleNamespace(is_store_reachable=True))
    context.limits = TokenLimits(parts, JobRegistry(), _SilentStorage(seconds))


@when("{count:d} jobs arrive at once")
def send_jobs(context, count):
    with ThreadPoolExecutor(count) as pool:
        context.outcomes = list(pool.map(lambda _: _take(context), range(count)))


def _take(context):
    began_at = time.monotonic()
    refusal = context.limits.take(None, SimpleNamespace(waiting_tokens=1000))
    return refusal.status, time.monotonic() - began_at


@then("each is refused with {status:d} within {seconds:g} s")
def check_refusals(context, status, seconds):
    for found, waited in context.outcomes:
        assert found == status and waited <= seconds, context.outcomes
