#!/usr/bin/env bash
# Checks how a running process takes changed figures on SIGHUP: it applies a
# fraction (review/10), keeps the previous settings when the file has faults, shows
# them in its dump as long as the file would prevent the next start, and recovers.
#
#     refused_reload_test.sh BUILD
set -euo pipefail
build=$1
. "$(dirname "$0")/fleet.sh"

# write_settings DRAIN_TIME
write_settings() {
  cat >"$work/settings.ini" <<INI
[process]
platform = hosted
name = a
domain = north
drain_time = $1
[peers]
address = 127.0.0.1:0
[callers]
address = 127.0.0.1:0
[ready]
address = 127.0.0.1:0
[platform]
address = 127.0.0.1:1
INI
}

# await_dump REGEX: asks for dumps until one matches, for up to about 10 s.
await_dump() {
  for _ in $(seq 100); do
    kill -USR1 "$pid"
    sleep 0.1
    if tail -1 "$work/dumps" | grep -qE "$1"; then return 0; fi
  done
  echo "no dump with '$1'" >&2
  tail -1 "$work/dumps" >&2
  return 1
}

write_settings 6s
"$build/src/hawthornwheeld/hawthornwheeld" --settings="$work/settings.ini" \
  >"$work/log" 2>"$work/dumps" &
pid=$!
pids+=("$pid")
await "$work/log" 'Started\.'

write_settings 6.5s
kill -HUP "$pid"
await "$work/log" 'Settings are reloaded\..*drain_ms=6500'
await_dump '"refused_settings":\[\]'

write_settings -6s
kill -HUP "$pid"
await "$work/log" 'cannot start with these\..*process\.drain_time'
await_dump '"refused_settings":\["[^"]*process\.drain_time'

write_settings 7s
kill -HUP "$pid"
await "$work/log" 'Settings are reloaded\..*drain_ms=7000'
await_dump '"refused_settings":\[\]'
