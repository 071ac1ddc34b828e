#!/usr/bin/env bash
# Runs one case: run-case.sh NUMBER. Exit status 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 leaves the disruption out. CASE_LOG_FOLDER=FOLDER keeps the controllers' logs there.
set -u
number=${1:?expected the number of the case}
cd "$(dirname "$0")/../.." || exit 2
program=review/target/stage/case-$number
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
export RUN_COMMAND
if [ -z "$RUN_COMMAND" ] || [ ! -x "${RUN_COMMAND%% *}" ] || [ ! -x "$program" ]; then
  echo "case $number cannot run: build with the command of deploy/service.toml and review/build-2.sh first" >&2
  exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
CASE=${CASE:-review/$number} TROUBLE=${TROUBLE:-1} timeout -k 2 117 "$program"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
