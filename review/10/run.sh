#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x bin/sedgestream ] && [ -x bin/review-2 ] || { echo "build first: the line of the deploy file, then review/build-2.sh"; exit 2; }
exec bin/review-2 "$(basename "$here")" "$here"
