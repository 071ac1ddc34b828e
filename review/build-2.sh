#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 4 to 8 start, after the build of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/stage -B review/target/stage -DCMAKE_BUILD_TYPE=Release
cmake --build review/target/stage -j8
