#!/usr/bin/env bash
# Sets everything up, builds, checks format and lint, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh
scripts/check.sh
ctest --test-dir build --output-on-failure -j "$(nproc)"
