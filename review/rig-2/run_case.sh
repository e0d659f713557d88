# Runs the scenario of one case; sourced by its run.sh, which sets `case` to the
# number of the case. Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case could not run.
here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$(cd "$here/../.." && pwd)
export DAEMON=${DAEMON:-$root/target/src/hawthornwheeld/hawthornwheeld}
folder=$(mktemp -d)

cleanup() {
  # Ends the processes that the scenario started and left behind.
  while read -r pid; do
    if grep -qs "$folder" "/proc/$pid/cmdline"; then kill -KILL "$pid"; fi
  done <"$folder/pids"
  rm -rf "$folder"
}

touch "$folder/pids"
trap cleanup EXIT
[ -x "$DAEMON" ] || { echo "no program at $DAEMON" >&2; exit 2; }
status=0
timeout -k 1 110 "$root/build-review-2/case_$case" "$folder" "$here/record.txt" || status=$?
if [ -n "${KEEP_LOGS:-}" ]; then cp "$folder"/*.log "$KEEP_LOGS"; fi
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
