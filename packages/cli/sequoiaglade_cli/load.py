"""Load command: runs a load scenario against a fleet and compares results.

The comparison reads result files: the output of ``load --output json``, or the output
of ``sequoiaglade_bench standing``, which contains several named results. A name after a
``#`` selects one of them, as in ``standing.json#restockers/online with batch``; without
a name, all of them are shown.

The load generator is the package ``sequoiaglade_bench``. It is imported only when a run
is requested, because callers and operators may not have it installed.
"""

import json
import sys

from .client import EXIT_USAGE, Problem, Reply
from .output import format_table

_NAME_SEPARATOR = "#"
_COLUMNS = ("batch items/s", "first token p99 ms", "worst served", "refused in rate")


def load(client, options):
    """Run a load scenario against a fleet, or compare results side by side."""
    if options.compare:
        return _compare(options.compare, options.output)
    if options.scenario is None or options.fleet is None:
        return Problem(EXIT_USAGE, "load requires a scenario and --fleet, or --compare")
    try:
        from sequoiaglade_bench.load import LoadRun, Target
        from sequoiaglade_bench.scenario import read_scenario
    except ImportError:
        return Problem(EXIT_USAGE, "load requires the package sequoiaglade-bench")
    texts = [_read(options.scenario), _read(options.fleet)]
    for text in texts:
        if isinstance(text, Problem):
            return text
    scenario = read_scenario(texts[0])
    if isinstance(scenario, list):
        lines = [f"{options.scenario}:{f.line}: {f.path}: {f.reason}" for f in scenario]
        return Problem(EXIT_USAGE, "\n".join(lines))
    try:
        fleet = json.loads(texts[1])
        target = Target(
            fleet["nodes"], fleet["keys"], fleet["platform"], tuple(fleet["endpoints"])
        )
    except (ValueError, KeyError, TypeError) as error:
        return Problem(
            EXIT_USAGE, f"{options.fleet}: not a fleet description: {error!r}"
        )
    result = LoadRun(scenario, target).run(lambda text: print(text, file=sys.stderr))
    return Reply(result if options.output == "json" else [_row(result)])


def _compare(sources, output):
    """Show results side by side, each with its ratios to the first result."""
    rows = []
    first = None
    for source in sources:
        path, _, name_filter = source.partition(_NAME_SEPARATOR)
        text = _read(path)
        if isinstance(text, Problem):
            return text
        try:
            results_by_name = _results(json.loads(text))
            if name_filter and name_filter not in results_by_name:
                names = ", ".join(sorted(filter(None, results_by_name)))
                return Problem(
                    EXIT_USAGE,
                    f"{path}: no result {name_filter!r}; it contains {names}",
                )
            for name in [name_filter] if name_filter else results_by_name:
                result = results_by_name[name]
                first = first or result
                label = path + _NAME_SEPARATOR + name if name else path
                rows.append({"result": label} | _row(result) | _ratios(result, first))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return Problem(EXIT_USAGE, f"{path}: not a load result: {error!r}")
    if output == "json":
        return Reply(rows)
    print(format_table(rows))
    return Reply(None)


def _results(value):
    """Return the results of a file by name; the name of a single result is empty.

    >>> sorted(_results({"standing": {"yard": {"alone": {"batch": 1}}}}))
    ['yard/alone']
    """
    if "standing" not in value:
        return {"": value}
    return {
        f"{deployment}/{name}": result
        for deployment, results in value["standing"].items()
        for name, result in results.items()
    }


def _ratios(result, first):
    own, base = (
        (r["batch"]["items_per_second"], r["online"]["first_token"]["p99_ms"])
        for r in (result, first)
    )
    values = (round(a / b, 2) if b else None for a, b in zip(own, base))
    return dict(zip(("batch ratio", "p99 ratio"), values))


def _row(result):
    worst = result["worst_served"]
    worst_text = f"{worst['workspace']} {worst['share']:.2f}" if worst else None
    values = (
        round(result["batch"]["items_per_second"], 1),
        result["online"]["first_token"]["p99_ms"],
        worst_text,
        result["refused_inside_rate"],
    )
    return dict(zip(_COLUMNS, values))


def _read(path):
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        return Problem(EXIT_USAGE, f"{path}: can't be read: {error}")
