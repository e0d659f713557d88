#!/usr/bin/env bash
# Checks format, lint and house rules. Needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
sources() { git ls-files '*.cc' '*.h' | grep -v '\.pb\.'; }

sources | xargs clang-format --dry-run --Werror

# The decision code knows no socket, no HTTP and no clock of the machine.
decisions='fleet dispatch catalog cluster runs jobs'
if for library in $decisions; do ls src/libs/"$library"/*.*; done |
    xargs grep -nE '#include <(libsoup|zmq|gio|glib|sys/socket|time\.h)'; then
  echo "the libraries $decisions must not include the headers above" >&2
  exit 1
fi

# Only the adapter knows the names of the users' platform.
if sources | grep '^src/' | xargs grep -nE \
    'run-start|run-stop|jobSpec|endedRuns|ackedSeq|untilMs|bestEffort|checkpointData|log-(append|read|newest|trim)|keyed\.(op|servers)'; then
  echo "names of the users' platform belong into platform/" >&2
  exit 1
fi
if sources | grep '^src/' | grep -v 'base/glib_clock.cc' |
    xargs grep -nE 'clock_gettime|g_get_(monotonic|real)_time|steady_clock::now|system_clock::now'; then
  echo "only GlibClock may ask the machine for the time" >&2
  exit 1
fi
if git grep -nE '^(class|struct) ' -- 'src/*.h' ':!*.pb.h' |
    grep -E ':class [A-Za-z]+( final)?( :|  *\{)' | cut -d: -f1 | sort | uniq -d | grep .; then
  echo "a header holds one class" >&2
  exit 1
fi

# The compile commands are those of GCC.
sources | grep -E '^(src|platform)/.*\.cc$' |
  xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet \
    --extra-arg=-Wno-unknown-warning-option 2>/dev/null
