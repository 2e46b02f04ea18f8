"""Ends of responses: endpoints, gateways and peers end, in processes of their own.

Endpoints cut responses at any byte, send heads that the grammar forbids, and end
connections or themselves, while gateways are killed, stopped and suspended; some
responses come through peers. Callers that parse answers strictly check that each stream
that ends as complete has all events once, in order, of runs that went on where the run
before ended, that each whole body or item that counts as complete is whole, and that no
answer has a head that is invalid or comes from such a head.

A response without length or chunks whose connection is closed regularly has ended by
its endpoint's own word; so has a run that ends at once with whole framing. Such endings
are counted, unless the endpoint's process has ended: these break the rule.
"""

import contextlib
import json
import random
import signal
import sys
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

sys.path.append(str(Path(__file__).resolve().parents[2] / "platform"))

from emulator import GatewayFleet  # noqa: E402
from emulator.ending_endpoint import EndpointProcess  # noqa: E402
from emulator.ending_judge import BROKEN, PROCESS, classify, judge  # noqa: E402
from emulator.ending_plan import ResponsePlan, draw_plan  # noqa: E402
from emulator.entrances import RunnerLinks  # noqa: E402
from emulator.fleet import HOST, SERVICE  # noqa: E402
from emulator.strict_caller import StrictCaller  # noqa: E402

from sequoiaglade_standins.ports import PortBlock  # noqa: E402

GATEWAYS = 3
ENDPOINTS = 3
PLAY_SECONDS = 30.0
KEPT_LOG_LINES = 40


class Setup(NamedTuple):
    """What one play does.

    With `cut` gateway 0 is cut off from the endpoints in this way of `Link.cut`, and
    its responses come through peers. `disturbs` names what is disturbed: "gateways",
    "endpoints". `fixed` are fields of all response plans. With `has_head_flaws` half of
    the plans have heads that the grammar forbids.
    """

    callers: int = 12
    cut: str = ""
    disturbs: tuple = ()
    pace_milliseconds: tuple = (0, 0, 20, 60)
    has_jobs: bool = True
    fixed: Any = ()
    has_head_flaws: bool = False


class Finding(NamedTuple):
    """A broken rule, or an end by an endpoint's own word that `kind` names."""

    kind: str
    flaw: str
    request_id: str
    route: str
    plan: ResponsePlan
    gateway: int
    log_lines: tuple


