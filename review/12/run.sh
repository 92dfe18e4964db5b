#!/usr/bin/env bash
# Case 12: the store comes back from a copy after a leave was acknowledged, and all processes are killed.
# TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. Writes record.txt beside this file.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/fescuemux-node ] && [ -x target/review-3/release/review3 ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-3/release/review3 leave-drill review/12/record.txt
