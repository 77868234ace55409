#!/bin/sh
# Clients of one machine leave before their deadline while they have sent further requests behind the first.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: nobody leaves.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin3 ] && [ -x target/baobabtided ] || { echo "build the deploy file and review/build-3.sh first" >&2; exit 2; }
exec target/review-standin3 pipeline-leave review/13/record.txt
