"""Command ``python -m sequoiaglade_bench``: run one benchmark, or all of them."""

import argparse
import importlib
import json
import pkgutil
import sys


def main(arguments=None):
    """Run the named benchmark, or all; print the results as JSON."""
    names = sorted(_benchmark_names())
    parser = argparse.ArgumentParser(
        description="benchmarks, compared by ratios within one run"
    )
    parser.add_argument("name", nargs="?", choices=(*names, "all"), default="all")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    options = parser.parse_args(arguments)
    chosen = names if options.name == "all" else [options.name]
    for name in chosen:
        module = importlib.import_module(f"{__package__}.{name}")
        print(json.dumps({name: module.run(options)}, indent=2), flush=True)
    return 0


def _benchmark_names():
    package = sys.modules[__package__]
    for module in pkgutil.iter_modules(package.__path__):
        if module.name in _HELPER_MODULES or module.name.startswith("_"):
            continue
        yield module.name


_HELPER_MODULES = (
    "fake_clock",
    "limits_designs",
    "limits_fakes",
    "limits_fleet",
    "limits_traffic",
    "load",
    "processes",
    "scenario",
)


if __name__ == "__main__":
    sys.exit(main())
