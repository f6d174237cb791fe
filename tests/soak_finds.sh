#!/usr/bin/env bash
# The soak must find a fault that LIBRARY plants into the node, within the first ten seeds and by the rule that the fault
# breaks.
# `soak_finds.sh LAB NODE LIBRARY FAULT RULES`: the soak must report one of RULES (joined by |).
set -euo pipefail

lab=$1 node=$2 library=$3 fault=$4 rules=$5
export RYEGLADE_PLANTED=$fault
for seeds in 1-2 3-4 5-6 7-8 9-10; do
  out=$("$lab" --program "$node" soak --seeds "$seeds" --seconds 8 --jobs 2 --preload "$library" 2>&1) || true
  echo "$out"
  grep -q "2 seeds, .* 0 not played" <<< "$out" || { echo "a play did not finish"; exit 1; }
  if grep -Eq "\|.* ($rules)=" <<< "$out"; then echo "found by seeds $seeds"; exit 0; fi
done
echo "not found"
exit 1
