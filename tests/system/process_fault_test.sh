#!/usr/bin/env bash
# Runs real processes under load and injects one fault, 2 s after the start of
# the load: kills a process, pauses one for 10 s, makes the log unavailable, or
# stops a process by SIGTERM. Every job without a final answer is resubmitted to
# another process. The load driver checks each answer against the starts that the
# endpoints counted.
#
#     process_fault_test.sh BUILD kill|pause|log|stop
set -euo pipefail
build=$1
fault=$2
# shellcheck source=tests/system/fleet.sh
. "$(dirname "$0")/fleet.sh"

start_platform
start_endpoints north 3
start_endpoints south 3 2
start_dispatcher a north
start_dispatcher b north
start_dispatcher c south
start_dispatcher d south
publish_service booking laundry "$(endpoint_list north),$(endpoint_list south)" >/dev/null
entries=""
for name in a b c d; do
  address=$(address_of "$name" callers)
  await_ready "$address"
  entries="$entries${entries:+,}$address"
done
sleep 1

"$build/bench/load_driver" --entries="$entries" \
  --controls="$(control_of north),$(control_of south)" \
  --jobs_per_second="${RATE:-40}" --tasks=4 --run_ms="${RUN_MS:-100}" --seconds=8 --resubmit=0.2 \
  --seed="${SEED:-7}" >"$work/driver" 2>&1 &
driver=$!
sleep 2
case $fault in
  kill) kill -KILL "$pid_b" ;;
  pause) kill -STOP "$pid_b"; sleep 10; kill -CONT "$pid_b" ;;
  log) curl -s -X POST "http://$platform/fault?append=down&read=down" >/dev/null ;;
  stop) kill -TERM "$pid_b" ;;
esac
status=0
wait "$driver" || status=$?
cat "$work/driver"
for domain in north south; do
  counts=$(curl -s "http://$(control_of $domain)/counts")
  echo "$domain $counts"
  case $counts in *'"duplicates":0,'*) ;; *) status=1 ;; esac
done
if [ "$fault" = stop ]; then
  wait "$pid_b" || { echo "the stopped process did not exit with 0"; status=1; }
  grep -q 'Drained' "$work/b.log" || { echo "the stopped process did not drain"; status=1; }
fi
exit $status
