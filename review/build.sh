#!/bin/sh
# Builds the stand-ins and the cases of the review in target/review/. Needs the
# packages of the deploy file only.
set -e
cd "$(dirname "$0")/.."
cmake -S review -B target/review -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review -j4
