# Stages of the CI script, which may run side by side: each writes its output to a file of its own.
# shellcheck shell=bash

stage_dir=${stage_dir:?the folder of the logs}
mkdir -p "$stage_dir"
rm -f "$stage_dir"/*.log "$stage_dir"/*.status

# run_stage NAME COMMAND...: returns the exit code of the command.
run_stage() {
  local name=$1 start=$SECONDS code=0
  shift
  "$@" >"$stage_dir/$name.log" 2>&1 || code=$?
  echo "$code" >"$stage_dir/$name.status"
  echo "stage $name: exit code $code after $((SECONDS - start)) s"
  return "$code"
}

# print_stages NAME...: prints the logs in this order.
print_stages() {
  local name
  for name in "$@"; do
    echo "=== $name"
    cat "$stage_dir/$name.log"
  done
}

# failed_stages NAME...: prints the names of stages that failed or did not run.
failed_stages() {
  local name
  for name in "$@"; do
    [ "$(cat "$stage_dir/$name.status" 2>/dev/null)" = 0 ] || echo "$name"
  done
}

# finish NAME...: prints the logs of the stages that ran; returns 1 if any stage failed or did not run.
finish() {
  local name failed
  for name in "$@"; do
    [ ! -e "$stage_dir/$name.log" ] || print_stages "$name"
  done
  failed=$(failed_stages "$@" | paste -sd' ')
  if [ -n "$failed" ]; then
    echo "ci: stages that failed or did not run: $failed"
    return 1
  fi
  echo "ci: all stages passed"
}
