#!/usr/bin/env bash
# Checks everything that the scripts start besides the daemons. The stand-ins, the project's own included
# (platform/standin/fleet.py), are Python programs without dependencies, so there is nothing to compile for them.
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or later is needed" >&2; exit 1; }
PYTHONPYCACHEPREFIX=$out python3 -m py_compile platform/standin/fleet.py review/harness.py review/*/case.py
echo "the stand-ins are ready"
