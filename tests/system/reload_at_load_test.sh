#!/usr/bin/env bash
# Checks that a reload signal (SIGHUP) that arrives while the static initialisers
# run, before main(), does not end the process.
#
#     reload_at_load_test.sh BUILD
set -euo pipefail
LD_PRELOAD="$1/tests/system/libsignal_at_load.so" \
  "$1/src/hawthornwheeld/hawthornwheeld" --version >/dev/null
