"""Counts lines of code: tests relative to code, the decisions' share, and large files.

Blank lines and generated code are not counted. docs/DEVELOPING.md quotes the shares.
"""

from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LARGE_FILE_LINES = 400
GENERATED_SUFFIXES = ("_pb2.py", "_pb2_grpc.py")
DECISION_FOLDERS = {
    "decisions": (
        "configuration",
        "gateway",
        "idempotency",
        "jobs",
        "limits",
        "membership",
        "poison",
        "retries",
        "routing",
    ),
    "node": ("actors", "batch", "peers"),
    "platform": ("",),
}


def main():
    """Print the counts as a small table."""
    packages = _count(ROOT / "packages") + _count(ROOT / "bin")
    tests = _count(ROOT / "tests", "*.py") + _count(ROOT / "tests", "*.feature")
    decisions = sum(
        _count(ROOT / "packages" / package / f"sequoiaglade_{package}" / part)
        for package, parts in DECISION_FOLDERS.items()
        for part in parts
    )
    print(f"code lines            {packages}")
    share = f"{tests / (packages + tests):.0%} of all, {tests / packages:.0%} of code"
    print(f"test lines            {tests}  ({share})")
    print(f"routing to recovery   {decisions}  ({decisions / packages:.0%} of code)")
    for path in _files(ROOT / "packages", "*.py"):
        lines = len(path.read_text(encoding="utf-8").splitlines())
        if lines > LARGE_FILE_LINES:
            print(f"over {LARGE_FILE_LINES} lines: {path.relative_to(ROOT)} ({lines})")


def _files(folder, pattern):
    return [
        p
        for p in sorted(folder.rglob(pattern))
        if not p.name.endswith(GENERATED_SUFFIXES)
    ]


def _count(folder, pattern="*.py"):
    texts = (path.read_text(encoding="utf-8") for path in _files(folder, pattern))
    return sum(1 for text in texts for line in text.splitlines() if line.strip())


if __name__ == "__main__":
    main()
