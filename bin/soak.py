"""Runs long randomised tests of the decision state machines, one after another."""

import argparse
import importlib
import sys
from pathlib import Path

SOAK_FOLDER = Path(__file__).resolve().parent.parent / "tests" / "soak"


def main():
    """Call `run(seed, minutes)` of each test with an equal share of the minutes."""
    tests = sorted(path.stem for path in SOAK_FOLDER.glob("[a-z]*.py"))
    parser = argparse.ArgumentParser(description="long randomised runs")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=5.0)
    parser.add_argument("--only", choices=tests, action="append")
    options = parser.parse_args()
    sys.path.insert(0, str(SOAK_FOLDER))
    chosen = options.only or tests
    for test in chosen:
        share = options.minutes / len(chosen)
        print(f"{test}: seed {options.seed}, {share:.2f} minutes", flush=True)
        outcome = importlib.import_module(test).run(options.seed, share)
        print(f"{test}: done, {outcome}", flush=True)


if __name__ == "__main__":
    main()
