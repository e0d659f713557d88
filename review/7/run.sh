#!/usr/bin/env bash
# Case 7: two machines are killed 0.59 s apart, and a task runs beside its copy.
# TROUBLE=0 kills none.
set -uo pipefail
case=7
. "$(dirname "$0")/../rig-2/run_case.sh"