class Play:
    """One fleet under callers and disturbances; `findings` and `counts` are results."""

    def __init__(self, seed, setup, sources_by_node=None):
        self._seed = seed
        self._setup = setup
        self._sources = sources_by_node
        self._has_ended = threading.Event()
        self._lock = threading.Lock()
        self._judged = []
        self._errors = []
        self.findings = []
        self.counts = Counter()

    def run(self, seconds):
        """Play for `seconds` after the start of the fleet."""
        with contextlib.ExitStack() as stack:
            fleet = GatewayFleet(
                GATEWAYS, [], has_entrances=True, sources_by_node=self._sources
            )
            self._fleet = stack.enter_context(fleet)
            stack.callback(self._kill_gateways)
            if self._setup.cut:
                # Only this gateway has links, so that the peers meet the endpoints'
                # kernel itself.
                links = stack.enter_context(RunnerLinks())
                fleet.entrances[0].runner_links = links
                links.cut(self._setup.cut)
            ports = stack.enter_context(PortBlock()).take(ENDPOINTS)
            self._endpoints = [
                stack.enter_context(
                    EndpointProcess(
                        fleet.store, n, SERVICE, port, f"{self._seed}/endpoint {n}"
                    )
                )
                for n, port in enumerate(ports)
            ]
            self._run_threads(seconds)
            # The endpoints note within a poll that a process has ended.
            time.sleep(0.2)
            ended = [len(row.ended_at_by_pid) for row in self._endpoints]
            self.counts["processes of endpoints ended"] = sum(ended)
            for row in self._judged:
                self._judge(*row)
        if self._errors:
            raise self._errors[0]

    def _run_threads(self, seconds):
        jobs = [self._play_jobs] if self._setup.has_jobs else []
        callers = [self._call] * self._setup.callers
        victims = range(1 if self._setup.cut else 0, GATEWAYS)
        disturbers = []
        if "gateways" in self._setup.disturbs:
            disturbers += [self._disturb_gateway] * len(victims)
        if "endpoints" in self._setup.disturbs:
            disturbers.append(self._disturb_endpoints)
        threads = []
        for index, function in enumerate((*jobs, *callers, *disturbers)):
            rng = random.Random(f"{self._seed}/{index}")
            arguments = (function, rng, victims[index % len(victims)])
            threads.append(threading.Thread(target=self._guard, args=arguments))
        for thread in threads:
            thread.start()
        try:
            self._has_ended.wait(seconds)
        finally:
            self._has_ended.set()
        for thread in threads:
            thread.join()

    def _kill_gateways(self):
        # A regular stop takes some seconds.
        for node in self._fleet.nodes:
            if node.is_running:
                node.kill()

    def _guard(self, function, rng, node):
        try:
            function(rng, node)
        except Exception as error:  # noqa: BLE001
            self._errors.append(error)
            self._has_ended.set()

    def _call(self, rng, _):
        """Send requests on connections that are kept while they can be."""
        while not self._has_ended.is_set():
            gateway = 0 if self._setup.cut else rng.randrange(GATEWAYS)
            with contextlib.suppress(OSError):
                with StrictCaller(self._fleet.nodes[gateway].data) as caller:
                    requests = rng.choice((1, 4, 20))
                    while caller.is_kept and requests and not self._has_ended.is_set():
                        requests -= 1
                        self._ask(rng, caller, gateway)
            self._has_ended.wait(0.02)

    def _draw_plan(self, rng, route):
        setup = self._setup
        plan = draw_plan(rng, route, setup.pace_milliseconds, setup.fixed)
        return plan.with_head_flaw() if setup.has_head_flaws else plan

    def _ask(self, rng, caller, gateway):
        route = rng.choice(("resume", "resume", "once", "safe"))
        plan = self._draw_plan(rng, route)
        request_id = f"{rng.getrandbits(64):016x}"
        headers = {
            "Host": HOST,
            "Key": "key-yard",
            "Request-Id": request_id,
            "Deadline-Ms": rng.choice((2000, 5000)),
        }
        if caller.has_stray_bytes():
            self._judged.append((request_id, route, plan, gateway, "stray bytes"))
        elif caller.is_kept:
            answer = caller.send(plan.to_path(route, request_id), headers)
            self._judged.append((request_id, route, plan, gateway, answer))

    def _play_jobs(self, rng, _):
        """Submit jobs and read their results while gateways answer."""
        while not self._has_ended.is_set():
            plans = {
                f"{rng.getrandbits(64):016x}": self._draw_plan(rng, "batch")
                for _ in range(8)
            }
            items = [
                (name, plan.to_path("batch", name)) for name, plan in plans.items()
            ]
            gateway = rng.randrange(GATEWAYS)
            job_id, answer = self._fleet.submit(
                items, gateway, f"{rng.getrandbits(64):016x}"
            )
            if answer is None or answer.status != 202:
                self._has_ended.wait(0.1)
                continue
            deadline = time.monotonic() + 8
            results = ()
            while len(results) < 8 and time.monotonic() < deadline:
                if self._has_ended.wait(0.3):
                    break
                with contextlib.suppress(AttributeError, ValueError):
                    _, found = self._fleet.results(job_id, rng.randrange(GATEWAYS))
                    results = found.get("Results", results)
            for result in results:
                plan = plans[result["Id"]]
                row = (result["Id"], "batch", plan, gateway, result)
                self._judged.append(row)

    def _disturb_gateway(self, rng, node):
        """Kill, stop and suspend one gateway in series, at times beside others."""
        process = self._fleet.nodes[node]
        while not self._has_ended.wait(rng.uniform(0.5, 3)):
            how = rng.choice(("killed", "stopped", "suspended"))
            self.counts[f"gateways {how}"] += 1
            if how == "killed":
                process.kill()
            elif how == "stopped":
                process.send(signal.SIGTERM)
                while process.is_running and not self._has_ended.wait(0.1):
                    pass
            else:
                process.send(signal.SIGSTOP)
                self._has_ended.wait(rng.uniform(0.2, 3))
                process.send(signal.SIGCONT)
            if not process.is_running:
                process.start()

    def _disturb_endpoints(self, rng, _):
        """End or suspend endpoints while they send."""
        while not self._has_ended.wait(rng.uniform(0.2, 2)):
            endpoint = rng.choice(self._endpoints)
            number = rng.choice((signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP))
            self.counts[f"endpoints sent {number.name}"] += 1
            endpoint.send(number)

    def _judge(self, request_id, route, plan, gateway, answer):
        """Check one answer, and count it or add its finding."""
        flaw, is_early, pid = judge(route, plan, request_id, answer)
        self.counts[f"{route} {'flawed' if flaw else _describe(answer)}"] += 1
        if not flaw:
            return
        has_ended = any(pid in row.ended_at_by_pid for row in self._endpoints)
        kind = classify(route, plan, has_ended) if is_early else BROKEN
        lines = tuple(self._log_lines(request_id))
        finding = Finding(kind, flaw, request_id, route, plan, gateway, lines)
        self.findings.append(finding)
        self.counts[kind] += 1

    def _log_lines(self, request_id):
        for node in self._fleet.nodes:
            text = Path(node.log_path).read_text(encoding="utf-8", errors="replace")
            found = [line for line in text.splitlines() if request_id in line]
            yield from (f"{node.name}: {line}" for line in found[:KEPT_LOG_LINES])


def _describe(answer):
    if isinstance(answer, dict):
        return answer["State"]
    return f"{answer.status} {'incomplete' if answer.flaw else 'complete'}"


SETUPS = (
    Setup(disturbs=("endpoints",)),
    Setup(cut="reset", disturbs=("gateways",)),
    Setup(disturbs=("gateways", "endpoints")),
    Setup(cut="refuse"),
    Setup(callers=60, pace_milliseconds=(0, 5)),
    Setup(cut="hang", disturbs=("gateways", "endpoints")),
)
HEAD_FLAW_SETUPS = (
    Setup(disturbs=("endpoints",), has_head_flaws=True),
    Setup(cut="reset", disturbs=("gateways",), has_head_flaws=True),
)


def run(seed, minutes, setups=SETUPS + HEAD_FLAW_SETUPS):
    """Run plays for `minutes`; return what was counted, raise on a broken rule."""
    deadline = time.monotonic() + 60 * minutes
    counts = Counter()
    number = 0
    while not number or time.monotonic() < deadline:
        seconds = min(PLAY_SECONDS, 30 * minutes, deadline - time.monotonic())
        play = Play(f"{seed}/{number}", setups[number % len(setups)])
        play.run(max(2.0, seconds))
        counts += play.counts
        broken = [row for row in play.findings if row.kind in (BROKEN, PROCESS)]
        assert not broken, json.dumps(broken[:3], indent=1)
        number += 1
    return f"{number} plays, " + ", ".join(
        f"{v} {k}" for k, v in sorted(counts.items())
    )
