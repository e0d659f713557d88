#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. They need the
# daemon from the build of the deploy file, which is made before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O2 -Wall -Wextra -pthread review/rig-3/*.cc -o target/review-3/rig
