#!/usr/bin/env bash
# Fuzzes each reader of messages with libFuzzer, which follows coverage, on a small stack. Needs clang with its runtime
# libraries (Debian: clang, libclang-rt-14-dev). Starts from the corpus in tests/fuzz/corpus and keeps what it finds in
# BUILD_FOLDER/found; inputs that fail are written to BUILD_FOLDER/failed.
# Usage: tests/fuzz.sh BUILD_FOLDER SECONDS [READER...]; SECONDS for each reader.
set -euo pipefail
build=${1:?expected a build folder}
seconds=${2:?expected the seconds for each reader}
shift 2
cd "$(dirname "$0")/.."
readers=("$@")
((${#readers[@]})) || readers=(submission heartbeat service_reply frame cell_message settings tunables)

stack_kib=1024 # the sanitizers need more than the plain tests
declare -A max_bytes=([service_reply]=1048576 [frame]=131072 [cell_message]=131072)

flags="-fsanitize=fuzzer-no-link,address,undefined -fno-omit-frame-pointer -O1 -g"
cmake -S . -B "$build" -DCMAKE_BUILD_TYPE=None -DCMAKE_C_COMPILER=clang -DCMAKE_CXX_COMPILER=clang++ \
  -DCMAKE_CXX_FLAGS="$flags" -DWINGTRAIL_TESTS=OFF -DWINGTRAIL_FUZZ=ON >/dev/null
cmake --build "$build" -j"$(nproc)" --target "${readers[@]/#/fuzz_}" >/dev/null
build=$(realpath "$build")
ulimit -s "$stack_kib"
failed=0
for reader in "${readers[@]}"; do
  mkdir -p "$build/found/$reader" "$build/failed"
  if "$build/fuzz_$reader" "$build/found/$reader" "tests/fuzz/corpus/$reader" -seed=1 -timeout=5 -rss_limit_mb=2048 \
    -max_len="${max_bytes[$reader]:-65536}" -max_total_time="$seconds" -artifact_prefix="$build/failed/$reader-" \
    >"$build/$reader.log" 2>&1; then
    echo "$reader: $(grep -E '^Done' "$build/$reader.log")"
  else
    echo "$reader: failed, see $build/$reader.log"
    failed=1
  fi
done
exit "$failed"
