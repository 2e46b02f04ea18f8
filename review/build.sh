#!/bin/sh
# Builds the stand-ins of the scripts: the review's own and the project's emulated store.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review platform/emulator
