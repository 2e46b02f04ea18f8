"""Steps for the entrances of the emulated store."""

from concurrent.futures import ThreadPoolExecutor

import urllib3
from behave import given, then, when
from emulator.entrances import StoreEntrance
from emulator.fleet import wait_until
from emulator.store import EmulatedStore

ANSWER_SECONDS = 10.0
SILENT_SECONDS = 2.0


def _call(entrance, query="", seconds=ANSWER_SECONDS):
    """Return the status of a call, None without an answer."""
    url = f"http://{entrance.address}/v1/objects/config{query}"
    try:
        return urllib3.request("GET", url, timeout=seconds, retries=False).status
    except urllib3.exceptions.TimeoutError:
        return None


@given("an emulated store with {count:d} entrances")
def given_entrances(context, count):
    context.store = context.stack.enter_context(EmulatedStore())
    context.entrances = [
        context.stack.enter_context(StoreEntrance(context.store)) for _ in range(count)
    ]


@when("entrance 0 is silent while a watch waits there, and a document changes")
def watch_both(context):
    revision = context.store.put("config", "main", {})
    query = f"?Watch={revision}&WaitMs=5000"
    with ThreadPoolExecutor(2) as pool:
        calls = [
            pool.submit(_call, entrance, query, seconds)
            for entrance, seconds in zip(
                context.entrances, (SILENT_SECONDS, ANSWER_SECONDS), strict=True
            )
        ]
        is_waiting = lambda: context.store.waiting_count("config") == 2  # noqa: E731
        wait_until(is_waiting, SILENT_SECONDS, "both watches wait")
        context.entrances[0].set_silent(True)
        context.store.put("config", "main", {"Version": 1})
        context.watched = [call.result() for call in calls]


@then(
    "the watch and new calls at entrance 0 get no answer, those at entrance 1 get one"
)
def check_silent(context):
    assert context.watched == [None, 200], context.watched
    silent, sound = context.entrances
    assert _call(silent, seconds=SILENT_SECONDS) is None
    assert _call(sound) == 200


@then("entrance 0 refuses calls with 429 while it shall, and answers them afterwards")
def check_refusal(context):
    entrance = context.entrances[0]
    entrance.set_silent(False)
    entrance.set_refusal(429)
    assert _call(entrance) == 429
    entrance.set_refusal(None)
    assert _call(entrance) == 200
