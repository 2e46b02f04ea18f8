"""Steps for days of faults that are drawn from seeds."""

import hashlib
import json
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import then, when
from emulator.chunks import SIZE_FORMATS
from emulator.hunt.days import draw_chunk_spellings, draw_day
from emulator.hunt.later_kinds import LATER_KINDS, NEWEST_KINDS

ROOT = Path(__file__).resolve().parent.parent.parent.parent
HUNT_TIMEOUT_SECONDS = 240


@when("the hunt plays {count:d} days from seed {first:d}, all at once")
def play_days(context, count, first):
    context.folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    command = [sys.executable, "-m", "emulator.hunt", "--out", context.folder]
    command += ["--seeds", str(count), "--first", str(first), "--jobs", str(count)]
    context.seeds = range(first, first + count)
    context.hunt = subprocess.run(
        command,
        cwd=ROOT / "platform",
        text=True,
        stdout=subprocess.PIPE,
        timeout=HUNT_TIMEOUT_SECONDS,
    )


@then("all days kept the rules")
def check_kept(context):
    assert context.hunt.returncode == 0, context.hunt.stdout


@then("the report has a row for each kind of fault and each route, and a plot")
def check_report(context):
    table = (context.folder / "report.txt").read_text(encoding="utf-8")
    rows = {line[:35].strip() for line in table.splitlines()}
    expected = {"+".join(draw_day(seed).kinds) for seed in context.seeds}
    expected |= {f"route {name}" for name in ("safe", "resume", "once", "job")}
    assert expected <= rows, (expected, rows)
    assert (context.folder / "requests.png").stat().st_size > 0


@then("the days of seeds {first:d} to {last:d} are the same when drawn again")
def check_same(context, first, last):
    context.days = [draw_day(seed) for seed in range(first, last + 1)]
    assert context.days == [draw_day(seed) for seed in range(first, last + 1)]


@then("they have every kind of fault alone and beside others")
def check_kinds(context):
    all_kinds = {kind for day in context.days for kind in day.kinds}
    alone = {day.kinds[0] for day in context.days if len(day.kinds) == 1}
    paired = {kind for day in context.days if len(day.kinds) == 2 for kind in day.kinds}
    assert len(all_kinds) == 10 and alone == paired == all_kinds, (alone, paired)


@then('the days of seeds {first:d} to {last:d} have the digest "{digest}"')
def check_digest(context, first, last, digest):
    rows = [draw_day(seed).describe() for seed in range(first, last + 1)]
    text = json.dumps(rows, sort_keys=True)
    assert hashlib.sha256(text.encode()).hexdigest().startswith(digest)


@then("these seeds have these faults")
def check_recorded(context):
    for row in context.table:
        faults = draw_day(int(row["seed"])).faults
        texts = [f"{type(fault).__name__} at {fault.at}" for fault in faults]
        places = [getattr(fault, "place", "") for fault in faults]
        pairs = zip(texts, places, strict=True)
        found = "; ".join(", ".join(filter(None, pair)) for pair in pairs)
        assert found == row["faults"], found


@then("all days of seeds {first:d} to {last:d} have a new kind of fault")
def check_later(context, first, last):
    context.days = [draw_day(seed) for seed in range(first, last + 1)]
    context.later = {kind.__name__ for kind in LATER_KINDS}
    assert all(context.later & set(day.kinds) for day in context.days)


@then("{low:d} to {high:d} of them have a second kind, all new and old ones among them")
def check_second(context, low, high):
    paired = [day for day in context.days if len(day.faults) == 2]
    assert low <= len(paired) <= high, len(paired)
    old = {kind for seed in range(100) for kind in draw_day(seed).kinds}
    kinds = {kind for day in paired for kind in day.kinds}
    assert kinds == old | context.later, kinds


@then(
    "all days of seeds {first:d} to {last:d} have a newest kind of fault, each of them "
    "alone"
)
def check_newest(context, first, last):
    context.days = [draw_day(seed) for seed in range(first, last + 1)]
    newest = {kind.__name__ for kind in NEWEST_KINDS}
    assert all(newest & set(day.kinds) for day in context.days)
    alone = {day.kinds[0] for day in context.days if len(day.faults) == 1}
    assert alone == newest, alone


@then(
    'some of them are beside each other newest, later and first kind but "{excluded}"'
)
def check_beside(context, excluded):
    old = {kind for seed in range(100) for kind in draw_day(seed).kinds}
    later = {kind.__name__ for kind in (*LATER_KINDS, *NEWEST_KINDS)}
    paired = {
        kind for day in context.days if len(day.faults) == 2 for kind in day.kinds
    }
    assert paired == (old | later) - {excluded}, paired


@then('all days of seeds {first:d} to {last:d} have the kind "{kind}"')
def check_kind(context, first, last, kind):
    context.days = [draw_day(seed) for seed in range(first, last + 1)]
    assert all(kind in day.kinds for day in context.days)


@then("{low:d} to {high:d} of them have a second kind, of {count:d} kinds in all")
def check_second_kinds(context, low, high, count):
    paired = [day for day in context.days if len(day.faults) == 2]
    assert low <= len(paired) <= high, len(paired)
    kinds = {kind for day in context.days for kind in day.kinds}
    assert len(kinds) == count, sorted(kinds)


@then("they draw all spellings of sizes")
def check_spellings(context):
    drawn = [draw_chunk_spellings(day.seed) for day in context.days]
    assert {spelling for row in drawn for spelling in row} == set(SIZE_FORMATS)
    assert drawn == [draw_chunk_spellings(day.seed) for day in context.days]


@then("responses in chunks were cut on each of these days")
def check_cuts(context):
    for seed in context.seeds:
        path = context.folder / f"seed-{seed}.json"
        assert json.loads(path.read_text(encoding="utf-8"))["chunk_cuts"], seed
