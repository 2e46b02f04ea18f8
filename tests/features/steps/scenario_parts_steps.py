"""Steps that test how the scenarios are divided among processes."""

import sys
from pathlib import Path

from behave import then, when
from hypothesis import given as examples
from hypothesis import settings
from hypothesis import strategies as st

sys.path.append(str(Path(__file__).resolve().parents[3] / "bin"))

from scenario_parts import PART_SECONDS, Estimate, Part, divide, next_part  # noqa: E402

FEATURES = st.dictionaries(
    st.sampled_from("abcdefgh"), st.sets(st.integers(1, 400), max_size=90).map(sorted)
)
ESTIMATES = st.dictionaries(
    st.sampled_from("abcdefghij"),
    st.builds(Estimate, st.floats(0.0, 900.0), st.floats(0.0, 2000.0)),
)
PARTS = st.lists(
    st.builds(Part, st.just("a"), st.just((3,)), st.floats(1, 60), st.floats(0, 9)),
    max_size=20,
)


@when('features of "{lines}" scenarios have estimates of "{seconds}" s')
def divide_features(context, lines, seconds):
    lines_by_feature = {
        f"{count} scenarios": range(1, int(count) + 1) for count in lines.split()
    }
    estimate_by_feature = {
        feature: Estimate(float(text), float(text))
        for feature, text in zip(lines_by_feature, seconds.split(), strict=True)
        if text != "no"
    }
    context.parts = divide(lines_by_feature, estimate_by_feature)


@then('the parts start in the order "{order}"')
def check_order(context, order):
    counts = [str(len(part.lines)) for part in context.parts]
    assert counts == order.split(), counts


@then("for any features and estimates each scenario is in one part")
def check_division(context):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @examples(FEATURES, ESTIMATES)
    def check(lines_by_feature, estimate_by_feature):
        parts = divide(lines_by_feature, estimate_by_feature)
        for feature, lines in lines_by_feature.items():
            own = [part for part in parts if part.feature == feature]
            assert sorted(line for part in own for line in part.lines) == lines
            assert own
            assert len(own) == 1 or all(part.lines for part in own)
            assert all(
                part.seconds <= 2 * PART_SECONDS or len(part.lines) == 1
                for part in own
                if feature in estimate_by_feature and part.seconds != float("inf")
            )

    check()


@then("for any parts those at work fit into the processors or one is alone")
def check_processors(context):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @examples(PARTS, st.floats(0.5, 8.0), st.integers(0, 5))
    def check(parts, processors, which):
        waiting, running, started = list(parts), [], 0
        while waiting or running:
            while (part := next_part(waiting, running, processors)) is not None:
                waiting.remove(part)
                running.append(part)
                started += 1
                used = sum(part.processors for part in running)
                assert len(running) == 1 or used <= processors + 1e-6
            assert running, "nothing is started"
            running.pop(which % len(running))
        assert started == len(parts)

    check()
