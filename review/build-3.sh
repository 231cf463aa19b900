#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs, which aren't compiled. This
# checks that they can be loaded.
cd "$(dirname "$0")/standin-3" || exit 1
python=/usr/bin/python3
[ -x "$python" ] || python=python3
"$python" -B -c 'import small_deployment' || exit 1
echo "review/build-3.sh: the stand-ins need Python 3 only"
