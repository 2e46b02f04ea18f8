"""Stops of real nodes in series, right after their starts and under calls.

Each node is started, asked to stop after a random time, and started again once it has
exited. Some stops follow a request to reload, or are sent twice. The checks: a node
logs in time that it drains, exits with code 0, and none is left for good.
"""

import contextlib
import json
import random
import signal
import sys
import threading
import time
import uuid
from datetime import datetime
from pathlib import Path
from typing import NamedTuple

import urllib3

sys.path.append(str(Path(__file__).resolve().parents[2] / "platform"))

from emulator import GatewayFleet, RunnerPlan  # noqa: E402

from sequoiaglade_standins.fleet import Fleet  # noqa: E402
from sequoiaglade_standins.samples import (  # noqa: E402
    restockers_document,
    restockers_endpoints,
)

NODES_PER_FLEET = 6
CALLERS_PER_NODE = 2
START_SECONDS = 60.0
# From the signal to the log line. Callers learn of the stop from the directories, whose
# addresses they keep for a second or more.
DRAIN_BEGINS_SECONDS = 1.0
# From the signal to the exit. Gateways are killed by the platform after their
# `grace_seconds`, nodes are not.
GATEWAY_EXIT_SECONDS = 8.0
NODE_EXIT_SECONDS = 15.0
# A node that has not exited by then is killed.
KILL_SECONDS = 20.0
DELAY_SECONDS_MAX = 1.5
POLL_SECONDS = 0.02
# Signals that are sent at once, the last of which asks the node to stop.
GATEWAY_SERIES = (
    (signal.SIGTERM,),
    (signal.SIGINT,),
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGTERM),
)
NODE_SERIES = ((signal.SIGTERM,), (signal.SIGINT,), (signal.SIGTERM, signal.SIGTERM))


class Stop(NamedTuple):
    """One stop: the node, the signals, and the seconds until it drained and exited.

    `drain_seconds` is None if the node logged no drain, `exit_code` if it was killed.
    """

    node: str
    delay_seconds: float
    signals: tuple
    drain_seconds: float | None
    exit_seconds: float
    exit_code: int | None

    def is_late(self, exit_seconds_max):
        """Return whether the drain or the exit came too late, or the exit failed."""
        if self.drain_seconds is None or self.exit_code != 0:
            return True
        is_drain_late = self.drain_seconds > DRAIN_BEGINS_SECONDS
        return is_drain_late or self.exit_seconds > exit_seconds_max


def stop_once(process, series, delay_seconds):
    """Start a node's process, stop it after `delay_seconds`, return the `Stop`."""
    start_count = len(_times(process, "node started"))
    drain_count = len(_times(process, "node draining"))
    process.start()
    _wait_started(process, start_count)
    time.sleep(delay_seconds)
    sent_at = time.time()
    for number in series:
        process.send(number)
    exit_code = None
    deadline = sent_at + KILL_SECONDS
    while exit_code is None and time.time() < deadline:
        time.sleep(POLL_SECONDS)
        exit_code = process.exit_code
    exit_seconds = time.time() - sent_at
    if exit_code is None:
        process.kill()
    drains = _times(process, "node draining")[drain_count:]
    drain_seconds = drains[0] - sent_at if drains else None
    return Stop(
        process.name, delay_seconds, series, drain_seconds, exit_seconds, exit_code
    )


def _wait_started(process, count):
    deadline = time.monotonic() + START_SECONDS
    while len(_times(process, "node started")) <= count:
        assert process.is_running, process.describe_state()
        assert time.monotonic() < deadline, process.describe_state()
        time.sleep(POLL_SECONDS)


def _times(process, event):
    """Return the times of a process's log lines of an event, in seconds."""
    with contextlib.suppress(FileNotFoundError):
        text = Path(process.log_path).read_text(encoding="utf-8", errors="replace")
        lines = [line for line in text.splitlines() if f'"{event}"' in line]
        stamps = [json.loads(line)["timestamp"] for line in lines]
        return [datetime.fromisoformat(stamp).timestamp() for stamp in stamps]
    return []


