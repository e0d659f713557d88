#!/usr/bin/env bash
# Installs the dependencies, builds, and demonstrates the dispatcher with
# stand-ins: three dispatchers in two failure domains, from published service
# files to answered jobs.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh

bin=build/src
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT

say() { printf '\n== %s\n' "$*"; }

# await FILE REGEX: waits until a line matches and prints the first match.
await() {
  for _ in $(seq 200); do
    if grep -m1 -E "$2" "$1" 2>/dev/null; then return 0; fi
    sleep 0.05
  done
  echo "no line '$2' in $1" >&2
  cat "$1" >&2
  return 1
}

say "Stand-ins: the platform and two endpoints in each failure domain"
build/tests/standins/platform_standin >"$work/platform" & pids+=($!)
build/tests/standins/endpoint_standin 2 >"$work/north" & pids+=($!)
build/tests/standins/endpoint_standin 2 2 >"$work/south" & pids+=($!)
platform=$(await "$work/platform" .)
for domain in north south; do
  for _ in $(seq 100); do [ "$(wc -l <"$work/$domain")" -eq 3 ] && break; sleep 0.05; done
done
echo "platform at $platform"

say "Three dispatchers in two failure domains"
# start NAME DOMAIN: starts a dispatcher; sets NAME_pid, with _ instead of -.
start() {
  cat >"$work/$1.ini" <<INI
[process]
name = $1
domain = $2
[fleet]
cluster = demo
heartbeat_interval = 200ms
heartbeat_timeout = 1s
poll_interval = 200ms
[platform]
address = $platform
[peers]
address = 127.0.0.1:0
[callers]
address = 127.0.0.1:0
[admin]
address = 127.0.0.1:0
INI
  "$bin/hawthornwheeld/hawthornwheeld" --settings="$work/$1.ini" >"$work/$1.log" 2>&1 &
  pids+=($!)
  printf -v "${1/-/_}_pid" %s "$!"
}
start entry-a north
start entry-b north
start entry-c south
# address_of NAME callers|admin
address_of() { await "$work/$1.log" 'Started\.' | sed "s/.* $2=\([^ ]*\).*/\1/"; }
a=$(address_of entry-a callers); b=$(address_of entry-b callers); c=$(address_of entry-c callers)
admin=$(address_of entry-a admin)
echo "callers at $a (north), $b (north), $c (south)"

say "Service files"
mkdir "$work/services"
# list NAME: endpoint addresses as a service file lists them; NAME is also the
# failure domain.
list() { sed -n "2,3s/\$/@$1/p" "$work/$1" | paste -sd, ; }
sed "s/@ENDPOINTS@/$(list north), $(list south)/" examples/services/booking.ini >"$work/services/booking.ini"
sed "s/@ENDPOINTS@/$(list north), $(list south)/" examples/services/ledger.ini >"$work/services/ledger.ini"
ctl="$bin/hawthornwheelctl/hawthornwheelctl"
"$ctl" check "$work/services"
"$ctl" publish "$work/services" --platform="$platform" --operator_name=demo
await "$work/entry-c.log" 'configuration is in force' >/dev/null
sleep 1

# submit ADDRESS TEAM SERVICE TASKS [FLAG ...]
submit() { "$ctl" submit --entry="$1" --team="$2" --service="$3" --tasks="$4" "${@:5}" || true; }
say "A job of three tasks"
submit "$a" laundry booking 'run=50;say=washer 1 is free,run=80;say=washer 2 is taken,run=20;say=washer 3 is free' --urgency=urgent
say "A job in the other failure domain"
submit "$c" drawers ledger 'run=50;say=drawer 17 is in row 4'
say "The same key submitted twice, the second time to another process: one run"
key="$(curl -s "http://$a/v1/prefix" | sed 's/.*:"\(.*\)".*/\1/')visit-1"
submit "$a" laundry booking 'run=100;say=booked' --key="$key"
submit "$c" laundry booking 'run=100;say=booked' --key="$key"
say "A refusal: unknown service"
submit "$b" laundry washing 'run=10'
say "A cancellation"
key="$(curl -s "http://$b/v1/prefix" | sed 's/.*:"\(.*\)".*/\1/')visit-2"
submit "$b" laundry booking 'run=5000;say=never' --key="$key" & submit_pid=$!
sleep 0.3
"$ctl" cancel "$key" --entry="$b" || true
wait "$submit_pid"
say "A planned stop of entry-b while a job is running"
submit "$b" laundry booking 'run=1500;say=finished in peace' & submit_pid=$!
sleep 0.3
kill -TERM "$entry_b_pid"
submit "$b" laundry booking 'run=10'
wait "$submit_pid"
wait "$entry_b_pid" && echo "entry-b exited with 0"

say "Task starts counted by the endpoints"
for domain in north south; do
  echo "$domain: $(curl -s "http://$(head -1 "$work/$domain")/counts")"
done
say "The state of all processes"
"$ctl" status --admin="$admin"
for process in entry-a entry-c; do
  "$ctl" dump "$(address_of $process admin)" | head -c 1500
  echo ...
done
