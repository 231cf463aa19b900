#!/bin/bash
# Builds the stand-ins of the cases into target/review/. They are named .cpp,
# since the lint of CI takes every .cc, and the cases stay out of CI.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
# shellcheck disable=SC2046
g++ -std=c++20 -O1 -pthread review/standin/*.cpp -o target/review/review-harness \
  $(pkg-config --cflags --libs cpp-httplib)
