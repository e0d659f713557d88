# Functions that start real processes on the loopback interface. Sourced by the
# scripts in this folder and in scripts/. The caller sets `build` to the build
# folder.

work=$(mktemp -d)
pids=()

cleanup() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

# await FILE REGEX: waits up to about 30 s for a line that matches and prints it.
await() {
  for _ in $(seq 600); do
    if grep -m1 -E "$2" "$1" 2>/dev/null; then return 0; fi
    sleep 0.05
  done
  echo "no line '$2' in $1" >&2
  cat "$1" >&2
  return 1
}

# start_platform: starts the platform stand-in and sets `platform` to its address.
start_platform() {
  "$build/tests/standins/platform_standin" >"$work/platform" & pids+=($!)
  platform=$(await "$work/platform" .)
}

# start_endpoints NAME COUNT [SLOWNESS]: starts COUNT endpoint stand-ins and waits
# up to about 10 s for their addresses. SLOWNESS is a factor on all run times.
start_endpoints() {
  "$build/tests/standins/endpoint_standin" "$2" "${3:-1}" >"$work/$1.endpoints" &
  pids+=($!)
  for _ in $(seq 200); do
    [ "$(wc -l <"$work/$1.endpoints")" -eq $(($2 + 1)) ] && return 0
    sleep 0.05
  done
  return 1
}

# control_of NAME: prints the address of the control server of the endpoints.
control_of() { head -1 "$work/$1.endpoints"; }

# endpoint_list NAME: prints the addresses in the format of a service file, with
# NAME as the failure domain.
endpoint_list() { tail -n +2 "$work/$1.endpoints" | sed "s/\$/@$1/" | paste -sd,; }

# start_dispatcher NAME DOMAIN: starts a dispatcher and sets pid_NAME. The variables
# poll_interval, heartbeat_interval, heartbeat_timeout and seeds override its
# settings.
start_dispatcher() {
  cat >"$work/$1.ini" <<INI
[process]
name = $1
domain = $2
[fleet]
cluster = test
poll_interval = ${poll_interval:-200ms}
heartbeat_interval = ${heartbeat_interval:-500ms}
heartbeat_timeout = ${heartbeat_timeout:-2s}
${seeds:+seeds = $seeds}
[platform]
address = $platform
timeout = 1s
[peers]
address = 127.0.0.1:0
[callers]
address = 127.0.0.1:0
[admin]
address = 127.0.0.1:0
INI
  "$build/src/hawthornwheeld/hawthornwheeld" --settings="$work/$1.ini" \
    >"$work/$1.log" 2>&1 &
  pids+=($!)
  printf -v "pid_${1//-/_}" %s "$!"
}

# address_of NAME callers|admin|peers: prints an address of a dispatcher, from its
# log.
address_of() { await "$work/$1.log" 'Started\.' | sed "s/.* $2=\([^ ]*\).*/\1/"; }

# publish_service NAME TEAM ENDPOINTS: publishes a service; TEAM is the organisation.
publish_service() {
  mkdir -p "$work/services"
  cat >"$work/services/$1.ini" <<INI
[service]
name = $1
team = $2
[endpoints]
addresses = $3
slots = 8
[timeouts]
lease = 2s
INI
  "$build/src/hawthornwheelctl/hawthornwheelctl" publish "$work/services" \
    --platform="$platform" --operator_name=test
}

# await_ready ADDRESS: waits up to about 10 s until the process is ready.
await_ready() {
  for _ in $(seq 200); do
    [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$1/ready")" = 200 ] && return 0
    sleep 0.05
  done
  return 1
}
