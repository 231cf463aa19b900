#!/bin/bash
# Runs the case; TROUBLE=0 leaves the disruption out. Needs the build of the
# deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/review-harness ] || exit 2
exec target/review/review-harness ignored-drain review/3/record.txt "$PWD"
