#!/usr/bin/env bash
# Checks that a reload signal (SIGHUP) that arrives before the settings are read
# does not end the process. The settings file is a pipe, so the process is still
# waiting for the settings when the signal is sent.
#
#     early_reload_test.sh BUILD
set -euo pipefail
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkfifo "$work/settings.ini"
"$1/src/hawthornwheeld/hawthornwheeld" --check --settings="$work/settings.ini" &
pid=$!
# Opening the pipe blocks until the process opens it for reading.
exec 3>"$work/settings.ini"
kill -HUP "$pid"
sleep 0.1
cat >&3 <<'INI'
[process]
platform = hosted
name = a
domain = north
[peers]
address = 127.0.0.1:1
[callers]
address = 127.0.0.1:2
[ready]
address = 127.0.0.1:3
[platform]
address = 127.0.0.1:4
INI
exec 3>&-
wait "$pid"
