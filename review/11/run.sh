#!/usr/bin/env bash
# A zone is cut off while a worker leaves stops without an answer; a job that was
# given up there is sent again to the other zone. Exit codes: 0 the rule held, 1
# it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/rig ] || exit 2
exec target/review-3/rig late-stop-behind-cut review/11/record.txt
