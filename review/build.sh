#!/bin/bash
# Builds the stand-ins of the cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
# shellcheck disable=SC2046
g++ -std=c++20 -O1 -pthread review/standin/*.cc -o target/review/review-harness \
  $(pkg-config --cflags --libs cpp-httplib)
