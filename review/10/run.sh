#!/usr/bin/env bash
# Case 10: the program does not start when graceS is a fraction.
# TROUBLE=0 changes it to a whole number.
set -uo pipefail
case=10
. "$(dirname "$0")/../rig-2/run_case.sh"
