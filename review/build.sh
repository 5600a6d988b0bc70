#!/bin/sh
# Builds the stand-ins of the cases: they are Python and need only be checked. The programs come from the build of the
# deploy file.
set -eu
cd "$(dirname "$0")"
python3 -B - <<'PY'
import pathlib
for source in sorted(pathlib.Path(".").rglob("*.py")):
    compile(source.read_text(), str(source), "exec")
    print("checked", source)
PY
test -x ../target/runtime/bin/java && test -f ../target/micabarrow.jar || { echo "run scripts/deploy-build.sh first" >&2; exit 2; }
