#!/bin/sh
# The targets of a service are replaced by targets whose version holds a slash. Exits with 1 if the rule was broken, 0
# if it held, 2 if the case could not run. TROUBLE=0: the version is called 2.1.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin3 ] && [ -x target/baobabtided ] || { echo "build the deploy file and review/build-3.sh first" >&2; exit 2; }
exec target/review-standin3 release-name review/11/record.txt
