#!/usr/bin/env bash
# Case 6: runs of a machine that is killed after it has lost its role go on.
# TROUBLE=0 stops and kills no machine.
set -uo pipefail
case=6
. "$(dirname "$0")/../rig-2/run_case.sh"
