#!/usr/bin/env bash
# The platform's own words appear in platform/ and deploy/ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
# X-Dogwoodlatch-Outcome is the header of the product's own door, which the platform does not know.
words='X-Dogwoodlatch-(?!Outcome\b)|Kv-From|kv_store|slo_ms|api_keys|max_inflight|cold_left_ms|kv-events|/dogwoodlatch/(order|report|objects|readyz)'
status=0
git grep -niP "$words" -- src testsuite || status=$?
case $status in
  0) echo "these words belong into platform/" >&2 && exit 1 ;;
  1) ;;
  *) echo "the search itself failed" >&2 && exit "$status" ;;
esac
