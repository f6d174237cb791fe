#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into their folders, under bin. Needs g++ only; run it from anywhere
# after the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in [6-9]/trial.cpp 10/trial.cpp; do
  [ -e "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I common-2 "$source" -o "bin/trial-$(dirname "$source")"
done
