#!/bin/bash
# Builds the stand-ins and the programs of the cases into review/target, with the packages of deploy/service.toml alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/target
for source in review/[0-9]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "review/target/case$number"
done
