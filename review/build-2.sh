#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 into target/review-2. Needs the
# packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
read -ra flags < <(pkg-config --cflags --libs cpp-httplib)
g++ -std=c++20 -O1 -Wall -o target/review-2/review-trial.new \
  review/standin-2/*.cpp "${flags[@]}" -pthread
mv target/review-2/review-trial.new target/review-2/review-trial
