#!/usr/bin/env bash
# Case 6: a cancel that a machine acknowledges while it is cut off is lost.
# TROUBLE=0 leaves out the cut.
set -uo pipefail
case=6
. "$(dirname "$0")/../rig-2/run_case.sh"
