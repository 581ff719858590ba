#!/usr/bin/env bash
# Exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/waxwing-front ] && [ -x target/review-lab ] || { echo "build waxwing-front and run review/build.sh first" >&2; exit 2; }
export TROUBLE="${TROUBLE:-1}" FRONT="$PWD/target/waxwing-front"
exec target/review-lab dark review/3
