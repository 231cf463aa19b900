#!/usr/bin/env bash
# Runs the case: exit 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. TROUBLE=0 leaves the disruption out. Needs the build of
# deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
number=6
[ -x target/review-2/review-trial ] && [ -x target/bilberry-packet-agent ] || exit 2
timeout -k 5 110 target/review-2/review-trial $number "review/$number/record.txt"
code=$?
[ $code -le 2 ] || code=2
exit $code
