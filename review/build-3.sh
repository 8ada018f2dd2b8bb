#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 and up start. All of them are Python, the project's own
# (platform/standin/fleet.py) too: their sources are compiled in a temporary folder, which finds what cannot run.
set -euo pipefail
cd "$(dirname "$0")"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for source in ../platform/standin/fleet.py common3.py 1[1-5]/*.py; do
  [ -e "$source" ] || continue
  python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], cfile=sys.argv[2], doraise=True)' \
    "$source" "$folder/$(echo "$source" | tr '/' '_')c"
done
