"""The table of times at the end of a run of the scenarios."""

from collections import defaultdict

LONGEST_SCENARIOS = 15


def table(results):
    """Return lines with the times by feature, the longest first, then of scenarios.

    The seconds of a feature are the sum over its processes; those of a scenario are its
    steps alone, without the end of its processes. Processor seconds are those of the
    behave processes and of all processes that they have waited for.
    """
    by_feature = defaultdict(list)
    for result in results:
        by_feature[result.part.feature].append(result)
    rows = sorted(by_feature.items(), key=lambda row: -_seconds(row[1]))
    lines = ["  seconds  processor s  processes  scenarios  feature"]
    for feature, parts in rows:
        count = sum(len(result.outcomes) for result in parts)
        used = sum(result.processor_seconds for result in parts)
        figures = f"{_seconds(parts):9.1f}  {used:11.1f}  {len(parts):9}  {count:9}"
        lines.append(f"{figures}  {feature}")
    lines.append("  seconds  longest scenarios")
    outcomes = [
        (outcome.seconds, outcome.name, feature)
        for feature, parts in rows
        for result in parts
        for outcome in result.outcomes
    ]
    for seconds, name, feature in sorted(outcomes, reverse=True)[:LONGEST_SCENARIOS]:
        lines.append(f"{seconds:9.1f}  {name} ({feature})")
    return lines


def _seconds(results):
    return sum(result.seconds for result in results)
