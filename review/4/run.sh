#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Writes record.txt beside this file.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review/release/lost_readers
if [ ! -x "$program" ] || [ ! -x target/release/fescuemux-node ]; then
    echo "the case could not run: build the deploy file and review/build.sh first" | tee "$here/record.txt"
    exit 2
fi
TROUBLE="${TROUBLE:-1}" "$program" "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
