#!/usr/bin/env bash
# Upgrade test: builds the version that runs in production (deploy/service.toml) from the git history, and upgrades three
# controller processes from it to the current version over real sockets, with injected faults.
# Usage: tests/upgrade.sh BUILD_FOLDER [SEEDS [SECONDS]]
set -euo pipefail
build=$(realpath "${1:?expected the folder that holds process_cluster and wingtrail}")
cd "$(dirname "$0")/.."
commit=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/service.toml)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
git archive "$commit" | tar -x -C "$work"
cmake -S "$work" -B "$work/build" -DCMAKE_BUILD_TYPE=Release -DWINGTRAIL_TESTS=OFF >/dev/null
cmake --build "$work/build" -j"$(nproc)" >/dev/null
failed=0
for ((seed = 1; seed <= ${2:-3}; ++seed)); do
  "$build/process_cluster" --program "$build/wingtrail" --tunables deploy/tunables.yaml --former "$work/build/wingtrail" --seed "$seed" \
    --seconds "${3:-180}" --troubles 12 || failed=$((failed + 1))
done
echo "$((${2:-3} - failed)) passed, $failed failed"
((failed == 0))
