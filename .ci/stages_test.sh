#!/usr/bin/env bash
# Checks the stages of the CI script: a failing stage, also one that runs beside others, fails the run.
set -euo pipefail
cd "$(dirname "$0")"
stage_dir=$(mktemp -d)
trap 'rm -rf "$stage_dir"' EXIT
source ./stages.sh

check() { # DESCRIPTION EXPECTED ACTUAL
  [ "$2" = "$3" ] || { echo "$1: expected '$2', got '$3'"; exit 1; }
}
code_of() {
  local code=0
  "$@" >"$stage_dir/finish.out" || code=$?
  echo "$code"
}

run_stage good echo from good >/dev/null
check "all pass" 0 "$(code_of finish good)"
check "last line" "ci: all stages passed" "$(tail -n 1 "$stage_dir/finish.out")"

# Guards against a run that passes although a stage that ran beside others has failed.
run_stage broken bash -c 'echo from broken >&2; exit 3' >/dev/null &
run_stage good bash -c 'sleep 0.1; echo from good' >/dev/null
wait $! || true
check "a stage fails beside another" 1 "$(code_of finish broken good)"
check "both logs, whole and in order" "=== broken,from broken,=== good,from good" \
  "$(head -n 4 "$stage_dir/finish.out" | paste -sd,)"
check "the failing stage is named" "ci: stages that failed or did not run: broken" \
  "$(tail -n 1 "$stage_dir/finish.out")"

# Guards against a run that passes although a stage never ran.
check "a stage did not run" 1 "$(code_of finish good missing)"
check "the missing stage is named" "ci: stages that failed or did not run: missing" \
  "$(tail -n 1 "$stage_dir/finish.out")"
