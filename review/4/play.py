"""Streams that are taken up after a kill, while a release has just begun."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from deployment import (  # noqa: E402
    HAS_TROUBLE,
    CannotRunError,
    Deployment,
    Runner,
    main,
    route,
)
from streams import (  # noqa: E402
    DEADLINE_SECONDS,
    EVENT_SECONDS,
    STREAMS_MIN,
    Stream,
    events_of,
    judge,
)

STREAMS = 20
NEW_STREAMS = 20
# Longer than the time after which calm machines are in touch.
CALM_SECONDS = 6.0
# The first streams have run for so long when the first runner of the new version is
# there, and for so long when their gateway is killed.
RELEASE_AFTER_SECONDS = 0.8
KILL_AFTER_SECONDS = 1.6


def play(record):
    ran = []

    def note(event, runner, headers):
        after = headers.get("Last-Event-Id")
        ran.append((headers["Request-Id"], runner.version, after))
        record(
            f"{runner.name} {runner.version}: {event} {headers['Request-Id']} "
            f"after {after}"
        )

    def make_runner(number, version):
        return Runner(
            deployment.store,
            f"i-{number}",
            events_of,
            note,
            event_seconds=EVENT_SECONDS,
            version=version,
        )

    routes = [route("alert", "streaming", Resumable=True, GapTargetMs=400)]
    with Deployment(3, record, routes) as deployment:
        runners = [deployment.enter(make_runner(n, "v1")) for n in range(5)]
        deployment.start_gateways()
        first, *others = deployment.gateways
        time.sleep(CALM_SECONDS)
        leaves = None if HAS_TROUBLE else threading.Event()
        streams = [
            Stream(first, others[:: -1 if n % 2 else 1], record, leaves)
            for n in range(STREAMS)
        ]
        for stream in streams:
            stream.start()
        time.sleep(RELEASE_AFTER_SECONDS)
        if HAS_TROUBLE:
            # A release replaces the runners one by one: the new one starts first.
            deployment.enter(make_runner(5, "v2"))
            runners[0].register("draining")
            record("release: i-5 of v2 is ready, i-0 of v1 drains")
        time.sleep(KILL_AFTER_SECONDS - RELEASE_AFTER_SECONDS)
        if HAS_TROUBLE:
            first.kill()
            record(f"{first.name} is killed")
        else:
            leaves.set()
        news = [
            Stream(others[n % len(others)], (), record, None)
            for n in range(NEW_STREAMS)
        ]
        for stream in news:
            stream.start()
            time.sleep(0.05)
        if HAS_TROUBLE:
            first.start()
        for stream in (*streams, *news):
            stream.join(2 * DEADLINE_SECONDS)
        if sum(stream.is_taken_up for stream in streams) < STREAMS_MIN:
            raise CannotRunError("too few streams were taken up")
        return judge(streams, news, record)


main(FOLDER, play)
