#!/usr/bin/env bash
# Checks format, lint and project rules (see CONTRIBUTING.md). Needs a configured
# build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
sources() { git ls-files '*.cc' '*.h' | grep -v '\.pb\.'; }

sources | xargs clang-format --dry-run --Werror

# The decision code must not use sockets, HTTP or the system clock.
decisions='fleet dispatch catalog cluster runs jobs'
if for library in $decisions; do ls src/libs/"$library"/*.*; done |
    xargs grep -nE '#include <(libsoup|zmq|gio|glib|sys/socket|time\.h)'; then
  echo "the libraries $decisions must not include the headers above" >&2
  exit 1
fi

# Only the adapter in platform/ may use names of the users' platform.
if sources | grep '^src/' | xargs grep -nE \
    'run-start|run-stop|jobSpec|endedRuns|ackedSeq|untilMs|bestEffort|checkpointData|log-(append|read|newest|trim)|keyed\.(op|servers)'; then
  echo "names of the users' platform may be used only in platform/" >&2
  exit 1
fi
if sources | grep '^src/' | grep -v 'base/glib_clock.cc' |
    xargs grep -nE 'clock_gettime|g_get_(monotonic|real)_time|steady_clock::now|system_clock::now'; then
  echo "only GlibClock may read the system clock" >&2
  exit 1
fi
if git grep -nE '^(class|struct) ' -- 'src/*.h' ':!*.pb.h' |
    grep -E ':class [A-Za-z]+( final)?( :|  *\{)' | cut -d: -f1 | sort | uniq -d | grep .; then
  echo "a header must not define more than one class" >&2
  exit 1
fi

# The compile commands are those of GCC, so clang does not know all warning
# options in them.
sources | grep -E '^(src|platform)/.*\.cc$' |
  xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet \
    --extra-arg=-Wno-unknown-warning-option 2>/dev/null
