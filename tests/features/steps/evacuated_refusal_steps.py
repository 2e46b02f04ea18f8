"""Steps for what the log lines of refused requests say of evacuations."""

import time
from collections import Counter
from types import SimpleNamespace
from unittest import mock

import structlog
from behave import given, then, when
from gateway_evacuation_decision_steps import names_in
from sequoiaglade_gateway.coordinator import Coordinator
from sequoiaglade_gateway.endpoint_calls import CallFault
from sequoiaglade_gateway.evacuation_messages import FindEvacuated
from sequoiaglade_gateway.messages import EndpointsListed
from sequoiaglade_gateway.online.exchange import Exchange
from sequoiaglade_gateway.online.giving_up import refuse_full
from sequoiaglade_gateway.settings import GatewaySettings
from sequoiaglade_gateway.store_cache import EvacuationCache

from sequoiaglade_decisions.gateway import Endpoint, Fault, Full, NextStep
from sequoiaglade_platform import Document, DocumentChange

SERVICE = "s"


@given('a node of which the domains "{domains}" are evacuated')
def given_node(context, domains):
    address = "10.0.1.0:7000"
    settings = GatewaySettings(
        node_id="n-0",
        failure_domain="b",
        listen=dict.fromkeys(("data", "readiness", "directory", "peer"), address),
        store={"address": address},
        evacuations=True,
    )
    coordinator = Coordinator(settings, 1)
    endpoints = [Endpoint(f"{d}-0", SERVICE, "", d, 8) for d in "ab"]
    coordinator.on_receive(EndpointsListed(endpoints))
    context.asked, context.counted = [], Counter()
    ask = lambda m: context.asked.append(m) or coordinator.on_receive(m)  # noqa: E731
    parts = context.parts = mock.MagicMock()
    parts.settings = settings
    parts.coordinator = SimpleNamespace(ask=ask, tell=coordinator.on_receive)
    count = lambda event, outcome: context.counted.update([(event, outcome)])  # noqa: E731
    parts.metrics.count = count
    cache = context.cache = EvacuationCache(parts.coordinator, parts.metrics)
    parts.store_cache.evacuations = cache
    cache.on_listed([Document(name, 1, {}) for name in names_in(domains)])
    context.logged = context.stack.enter_context(structlog.testing.capture_logs())


def _refuse(context, cause):
    request = mock.MagicMock(service=SERVICE, end_at=time.monotonic() + 9.0)
    full = Full(0.3, True)
    exchange = Exchange(context.parts, request, lambda: False)
    match cause:
        case "all endpoints are full":
            return refuse_full(context.parts, request, full, frozenset(), False)
        case "no region is allowed":
            full = Full(0.3, False)
            return refuse_full(context.parts, request, full, None, False)
        case "endpoints refused them":
            exchange._try_once = lambda: CallFault(Fault.NOT_RUN, "refused")
            exchange.decide_next_step = lambda fault: NextStep.REFUSE
            exchange.last_event_id = 0
        case "no node knows their streams":
            exchange.last_event_id = 7
            exchange._find_version = lambda: None
    return exchange.open()


@when("{count:d} requests are refused within a second since {cause}")
def refuse(context, count, cause):
    for _ in range(count):
        refusal = _refuse(context, cause)
        assert refusal.status == 503, refusal


@then("the coordinator was asked at most {count:d} times")
def check_asks(context, count):
    asked = [m for m in context.asked if isinstance(m, FindEvacuated)]
    assert len(asked) <= count, len(asked)


@then("{count:d} log lines name the evacuated endpoints, and as many are counted")
def check_lines(context, count):
    lines = [x for x in context.logged if x["event"] == "request given up"]
    assert lines
    named = [line for line in lines if "evacuated_domains" in line]
    assert len(named) == count, len(named)
    for line in named:
        assert line["evacuated_domains"] == ["a"], line
        assert line["evacuated_endpoints"] == 1, line
    assert context.counted["evacuation", "request refused"] == count


@then(
    'a refusal names "{domain}" after its entry was written, and none after its removal'
)
def check_at_once(context, domain):
    for document, names in (
        (None, []),
        (domain, [domain]),
        (None, []),
        (domain, [domain]),
    ):
        if document is not None or context.cache.is_listed:
            document = document and Document(domain, 2, {})
            context.cache.on_changed(DocumentChange(domain, document))
        _refuse(context, "all endpoints are full")
        line = context.logged[-1]
        assert line.get("evacuated_domains", []) == names, line
