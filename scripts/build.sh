#!/usr/bin/env bash
# Builds everything in release mode in build/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build | tail -1
