#!/usr/bin/env bash
# Checks that names of the platform's interface appear only in platform/ and deploy/.
set -euo pipefail
cd "$(dirname "$0")/.."
# X-Dogwoodlatch-Outcome is excepted: it is a header of the product's own HTTP front end, not of the platform.
words='X-Dogwoodlatch-(?!Outcome\b)|Kv-From|kv_store|slo_ms|api_keys|max_inflight|Store-Era|Server-Leaving|cold_left_ms|kv-events|/dogwoodlatch/(order|report|objects|readyz)'
status=0
git grep -niP "$words" -- src testsuite || status=$?
case $status in
  0) echo "platform names found outside platform/ and deploy/" >&2 && exit 1 ;;
  1) ;;
  *) echo "git grep failed" >&2 && exit "$status" ;;
esac
