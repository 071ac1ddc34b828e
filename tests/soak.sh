#!/usr/bin/env bash
# Soak runs of three controller processes with overlapping faults, several seeds at a time.
# Usage: tests/soak.sh BUILD_FOLDER FIRST COUNT [OPTION...]; the options go to process_cluster, such as --workers 300
# --max-connections 200. Prints the result of each seed; exit status 1: a seed failed.
set -euo pipefail
build=$(realpath "${1:?expected the folder that holds process_cluster and wingtrail}")
first=${2:?expected the first seed}
count=${3:?expected the number of seeds}
shift 3
cd "$(dirname "$0")/.."
parallel=${SOAK_PARALLEL:-6}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

soak() { # SEED OPTION...
  local seed=$1
  shift
  if LOG_LEVEL=error timeout 200 "$build/process_cluster" --program "$build/wingtrail" --tunables deploy/tunables.yaml --soak --nested-bodies \
    --seconds 80 --seed "$seed" "$@" >"$work/$seed" 2>&1; then
    echo "passed $(tail -1 "$work/$seed")"
  else
    echo "failed seed $seed: $(grep -vE ' (info|warning) ' "$work/$seed" | head -3 | tr '\n' ' ')"
  fi
}
export -f soak
export build work
seq "$first" $((first + count - 1)) | xargs -P "$parallel" -I{} bash -c 'soak "$@"' bash {} "$@" | tee "$work/results"
echo "$(grep -c '^passed' "$work/results" || true) passed, $(grep -c '^failed' "$work/results" || true) failed"
! grep -q '^failed' "$work/results"