class Series:
    """Threads that stop and start the nodes of one fleet; `stops` are the results.

    `late_stops` are those that took longer than `exit_seconds_max` or failed. `calls`
    has a function a node that sends one request there.
    """

    def __init__(self, seed, deadline, processes, calls, choices, exit_seconds_max):
        self._deadline = deadline
        self._choices = choices
        self._exit_seconds_max = exit_seconds_max
        self._has_ended = threading.Event()
        self.stops = []
        self.late_stops = []
        self.errors = []
        self._stoppers = [
            threading.Thread(
                target=self._stop_in_series,
                args=(random.Random(f"{seed}/{process.name}"), process),
            )
            for process in processes
        ]
        self._callers = [
            threading.Thread(target=self._call_in_series, args=(call,))
            for call in calls
            for _ in range(CALLERS_PER_NODE)
        ]

    def run(self):
        """Run all threads until the deadline; raise the first error."""
        for thread in (*self._callers, *self._stoppers):
            thread.start()
        for thread in self._stoppers:
            thread.join()
        self._has_ended.set()
        for thread in self._callers:
            thread.join()
        if self.errors:
            raise self.errors[0]

    def _stop_in_series(self, rng, process):
        try:
            while time.monotonic() < self._deadline or not self.stops:
                series = rng.choice(self._choices)
                delay = rng.choice((0.0, rng.uniform(0, DELAY_SECONDS_MAX)))
                stop = stop_once(process, series, delay)
                self.stops.append(stop)
                if stop.is_late(self._exit_seconds_max):
                    self.late_stops.append(stop)
                    print(stop, process.describe_state(), sep="\n", flush=True)
        except Exception as error:  # noqa: BLE001
            self.errors.append(error)

    def _call_in_series(self, call):
        while not self._has_ended.wait(0.05):
            # Calls fail while the node is stopped.
            with contextlib.suppress(urllib3.exceptions.HTTPError, OSError):
                call()


def run_gateways(seed, deadline):
    """Stop gateways in series until the deadline; return the `Series`."""
    plan = RunnerPlan(slots=64, event_seconds=0.05)
    with GatewayFleet(NODES_PER_FLEET, [plan] * 2) as fleet:
        for node in fleet.nodes:
            node.stop()
        calls = [
            lambda number=number: fleet.send(f"/resume/{uuid.uuid4().hex}", number)
            for number in range(NODES_PER_FLEET)
        ]
        series = Series(
            seed,
            deadline,
            fleet.nodes,
            calls,
            GATEWAY_SERIES,
            GATEWAY_EXIT_SECONDS,
        )
        series.run()
    return series


def run_nodes(seed, deadline):
    """Stop nodes of the product's own interface; return the `Series`."""
    document = restockers_document() | {"rates": {}}
    with Fleet(NODES_PER_FLEET, restockers_endpoints(3), document) as fleet:
        processes = [node.process for node in fleet.nodes]
        for process in processes:
            process.stop()
        key = fleet.key_by_workspace["salina"]
        calls = [
            lambda url=node.url: fleet.http.request(
                "GET", f"{url}/orders/1", headers={"Authorization": f"Bearer {key}"}
            )
            for node in fleet.nodes
        ]
        series = Series(
            seed, deadline, processes, calls, NODE_SERIES, NODE_EXIT_SECONDS
        )
        series.run()
    return series


def run(seed, minutes):
    """Stop gateways and nodes for `minutes` in all; return a summary."""
    summaries = []
    for name, run_part in (("gateways", run_gateways), ("nodes", run_nodes)):
        series = run_part(seed, time.monotonic() + 30 * minutes)
        drains = [stop.drain_seconds for stop in series.stops]
        taken = [seconds for seconds in drains if seconds is not None]
        longest = max(taken, default=float("nan"))
        longest_exit = max(stop.exit_seconds for stop in series.stops)
        summaries.append(
            f"{len(series.stops)} stops of {name}, {len(series.late_stops)} late, "
            f"drain logged after at most {longest:.3f} s, "
            f"exit after at most {longest_exit:.1f} s"
        )
        print(summaries[-1], flush=True)
        assert not series.late_stops, series.late_stops
    return "; ".join(summaries)
