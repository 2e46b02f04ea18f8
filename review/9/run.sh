#!/bin/sh
# Exit code: 1 the rule is broken, 0 it holds, 2 the case could not run.
cd "$(dirname "$0")/../.."
packages=$(printf '%s:' packages/*)
PYTHONPATH="target/deps:review:platform:$packages" exec python3 review/9/public.py
