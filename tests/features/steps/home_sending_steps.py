"""Steps for the checks of requests with homes right before they are sent."""

import contextlib
import itertools
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Thread
from types import SimpleNamespace

from behave import given, then, when
from home_steps import DOMAIN_BY_REGION, REGION_BY_DOMAIN, SERVICE
from sequoiaglade_gateway.bounded_reads import ResponseMemory
from sequoiaglade_gateway.evacuations import PlacedAttempt
from sequoiaglade_gateway.interface import IncomingCall, ResponseHead
from sequoiaglade_gateway.messages import (
    AcceptsRequests,
    EndpointLeaving,
    EndpointsListed,
    PlaceRequest,
)
from sequoiaglade_gateway.online.exchange import Exchange
from sequoiaglade_gateway.online.requests import AdmittedRequest

from sequoiaglade_decisions.gateway import (
    Endpoint,
    FleetConfiguration,
    Route,
    RouteKind,
)

ROUTE = Route("r", "h.example", "/", RouteKind.UNSAFE, ((SERVICE, 1),), 5.0, 1.0)
DEADLINE_SECONDS = 5.0


def _ignore(*args, **options):
    return None


@contextlib.contextmanager
def _watching(*args):
    yield


def _configure(context, version, homes):
    route = ROUTE._replace(regions=frozenset(homes))
    configuration = FleetConfiguration(version, (route,), (), ())
    context.store_cache.configuration = configuration
    context.store_cache.version = version


def _parts(context, **fields):
    context.store_cache = SimpleNamespace()
    _configure(context, 1, ["north"])
    settings = SimpleNamespace(
        evacuations=False,
        failure_domain="zone-n",
        region="north",
        region_by_failure_domain=REGION_BY_DOMAIN,
    )
    counts = context.counts = []
    return SimpleNamespace(
        settings=settings,
        coordinator=context.coordinator,
        store_cache=context.store_cache,
        metrics=SimpleNamespace(
            count=lambda *row: counts.append(row), record_first_event=_ignore
        ),
        **fields,
    )


@given(
    'a request with the home "{home}" that is placed there and sent {seconds:g} '
    "seconds later"
)
def given_attempt(context, home, seconds):
    times = itertools.chain([0.0], itertools.repeat(seconds))
    parts = _parts(context)
    asked = context.asked = []

    def ask(message):
        asked.append(message)
        return context.coordinator.ask(message)

    parts.coordinator = SimpleNamespace(ask=ask)
    context.regions = frozenset() if home == "everywhere" else frozenset({home})
    context.attempt = PlacedAttempt(
        parts, "request-1", lambda: context.regions, lambda: next(times)
    )
    # The endpoint in the north, also for a request without homes.
    place = PlaceRequest(SERVICE, "request-1", regions=frozenset({"north"}))
    context.endpoint = context.coordinator.ask(place).endpoint
    context.attempt.note_placed(context.endpoint, next(times), 1)


@when("{change} happens meanwhile")
def change(context, change):
    match change:
        case "a move of the homes":
            context.regions = frozenset({"south"})
            _configure(context, 2, ["south"])
        case "a configuration that allows no region":
            context.regions = None
            _configure(context, 2, ["south"])
        case "another configuration":
            _configure(context, 2, ["north"])
        case "the leaving of the endpoint":
            born = context.endpoint.born
            leaving = EndpointLeaving(context.endpoint.endpoint_id, born)
            context.coordinator.ask(leaving)
        case "nothing":
            pass


@then("the attempt is {outcome}, after {count:d} questions")
def check_attempt(context, outcome, count):
    assert context.attempt.may_send() == (outcome == "sent")
    assert context.attempt.is_aborted == (outcome == "withheld")
    assert [type(message) for message in context.asked] == [AcceptsRequests] * count
    withheld = [row for row in context.counts if row[1] == "request withheld"]
    assert bool(withheld) == (outcome == "withheld"), context.counts


class _Handler(BaseHTTPRequestHandler):
    def do_POST(self):  # noqa: N802
        self.server.run_count += 1
        self.send_response(200)
        self.send_header("Content-Length", "2")
        self.end_headers()
        self.wfile.write(b"ok")

    def log_message(self, *args):
        """Print nothing."""


def _start_server(context):
    server = ThreadingHTTPServer(("127.0.0.1", 0), _Handler)
    server.run_count = 0
    Thread(target=server.serve_forever, daemon=True).start()
    context.stack.callback(server.server_close)
    context.stack.callback(server.shutdown)
    return server


def _list_endpoints(context, regions):
    context.coordinator.ask(
        EndpointsListed(
            [
                Endpoint(
                    f"in {region}",
                    SERVICE,
                    f"127.0.0.1:{context.server_by_region[region].server_port}",
                    DOMAIN_BY_REGION[region],
                    8,
                )
                for region in regions
            ]
        )
    )


@given("endpoints that answer in {names}")
def given_endpoints(context, names):
    regions = [name.strip('"') for name in names.split(" and ")]
    context.server_by_region = {r: _start_server(context) for r in ("north", "south")}
    _list_endpoints(context, regions)


@when(
    'a request that must not run twice is placed in "north", and its home is '
    '"{home}" by then'
)
def send_request(context, home):
    def place(request):
        placed = context.coordinator.ask(request)
        _configure(context, 2, [home])
        return placed

    parts = _parts(
        context,
        placer=SimpleNamespace(place=place),
        streams=SimpleNamespace(end=_ignore),
        hangups=SimpleNamespace(watching=_watching),
        preemptor=SimpleNamespace(watching=_watching),
        paths=SimpleNamespace(
            forwarded_connection=_ignore,
            note_connected=_ignore,
            note_failed=_ignore,
            is_cut_off=False,
        ),
        dialect=SimpleNamespace(
            endpoint_headers=lambda *args: [],
            read_head=lambda headers: ResponseHead(None, True, False),
            forwarded_headers=lambda headers: [],
        ),
        response_memory=ResponseMemory(),
    )
    now = time.monotonic()
    request = AdmittedRequest(
        IncomingCall("request-1", ROUTE.host, "POST", "/x", (), None, None, 0),
        b"",
        ROUTE,
        None,
        0,
        SERVICE,
        "",
        now,
        0.0,
        now + DEADLINE_SECONDS,
        1,
        frozenset({"north"}),
    )
    context.response = Exchange(parts, request, lambda: False).answer()


@then("it got {status:d}, and ran {where}")
def check_response(context, status, where):
    response = context.response
    assert response.status == status, response
    if status == 503:
        assert dict(response.headers)["Retry-After"], response.headers
    ran = {r for r, server in context.server_by_region.items() if server.run_count}
    expected = set() if where == "nowhere" else {where.removeprefix("in ").strip('"')}
    assert ran == expected, ran
