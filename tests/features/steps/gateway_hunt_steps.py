"""Steps for days of faults that are drawn from seeds."""

import subprocess
import sys
import tempfile
from pathlib import Path

from behave import then, when
from emulator.hunt.days import draw_day

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
