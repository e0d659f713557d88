#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the cases from 6 on, in build-review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/rig-2 -B build-review-2 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build-review-2 -j4
