#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/8: they are Python programs without dependencies, so they are only compiled
# as a check, into a temporary folder. Run after the build of the deploy file; needs no network.
set -eu
cd "$(dirname "$0")"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
PYTHONPYCACHEPREFIX="$out" python3 -m compileall -q standins-2 $(ls -d [4-8] 2>/dev/null)
python3 -c 'import asyncio, tomllib'
