#!/usr/bin/env bash
# Measures the processor time per task of one dispatcher at different job rates.
# Tasks are short, so that the number of connections stays small as the rate
# grows.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build
# shellcheck source=tests/system/fleet.sh
. tests/system/fleet.sh
heartbeat_interval=2s heartbeat_timeout=6s poll_interval=1s
start_platform
start_endpoints north 8
start_dispatcher a north
publish_service booking laundry "$(endpoint_list north)" >/dev/null
entry=$(address_of a callers)
await_ready "$entry"
sleep 1
# Processor time of the dispatcher, in clock ticks of 10 ms.
ticks() { awk '{print $14+$15}' "/proc/$pid_a/stat"; }
seed=0
# Each row: jobs per second, tasks per job, run time of a task in milliseconds.
for row in "50 1 10" "200 1 10" "400 1 10" "100 10 10" "200 10 10" "10 150 10" "20 150 10"; do
  read -r rate tasks run_ms <<<"$row"
  seed=$((seed + 1))
  start=$(ticks)
  "$build/bench/load_driver" --entries="$entry" --controls="$(control_of north)" \
    --jobs_per_second="$rate" --tasks="$tasks" --run_ms="$run_ms" --seconds=6 \
    --seed="$seed" >"$work/driver" || true
  used=$(($(ticks) - start))
  jobs=$(grep -oE 'jobs=[0-9]+' "$work/driver" | cut -d= -f2)
  echo "jobs/s=$rate tasks/job=$tasks run_ms=$run_ms" \
    "cpu_us/task=$((used * 10000 / (jobs * tasks)))" \
    "cores=$(echo "scale=2; $used / 600" | bc) $(head -1 "$work/driver" | cut -d' ' -f1-4,7-8,11)"
done
