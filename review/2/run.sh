#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/case ] && [ -x ../../bin/sedgestream ] || { echo "build the router and run review/build.sh first" >&2; exit 2; }
timeout -k 5 110 ../bin/case pipelines ../.. record.txt
status=$?
[ $status -le 1 ] && exit $status
exit 2
