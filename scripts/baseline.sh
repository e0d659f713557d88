#!/usr/bin/env bash
# Measures two real dispatchers on loopback with 20, 50 and 80% of the slots in
# use: response time relative to the ideal, messages and processor time per task,
# and peak memory. SECONDS is the length of each load.
#
#     baseline.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
build=build
length=${1:-15}
# shellcheck source=tests/system/fleet.sh
. tests/system/fleet.sh

heartbeat_interval=2s heartbeat_timeout=6s poll_interval=1s
start_platform
start_endpoints north 6
start_dispatcher a north
start_dispatcher b north
publish_service booking laundry "$(endpoint_list north)" >/dev/null
entries="$(address_of a callers),$(address_of b callers)"
await_ready "$(address_of a callers)"
await_ready "$(address_of b callers)"
sleep 2

# ticks PID: processor time of a process, in clock ticks of 10 ms.
ticks() { awk '{print $14+$15}' "/proc/$1/stat"; }
# counter NAME: sum of a counter over both dispatchers.
counter() {
  local sum=0 value
  for name in a b; do
    value=$(curl -s "http://$(address_of $name admin)/metrics" |
      grep -oE "\"$1\":[0-9.]+" | cut -d: -f2 || true)
    sum=$(echo "$sum + ${value:-0}" | bc)
  done
  echo "$sum"
}

# 6 endpoints with 8 slots each, jobs of 4 tasks of 100 ms.
for load in 20 50 80; do
  rate=$(echo "scale=2; 48 * $load / 100 / 0.1 / 4" | bc)
  counters="attempts.started peer.sent endpoints.task_messages \
endpoints.control_messages platform.log_reads platform.vm_list_reads"
  declare -A before=()
  for name in $counters; do before[$name]=$(counter "$name"); done
  start_ticks=$(($(ticks "$pid_a") + $(ticks "$pid_b")))
  "$build/bench/load_driver" --entries="$entries" --controls="$(control_of north)" \
    --jobs_per_second="$rate" --tasks=4 --run_ms=100 --seconds="$length" \
    --seed="$load" >"$work/driver"
  end_ticks=$(($(ticks "$pid_a") + $(ticks "$pid_b")))
  echo "load=$load% jobs/s=$rate $(head -1 "$work/driver")"
  started=$(echo "$(counter attempts.started) - ${before[attempts.started]}" | bc)
  for name in $counters; do
    echo "  $name/task=$(echo "scale=4; ($(counter "$name") - ${before[$name]}) / $started" | bc)"
  done
  echo "  cpu_us/task=$(echo "scale=1; ($end_ticks - $start_ticks) * 10000 / $started" | bc)"
  for name in a b; do
    pid=pid_$name
    echo "  peak_memory_$name=$(grep VmHWM "/proc/${!pid}/status" | tr -s ' \t' ' ')"
  done
done
