#!/usr/bin/env bash
# Case 13: all leases lapse in an outage of the store after a leave was acknowledged, then a kill of all.
# TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. Writes record.txt beside this file.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/fescuemux-node ] && [ -x target/review-3/release/review3 ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-3/release/review3 leave-lapse review/13/record.txt
