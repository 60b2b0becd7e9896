#!/usr/bin/env bash
# Plays the case "pending": exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/daisyswitch ] && [ -x target/review-standin ] || { echo "build target/daisyswitch and run review/build.sh first" >&2; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-standin -case pending -trouble=$trouble -record review/5/record.txt
