#!/usr/bin/env bash
# Installs those packages named on the command line that are missing.
set -euo pipefail
missing=()
for package in "$@"; do
  status=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
  [ "$status" = "install ok installed" ] || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
sudo_command=()
[ "$(id -u)" -eq 0 ] || sudo_command=(sudo)
export DEBIAN_FRONTEND=noninteractive
"${sudo_command[@]}" apt-get update -qq
"${sudo_command[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
