#!/usr/bin/env bash
# The platform's own words appear in platform/ and deploy/ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
words='X-Dogwoodlatch-(Prompt|Cache|Expect|Response-Seal|Kv|Token|Model|Pin|Hold|Not-Run|Instance|Tenant|Weight|Request-Priority)|Kv-From|kv_store|slo_ms|api_keys|max_inflight|cold_left_ms|kv-events|/dogwoodlatch/(order|report|objects|readyz)'
if git grep -nE "$words" -- src testsuite; then
  echo "these words belong into platform/" >&2
  exit 1
fi
