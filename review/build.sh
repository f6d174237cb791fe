#!/bin/sh
# Builds the stand-ins of all cases into review/bin. Needs g++ only; run it after the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for case in [1-9]; do
  [ -f "$case/case.cpp" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I common -o "bin/case-$case" "$case/case.cpp"
done
